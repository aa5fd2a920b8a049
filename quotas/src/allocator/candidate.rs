//! Routers that may be granted something, and what they keep of their reserved shares.
use super::allocation::{RECLAIM_PARTS, ResponseContext};
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};

/// A router that may be granted something: its position, and its reserved share at most.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) position: usize,
    pub(super) reserved: Grant,
}

/// The routers that may be granted something.
pub(super) fn candidates(context: &ResponseContext<'_>) -> Vec<Candidate> {
    let routers = context.routers.iter().enumerate();
    routers
        .filter_map(|(position, router)| {
            let router = router.as_ref().filter(|router| !router.superseded)?;
            Some(Candidate { position, reserved: router.max_reserved(context.shares) })
        })
        .collect()
}

/// The same routers with this many parts of their reserved shares.
pub(super) fn retaining_parts(idle: &[Candidate], parts: u64) -> Vec<Candidate> {
    idle.iter()
        .map(|router| Candidate { reserved: retained_share(router.reserved, parts), ..*router })
        .collect()
}

fn retained_share(reserved: Grant, parts: u64) -> Grant {
    let lacks_token = reserved.capacity < MICROTOKENS_PER_TOKEN;
    let capacity = if lacks_token { 0 } else { retained_capacity(reserved, parts) };
    Grant { rate: reserved.rate / RECLAIM_PARTS * parts, capacity }
}

/// What the routers have together by their reserved shares.
pub(super) fn sum_reserved(routers: &[Candidate]) -> Grant {
    routers.iter().fold(Grant::NONE, |sum, router| sum.saturating_add(router.reserved))
}

/// The capacity of one token for each router.
pub(super) fn one_token_each(routers: &[Candidate]) -> u64 {
    routers.len() as u64 * MICROTOKENS_PER_TOKEN
}

/// The capacity that a router keeps with this many parts of its reserved share: at least a token.
pub(super) fn retained_capacity(reserved: Grant, parts: u64) -> u64 {
    (reserved.capacity / RECLAIM_PARTS * parts).max(MICROTOKENS_PER_TOKEN)
}
