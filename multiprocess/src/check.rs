//! The checker: a pure function over the whole history of a run.
//!
//! **Quotas.** A request is admitted by its router after the client wrote it and before a server has read it, and both
//! times are known. So of all requests that were sent at or after `a` and run by `b`, it is certain that they were
//! admitted within `[a, b]`, and no slack is needed: their number may be at most `rate x (b - a) + burst`, for every
//! `a` and `b`. The excess by arrival alone is given as a figure: it includes requests that were delayed on the way.
//!
//! **Placement.** A statement may run only at the sites of a rule that is in force when the server reads it.
//!
//! **Answers.** Each request to a router that is up gets exactly one answer, which is true: a write runs at most once,
//! a rejected one never, and a request that was served has run.
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

/// Checks a whole history; the same history gives the same verdict.
pub fn check(history: &History, settings: &CheckSettings) -> Verdict {
    let mut verdict = Verdict::default();
    quota::check(history, settings, &mut verdict);
    placement::check(history, settings, &mut verdict);
    answers::check(history, &mut verdict);
    spread::measure(history, settings, &mut verdict);
    verdict
}
