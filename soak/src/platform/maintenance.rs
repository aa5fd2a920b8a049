//! Simulates an operator who puts a server in maintenance at one router and restores it.
use super::probe::admin_call;
use super::run::{Run, server_id};
use crate::fault::PlannedFault;
use crate::history::Withdrawal;
use crate::time::Micros;
use std::time::Duration;

/// The timeout of a call to the admin address.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
/// The start of the response to a successful call.
const SUCCESS: &str = "200";

impl Run<'_> {
    /// Puts a server in maintenance at one router.
    pub(super) fn put_in_maintenance(&self, fault: &PlannedFault) {
        let PlannedFault { router, server, .. } = *fault;
        let Some(listed) = self.agents.endpoint_of(server) else { return };
        let admin = self.routers[router].admin;
        let response = admin_call(admin, &format!("SUSPEND {}", listed.id), ADMIN_TIMEOUT);
        if response.is_ok_and(|response| response.starts_with(SUCCESS)) {
            let notified_at = self.clock.now();
            let withdrawal = Withdrawal { server, router: Some(router), notified_at, until: Micros::MAX };
            self.recorder.lock().withdrawals.push(withdrawal);
        }
    }

    /// Ends the maintenance of a server at one router, for every id that the server has had.
    pub(super) fn end_maintenance(&self, fault: &PlannedFault) {
        let PlannedFault { router, server, .. } = *fault;
        let admin = self.routers[router].admin;
        let now = self.clock.now();
        for generation in 0..=self.generations[server] {
            let id = server_id(server, generation);
            // Errors are ignored: most ids are not in maintenance. If an absent router misses the call, its
            // server stays in maintenance, but the withdrawal counts as ended and the oracle only checks
            // less.
            _ = admin_call(admin, &format!("RESTORE {id}"), ADMIN_TIMEOUT);
        }
        let mut history = self.recorder.lock();
        let withdrawals = history.withdrawals.iter_mut();
        let by_operator = withdrawals.filter(|w| w.server == server && w.router == Some(router));
        by_operator.for_each(|withdrawal| withdrawal.until = withdrawal.until.min(now));
    }
}
