//! Checks the recorded history of a run against the guarantees. The check is a pure function of the history.
//!
//! **Quotas.** A router admits a request after the client has written it and before a server has read it, and
//! both times are recorded. All requests that were sent at or after `a` and had run by `b` were therefore
//! certainly admitted within `[a, b]`, and the check needs no tolerance: for every `a` and `b` their number
//! may be at most `rate x (b - a) + burst`. The excess by arrival times alone is only reported, because it
//! includes requests that were delayed between the router and the server.
//!
//! **Placement.** A statement may run only at the sites of a rule that is in force when the server reads the
//! statement.
//!
//! **Responses.** Each request to a router that is up gets exactly one response, and the response is correct:
//! a write runs at most once, a rejected write never runs, and a request reported as served has run.
mod answers;
mod configuration;
mod max_tree;
mod placement;
mod quota;
mod quota_envelope;
mod settings;
mod spread;
mod verdict;
mod violation;

pub use settings::CheckSettings;
pub use verdict::{QuotaUsage, ReplicaSpread, Verdict};
pub use violation::{QuotaWindow, Violation};

use crate::history::History;

/// Checks a complete history; the same history always gives the same verdict.
pub fn check(history: &History, settings: &CheckSettings) -> Verdict {
    let mut verdict = Verdict::default();
    quota::check(history, settings, &mut verdict);
    placement::check(history, settings, &mut verdict);
    answers::check(history, &mut verdict);
    spread::measure(history, settings, &mut verdict);
    verdict
}
