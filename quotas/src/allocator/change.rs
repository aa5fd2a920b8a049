//! What a response changes of a router's part of a tenant's quota.
use super::allocation::{DemandAllocation, Holding, ResponseContext};
use crate::grant::Grant;
use crate::settings::InjectedFault;

/// A raise by less than one part in this many is not sent.
const MIN_RAISE_PARTS: u64 = 256;

impl DemandAllocation {
    /// The change of a router's part, noted as sent; `None` where it stays as it is.
    pub(super) fn next_change(&mut self, position: usize, context: &ResponseContext<'_>) -> Option<Holding> {
        let held = self.parts[position].held;
        let reserved = context.shares.reserved(context.share.after);
        let certain = certainly_held(held, context);
        let target = self.next_target(position, certain, reserved, context);
        let room = self.room(position, certain, target, context);
        let grant = target.min(room);
        let next = if grant == reserved { Holding::Reserved } else { Holding::ByDemand(grant) };
        let is_unchanged = next == held || stays_reserved(held, target, reserved, context);
        // A reserved share that becomes full is not left alone where it would rise above the room there is.
        let would_exceed_room =
            held == Holding::Reserved && context.share.becomes_full() && !reserved.fits_within(room);
        if is_unchanged && !would_exceed_room {
            return None;
        }
        self.parts[position].sent = Some(next);
        Some(next)
    }

    /// What the router is to have next, without raises that are too small to be sent.
    fn next_target(
        &self,
        position: usize,
        certain: Grant,
        reserved: Grant,
        context: &ResponseContext<'_>,
    ) -> Grant {
        let part = &self.parts[position];
        let target = if self.restoring {
            reserved
        } else if part.demand > 0 && !part.planned {
            certain.min(context.shares.grantable)
        } else {
            part.target
        };
        Grant {
            rate: skip_small_raise(certain.rate, target.rate),
            capacity: skip_small_raise(certain.capacity, target.capacity),
        }
    }

    /// The most that the router may get: what it certainly holds, or what the quota leaves beside all others.
    fn room(&self, position: usize, certain: Grant, target: Grant, context: &ResponseContext<'_>) -> Grant {
        let raises = !target.fits_within(certain);
        if !context.may_raise || !(raises || context.share.becomes_full()) {
            return certain;
        }
        let others = self.held_by_others(position, context);
        certain.max(context.shares.grantable.saturating_sub(others))
    }

    /// What all other routers may hold, at most.
    fn held_by_others(&self, position: usize, context: &ResponseContext<'_>) -> Grant {
        if context.settings.injected_fault == InjectedFault::GrantTwice {
            return Grant::NONE;
        }
        let parts = self.parts.iter().zip(context.routers).enumerate();
        parts
            .filter(|(other, _)| *other != position)
            .filter_map(|(_, (part, router))| Some(part.max_held(router.as_ref()?, context.shares)))
            .fold(Grant::NONE, Grant::saturating_add)
    }
}

/// What the router certainly holds: before a version is acknowledged, its reserved share may be anything below.
fn certainly_held(held: Holding, context: &ResponseContext<'_>) -> Grant {
    if let Holding::ByDemand(grant) = held {
        return grant;
    }
    let is_certain = context.share.before.is_some_and(|share| share.full) && !context.share.becomes_full();
    if is_certain { context.shares.reserved(context.share.before) } else { Grant::NONE }
}

/// Whether the router may keep a reserved share that can't be raised yet: it is no more than the target.
fn stays_reserved(held: Holding, target: Grant, reserved: Grant, context: &ResponseContext<'_>) -> bool {
    let cannot_rise = !context.share.becomes_full() && !context.may_raise;
    held == Holding::Reserved && cannot_rise && reserved.fits_within(target)
}

fn skip_small_raise(held: u64, target: u64) -> u64 {
    if target > held && target - held < target / MIN_RAISE_PARTS { held } else { target }
}
