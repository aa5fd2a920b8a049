//! Routers that are eligible for grants, and how much they retain of their reserved shares.
use super::allocation::{RECLAIM_PARTS, ResponseContext};
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};

/// A router that is eligible for grants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) record_index: usize,
    pub(super) reserved: Grant,
}

/// The routers that are eligible for grants: all but superseded incarnations.
pub(super) fn candidates(context: &ResponseContext<'_>) -> Vec<Candidate> {
    let routers = context.routers.iter().enumerate();
    routers
        .filter_map(|(record_index, router)| {
            let router = router.as_ref().filter(|router| !router.superseded)?;
            Some(Candidate { record_index, reserved: router.max_reserved(context.shares) })
        })
        .collect()
}

/// The routers `idle`, with `parts` of [`RECLAIM_PARTS`] of their reserved shares.
pub(super) fn with_retained_parts(idle: &[Candidate], parts: u64) -> Vec<Candidate> {
    idle.iter()
        .map(|router| Candidate { reserved: retained_share(router.reserved, parts), ..*router })
        .collect()
}

fn retained_share(reserved: Grant, parts: u64) -> Grant {
    let never_holds_token = reserved.capacity < MICROTOKENS_PER_TOKEN;
    let capacity = if never_holds_token { 0 } else { retained_capacity(reserved, parts) };
    Grant { rate: reserved.rate / RECLAIM_PARTS * parts, capacity }
}

/// The sum of the routers' reserved shares.
pub(super) fn sum_reserved(routers: &[Candidate]) -> Grant {
    routers.iter().fold(Grant::NONE, |sum, router| sum.saturating_add(router.reserved))
}

/// The capacity that gives each router one token.
pub(super) fn one_token_each(routers: &[Candidate]) -> u64 {
    routers.len() as u64 * MICROTOKENS_PER_TOKEN
}

/// The capacity that a router retains with `parts` of [`RECLAIM_PARTS`] of its reserved share: at least one
/// token.
pub(super) fn retained_capacity(reserved: Grant, parts: u64) -> u64 {
    (reserved.capacity / RECLAIM_PARTS * parts).max(MICROTOKENS_PER_TOKEN)
}
