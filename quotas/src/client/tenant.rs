//! A client's state for one tenant.
use super::bucket::TokenBucket;
use super::demand_window::INTERVALS;
use crate::equal_shares::EqualShares;
use crate::grant::Grant;
use crate::messages::ReservedShare;
use decision::Time;
use std::hash::{Hash, Hasher};

/// A tenant's buckets, demand and counters.
#[derive(Clone, Debug)]
pub(super) struct TenantState {
    pub(super) name: String,
    /// The equal shares of the tenant's quota; `None` without a quota.
    pub(super) shares: Option<EqualShares>,
    /// The part of the reserved share that the client may use.
    pub(super) reserved: Grant,
    /// The tenant had no quota in an earlier version, so its reserved share applies in full immediately.
    pub(super) was_unlimited: bool,
    /// The grant by demand, which replaces the reserved share.
    pub(super) by_demand: Option<Grant>,
    pub(super) granted_bucket: TokenBucket,
    pub(super) fixed_bucket: TokenBucket,
    /// The fixed share of the present version, which applies after the settle time.
    pub(super) next_fixed: Grant,
    /// The number of requests in each interval of the demand window.
    pub(super) request_counts: [u32; INTERVALS],
    /// The number of intervals over which demand is averaged: those since it last changed by more than random
    /// fluctuation explains.
    pub(super) averaged_intervals: usize,
    /// Whether the tenant is in the client's list of active tenants.
    pub(super) active: bool,
    /// Whether a request was shed since the last report.
    pub(super) shed_since_report: bool,
    /// The demand in the last report that stated it.
    pub(super) reported_demand: u64,
    pub(super) admitted: u64,
    pub(super) shed: u64,
}

impl TenantState {
    pub(super) fn new(name: &str) -> TenantState {
        TenantState {
            name: name.to_string(),
            shares: None,
            reserved: Grant::NONE,
            was_unlimited: false,
            by_demand: None,
            granted_bucket: TokenBucket::default(),
            fixed_bucket: TokenBucket::default(),
            next_fixed: Grant::NONE,
            request_counts: [0; INTERVALS],
            averaged_intervals: INTERVALS,
            active: false,
            shed_since_report: false,
            reported_demand: 0,
            admitted: 0,
            shed: 0,
        }
    }

    /// Takes a token from the granted bucket if the grant is valid and the bucket has a token, otherwise from
    /// the fixed bucket.
    pub(super) fn try_take(&mut self, now: Time, grants_valid: bool) -> bool {
        (grants_valid && self.granted_bucket.try_take(now)) || self.fixed_bucket.try_take(now)
    }

    /// Changes the grant by demand; `None` returns the tenant to its reserved share.
    pub(super) fn set_by_demand(&mut self, now: Time, grant: Option<Grant>, clock_drift_ppm: u64) {
        self.by_demand = grant;
        self.refresh_granted_bucket(now, clock_drift_ppm);
    }

    /// Applies the reserved share of a response: in full, or else no more than was held before.
    pub(super) fn set_reserved(&mut self, now: Time, share: Option<ReservedShare>, clock_drift_ppm: u64) {
        let Some(shares) = &self.shares else { return };
        let target = shares.reserved(share);
        let in_full = share.is_some_and(|share| share.full) || self.was_unlimited;
        self.reserved = if in_full { target } else { target.min(self.reserved) };
        self.was_unlimited = false;
        self.refresh_granted_bucket(now, clock_drift_ppm);
    }

    pub(super) fn raise_fixed_share(&mut self, now: Time, clock_drift_ppm: u64) {
        self.fixed_bucket.set_grant(now, self.next_fixed, clock_drift_ppm);
    }

    /// Sets the next fixed share, and lowers the present one to the next one if that is less.
    pub(super) fn lower_fixed_share(&mut self, now: Time, next_fixed: Grant, clock_drift_ppm: u64) {
        self.next_fixed = next_fixed;
        let lowered = self.fixed_bucket.grant().min(next_fixed);
        self.fixed_bucket.set_grant(now, lowered, clock_drift_ppm);
    }

    /// Applies a new quota. The reserved share and the grant by demand are lowered with it and never raised.
    pub(super) fn apply_quota(
        &mut self,
        now: Time,
        shares: EqualShares,
        share: Option<ReservedShare>,
        clock_drift_ppm: u64,
    ) {
        self.reserved = self.reserved.min(shares.reserved(share));
        let old = self.shares.map_or(Grant::NONE, |shares| shares.grantable);
        self.by_demand = self.by_demand.map(|grant| grant.scaled_down(old, shares.grantable));
        self.shares = Some(shares);
        self.refresh_granted_bucket(now, clock_drift_ppm);
    }

    /// Applies a version in which the tenant has no quota.
    pub(super) fn remove_quota(&mut self, now: Time) {
        self.shares = None;
        self.reserved = Grant::NONE;
        self.by_demand = None;
        self.granted_bucket.clear(now);
        self.reported_demand = 0;
    }

    /// Discards the reserved share and the grant by demand; the fixed share stays.
    pub(super) fn clear_grants(&mut self, now: Time) {
        self.reserved = Grant::NONE;
        self.by_demand = None;
        self.was_unlimited = false;
        self.granted_bucket.clear(now);
    }

    pub(super) fn hash_state<H: Hasher>(&self, hasher: &mut H) {
        (self.reserved, self.by_demand, self.was_unlimited).hash(hasher);
        (self.request_counts, self.averaged_intervals, self.active).hash(hasher);
        (self.shed_since_report, self.reported_demand).hash(hasher);
        self.granted_bucket.hash_state(hasher);
        self.fixed_bucket.hash_state(hasher);
    }

    fn refresh_granted_bucket(&mut self, now: Time, clock_drift_ppm: u64) {
        let grant = self.by_demand.unwrap_or(self.reserved);
        self.granted_bucket.set_grant(now, grant, clock_drift_ppm);
    }
}
