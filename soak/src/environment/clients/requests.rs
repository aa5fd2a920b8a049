//! Random requests of the clients. Changing the order of the random draws changes the requests that a seed
//! produces.
use super::settings::{ClientFaults, PROBABILITY_SCALE};
use crate::class::Class;
use crate::environment::clock::RunClock;
use crate::time::{MILLISECOND, Micros};
use fastrand::Rng;

/// The classes that a request is drawn from; a class is listed once per unit of its weight.
const DRAWN_CLASSES: [Class; 9] = [
    Class::Any,
    Class::Any,
    Class::Bounded,
    Class::Bounded,
    Class::Session,
    Class::Session,
    Class::Write,
    Class::Write,
    Class::Keyed,
];
/// The exclusive upper bound of request ids.
const ID_BOUND: u64 = 1 << 62;
/// The maximum time between a request and the client's disconnect.
const MAX_DISCONNECT_DELAY: Micros = 60 * MILLISECOND;
/// The maximum time between a request and its cancellation.
const MAX_CANCEL_DELAY: Micros = 40 * MILLISECOND;

/// A generated request that has not been sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrawnRequest {
    pub(super) id: u64,
    pub(super) class: Class,
    pub(super) group: usize,
    /// The time within which the client expects the response.
    pub(super) timeout: Micros,
    /// The commit time that a session read must see.
    pub(super) required_commit: Option<Micros>,
    pub(super) disconnect_at: Option<Micros>,
    pub(super) cancel_at: Option<Micros>,
}

impl DrawnRequest {
    /// Generates a request. `last_commit` returns the session's last confirmed commit in a group.
    pub(super) fn draw(
        rng: &mut Rng,
        groups: usize,
        faults: ClientFaults,
        now: Micros,
        last_commit: impl FnOnce(usize) -> Option<Micros>,
    ) -> DrawnRequest {
        let class = DRAWN_CLASSES[rng.usize(..DRAWN_CLASSES.len())];
        let group = rng.usize(..groups);
        let percent = if faults.first_request_delay.is_some() { 100 } else { rng.i64(50..=100) };
        let timeout = class.deadline() * percent / 100;
        let required_commit = if class == Class::Session { last_commit(group) } else { None };
        let id = rng.u64(1..ID_BOUND);
        let disconnects = rng.u32(..PROBABILITY_SCALE) < faults.disconnect;
        let disconnect_at = disconnects.then(|| now + rng.i64(0..MAX_DISCONNECT_DELAY));
        let cancels = rng.u32(..PROBABILITY_SCALE) < faults.cancel;
        let cancel_at = cancels.then(|| now + rng.i64(0..MAX_CANCEL_DELAY));
        DrawnRequest { id, class, group, timeout, required_commit, disconnect_at, cancel_at }
    }

    /// Returns the SQL statement of the request.
    pub(super) fn statement(&self, session: u64, clock: &RunClock) -> String {
        let comment = self.comment(clock);
        if self.class.is_write() {
            format!(
                "INSERT INTO objects (oid, body) VALUES ('s{session}', '\\x9f') RETURNING body /* {comment} */"
            )
        } else {
            format!("SELECT body FROM objects WHERE oid = 's{session}' /* {comment} */")
        }
    }

    fn comment(&self, clock: &RunClock) -> String {
        let DrawnRequest { id, group, .. } = self;
        let (class, timeout_ms) = (self.class.name(), self.timeout / MILLISECOND);
        // The commit time is rounded up to whole milliseconds.
        let after = self.required_commit.map(|at| format!(",after={}", clock.wall_clock_ms(at) + 1));
        format!("id={id:x},c={class},d={timeout_ms},cluster={group}{}", after.unwrap_or_default())
    }
}
