//! Decides how a response changes a router's part of a tenant's quota.
use super::allocation::{DemandAllocation, Holding, ResponseContext};
use crate::grant::Grant;
use crate::settings::InjectedFault;

/// A raise of less than this fraction (one part in 256) of the target is not sent.
const MIN_RAISE_PARTS: u64 = 256;

impl DemandAllocation {
    /// The change of a router's part, recorded as sent; `None` if the part does not change.
    pub(super) fn next_change(
        &mut self,
        record_index: usize,
        context: &ResponseContext<'_>,
    ) -> Option<Holding> {
        let held = self.parts[record_index].held;
        let reserved = context.shares.reserved(context.share.after);
        let confirmed = confirmed_grant(held, context);
        let target = self.next_target(record_index, confirmed, reserved, context);
        let available = self.available(record_index, confirmed, target, context);
        let grant = target.min(available);
        let next = if grant == reserved { Holding::Reserved } else { Holding::ByDemand(grant) };
        let is_unchanged = next == held || stays_reserved(held, target, reserved, context);
        // A reserved share that becomes full is changed to a grant by demand if it would exceed what is
        // available.
        let would_exceed_available =
            held == Holding::Reserved && context.share.becomes_full() && !reserved.fits_within(available);
        if is_unchanged && !would_exceed_available {
            return None;
        }
        self.parts[record_index].sent = Some(next);
        Some(next)
    }

    /// The grant to move the router towards. Raises too small to be sent are left out.
    fn next_target(
        &self,
        record_index: usize,
        confirmed: Grant,
        reserved: Grant,
        context: &ResponseContext<'_>,
    ) -> Grant {
        let part = &self.parts[record_index];
        let target = if self.restoring {
            reserved
        } else if part.demand > 0 && !part.planned {
            confirmed.min(context.shares.grantable)
        } else {
            part.target
        };
        Grant {
            rate: skip_small_raise(confirmed.rate, target.rate),
            capacity: skip_small_raise(confirmed.capacity, target.capacity),
        }
    }

    /// The most that the router may be granted: what it is confirmed to hold, or what the quota leaves when
    /// all other routers hold the most that they may.
    fn available(
        &self,
        record_index: usize,
        confirmed: Grant,
        target: Grant,
        context: &ResponseContext<'_>,
    ) -> Grant {
        let raises = !target.fits_within(confirmed);
        if !context.may_raise || !(raises || context.share.becomes_full()) {
            return confirmed;
        }
        let others = self.held_by_others(record_index, context);
        confirmed.max(context.shares.grantable.saturating_sub(others))
    }

    /// The largest total that all other routers may hold.
    fn held_by_others(&self, record_index: usize, context: &ResponseContext<'_>) -> Grant {
        if context.settings.injected_fault == InjectedFault::GrantTwice {
            return Grant::NONE;
        }
        let parts = self.parts.iter().zip(context.routers).enumerate();
        parts
            .filter(|(other, _)| *other != record_index)
            .filter_map(|(_, (part, router))| Some(part.max_held(router.as_ref()?, context.shares)))
            .fold(Grant::NONE, Grant::saturating_add)
    }
}

/// The grant that the router is confirmed to hold. Until it has acknowledged the present version, its
/// reserved share may have been lowered to any smaller value.
fn confirmed_grant(held: Holding, context: &ResponseContext<'_>) -> Grant {
    if let Holding::ByDemand(grant) = held {
        return grant;
    }
    let is_confirmed = context.share.before.is_some_and(|share| share.full) && !context.share.becomes_full();
    if is_confirmed { context.shares.reserved(context.share.before) } else { Grant::NONE }
}

/// Whether the router's reserved share stays in place: it cannot be raised yet and does not exceed the
/// target.
fn stays_reserved(held: Holding, target: Grant, reserved: Grant, context: &ResponseContext<'_>) -> bool {
    let cannot_rise = !context.share.becomes_full() && !context.may_raise;
    held == Holding::Reserved && cannot_rise && reserved.fits_within(target)
}

fn skip_small_raise(held: u64, target: u64) -> u64 {
    if target > held && target - held < target / MIN_RAISE_PARTS { held } else { target }
}
