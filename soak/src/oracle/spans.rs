//! Periods of a history in which routers were absent, and the formatting of times.
use crate::history::{Absence, AbsenceReason, History};
use crate::time::{Micros, SECOND};

/// The tolerance for scheduling delays of the test machine, added to every limit.
pub const SCHEDULING_SLACK: Micros = 200_000;

/// Formats a time in seconds.
pub(super) fn seconds(at: Micros) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}

/// Returns the absences of a router.
pub(super) fn absences_of(history: &History, router: usize) -> impl Iterator<Item = &Absence> {
    history.absences.iter().filter(move |absence| absence.router == router)
}

/// Whether a router was absent for one of these reasons at any time within a period.
pub(super) fn was_absent(
    history: &History,
    router: usize,
    reasons: &[AbsenceReason],
    from: Micros,
    to: Micros,
) -> bool {
    absences_of(history, router)
        .filter(|absence| reasons.contains(&absence.reason))
        .any(|absence| absence.from <= to && from <= absence.to)
}

/// Returns how long a router was paused within a period.
pub(super) fn paused_time(history: &History, router: usize, from: Micros, to: Micros) -> Micros {
    absences_of(history, router)
        .filter(|absence| absence.reason == AbsenceReason::Paused)
        .map(|pause| (pause.to.min(to) - pause.from.max(from)).max(0))
        .sum()
}
