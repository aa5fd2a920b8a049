//! The client's side of the exchange with the leader.
use super::QuotaClient;
use super::open_exchange::OpenExchange;
use crate::messages::{
    GrantChange, GrantResponse, HeldGrants, Report, ReservedShare, ResponseBody, TenantGrant,
};
use crate::settings::InjectedFault;
use crate::time::after;
use decision::Time;

impl QuotaClient {
    /// Begins an exchange and abandons one that is still open. The lifetime of what is granted in it counts
    /// from `now`, so the report must be sent after `now` was read.
    pub fn report(&mut self, now: Time) -> Report {
        if self.open.is_some() {
            self.exchange_failed();
        }
        self.raise_fixed_shares_if_due(now);
        if !self.grants_valid(now) {
            self.clear_grants(now);
        }
        self.seq += 1;
        if !self.released {
            self.open = Some(OpenExchange { seq: self.seq, started: now });
        }
        let demand = self.take_demand(now);
        self.early_report_wanted = false;
        let full_report = std::mem::take(&mut self.full_report_due);
        Report {
            router: self.router.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            term: self.term,
            applied_seq: self.applied_seq,
            version: self.version,
            leaving: self.released,
            held: full_report.then(|| self.held_grants()),
            demand,
        }
    }

    /// Applies the response to the open exchange. A response to any other exchange is ignored. A response of
    /// an older term, or of another version than the client's present one, ends the exchange without effect.
    pub fn handle_response(&mut self, now: Time, response: GrantResponse) {
        let Some(open) = self.exchange_of(&response, now) else { return };
        if response.incarnation != self.incarnation || response.check().is_err() {
            return;
        }
        if response.term < self.term {
            return self.exchange_failed();
        }
        self.term = response.term;
        let ResponseBody::Renewed { reset, reserved_share, changes } = response.body else {
            return self.exchange_failed();
        };
        let expiry = after(open.started, self.settings.lifetime_at_router());
        // What has expired may have been granted to other routers, so only a response that resets everything
        // may follow.
        let renewable = now < expiry && (reset || self.grants_valid(now));
        if !renewable || response.version != self.version {
            return self.exchange_failed();
        }
        if reset {
            self.clear_grants(now);
        }
        self.apply_changes(now, changes);
        self.apply_reserved_share(now, reserved_share);
        self.open = None;
        self.grants_expire = Some(expiry);
        self.applied_seq = response.seq;
        self.full_report_due = false;
    }

    /// Ends the open exchange without effect: its response will not be received or must not be applied. The
    /// next report states everything that the client holds.
    pub fn exchange_failed(&mut self) {
        self.open = None;
        self.full_report_due = true;
    }

    /// Releases everything that the client holds, for a graceful shutdown. From now on nothing is admitted by
    /// a grant. The returned report should be sent to the leader. If the report is lost, the grants become
    /// available to other routers when they expire.
    pub fn release_all(&mut self, now: Time) -> Report {
        self.released = true;
        self.exchange_failed();
        self.report(now)
    }

    fn exchange_of(&self, response: &GrantResponse, now: Time) -> Option<OpenExchange> {
        let open = self.open.filter(|open| open.seq == response.seq);
        let accepts_late = self.settings.injected_fault == InjectedFault::AcceptLateResponse;
        let late = (accepts_late && response.seq <= self.seq)
            .then_some(OpenExchange { seq: response.seq, started: now });
        open.or(late)
    }

    fn held_grants(&self) -> HeldGrants {
        let by_demand = self.tenants.iter().filter_map(|tenant| {
            let grant = tenant.by_demand?;
            Some(TenantGrant { tenant: tenant.name.clone(), grant })
        });
        HeldGrants {
            version: self.granted_version,
            reserved_share: self.reserved_share,
            by_demand: by_demand.collect(),
        }
    }

    fn apply_changes(&mut self, now: Time, changes: Vec<GrantChange>) {
        for GrantChange { tenant, grant } in changes {
            if let Some(&index) = self.index.get(&tenant) {
                self.tenants[index as usize].set_by_demand(now, grant, self.clock_drift_ppm);
            }
        }
    }

    fn apply_reserved_share(&mut self, now: Time, share: Option<ReservedShare>) {
        if share == self.reserved_share && self.granted_version == self.version {
            return;
        }
        self.granted_version = self.version;
        self.reserved_share = share;
        for tenant in &mut self.tenants {
            tenant.set_reserved(now, share, self.clock_drift_ppm);
        }
    }
}
