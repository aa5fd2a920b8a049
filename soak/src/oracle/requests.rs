//! Oracles on requests: responses, rejections, repeats, timeouts and stalled clients.
use super::promise::{Breach, Promise};
use super::spans::{SCHEDULING_SLACK, absences_of, paused_time, seconds, was_absent};
use crate::class::{Class, REPEAT_WINDOW};
use crate::history::{AbsenceReason, Attempt, History, Outcome, Request, Stall};
use crate::time::{MILLISECOND, Micros, SECOND};
use std::collections::HashMap;

/// How long after the client's timeout a response may arrive before it counts as late, and a missing response
/// as lost.
const RESPONSE_GRACE: Micros = 500_000;
/// How long after the client's disconnect or cancel an attempt of the request may still start.
const MAX_START_AFTER_DISCONNECT: Micros = 100_000;
/// The scheduling delay added to [`MAX_START_AFTER_DISCONNECT`]. This delay is less than
/// [`SCHEDULING_SLACK`], because one process records clients and servers, so only the router's scheduling
/// delay counts.
const DISCONNECT_SLACK: Micros = 100_000;
/// The tolerance by which the timeout sent to a server may exceed the client's remaining time.
const TIMEOUT_SLACK: Micros = 150_000;
/// A router may close an idle connection without reading a request that was sent at most this long before
/// the close.
const CLOSE_RACE_TIME: Micros = 150_000;
/// How long after SIGTERM a router has to serve its clients; later it may close connections with unread
/// requests.
const SERVED_AFTER_TERM: Micros = 500_000;
/// The time within which a router has to disconnect a stalled client.
const STALL_TIMEOUT: Micros = 3 * SECOND;

pub(super) fn check(history: &History) -> Vec<Breach> {
    let mut attempts_by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts_by_id.entry(attempt.id).or_default().push(attempt);
    }
    let mut breaches = Vec::new();
    for request in history.requests.iter().filter(|request| request.sent_at < Micros::MAX) {
        let attempts = attempts_by_id.get(&request.id).map_or(&[][..], Vec::as_slice);
        breaches.extend(RequestOracle { history, request, attempts }.check());
    }
    let foreign = history.unexpected_responses.iter();
    breaches.extend(foreign.map(|answer| Breach::new(Promise::MismatchedResponse, answer.to_string())));
    breaches.extend(history.stalls.iter().filter_map(|stall| check_stall(history, stall)));
    breaches
}

/// Checks that the router disconnected a stalled client, unless the router was killed or shut down meanwhile.
fn check_stall(history: &History, stall: &Stall) -> Option<Breach> {
    let Stall { router, from, to, closed_by_router } = *stall;
    let open_time = to - from - paused_time(history, router, from, to);
    let absence_reasons = [AbsenceReason::Killed, AbsenceReason::ShutDown];
    let is_breach = !closed_by_router
        && open_time > STALL_TIMEOUT + SCHEDULING_SLACK
        && !was_absent(history, router, &absence_reasons, from, to);
    let text = || format!("router {router} did not disconnect a client that stalled at {}", seconds(from));
    is_breach.then(|| Breach::new(Promise::StalledClientNotClosed, text()))
}

/// Checks one request with its attempts.
struct RequestOracle<'a> {
    history: &'a History,
    request: &'a Request,
    attempts: &'a [&'a Attempt],
}

impl RequestOracle<'_> {
    fn check(&self) -> Vec<Breach> {
        let mut breaches: Vec<Breach> = self.check_outcome().into_iter().collect();
        breaches.extend(self.check_rejection());
        breaches.extend(self.check_repeats());
        for attempt in self.attempts {
            breaches.extend(self.check_start(attempt));
            breaches.extend(self.check_timeout(attempt));
        }
        breaches
    }

    fn breach(&self, promise: Promise, text: &str) -> Breach {
        let Request { id, router, connection, class, sent_at, .. } = self.request;
        let sent_at = seconds(*sent_at);
        let text = format!(
            "request {id:x} ({class:?}) of connection {connection} at router {router}, sent at {sent_at}: {text}"
        );
        Breach::new(promise, text)
    }

    /// Returns how long the router was paused between the sending of the request and this time.
    fn paused_time_until(&self, to: Micros) -> Micros {
        paused_time(self.history, self.request.router, self.request.sent_at, to)
    }

    fn was_absent_until(&self, reason: AbsenceReason, to: Micros) -> bool {
        was_absent(self.history, self.request.router, &[reason], self.request.sent_at, to)
    }

    fn deadline(&self) -> Micros {
        self.request.sent_at + self.request.timeout
    }

    fn check_outcome(&self) -> Option<Breach> {
        match self.request.outcome {
            Outcome::Disconnected => None,
            Outcome::Served(_) | Outcome::Error(_) => self.check_lateness(),
            Outcome::Pending => self.check_pending(),
            Outcome::Closed => self.check_closed(),
        }
    }

    fn check_lateness(&self) -> Option<Breach> {
        let ended_at = self.request.ended_at;
        let late = ended_at - self.deadline() - self.paused_time_until(ended_at);
        // Only the first request of a connection is checked: a later one may have waited for earlier
        // responses.
        let is_late = late > RESPONSE_GRACE + SCHEDULING_SLACK && self.request.sequence == 0;
        let text = || format!("response {} after the client's timeout", seconds(late));
        is_late.then(|| self.breach(Promise::Late, &text()))
    }

    fn check_pending(&self) -> Option<Breach> {
        let until = self.history.load_ended_at.max(self.deadline() + RESPONSE_GRACE);
        let router_was_gone = self.was_absent_until(AbsenceReason::Killed, until)
            || self.was_absent_until(AbsenceReason::ShutDown, until);
        let text = "no response, and the connection is still open";
        (!router_was_gone).then(|| self.breach(Promise::Lost, text))
    }

    fn check_closed(&self) -> Option<Breach> {
        let Request { connected_at, sequence, sent_at, ended_at, .. } = *self.request;
        if self.was_absent_until(AbsenceReason::Killed, ended_at + SCHEDULING_SLACK) || self.is_process_gone()
        {
            return None;
        }
        let forwarded = self.attempts.iter().any(|attempt| attempt.first_byte_at <= ended_at);
        if !forwarded && self.is_close_allowed() {
            return None;
        }
        let text = format!(
            "connection closed without a response after {} (request {sequence} of the connection, \
             which was opened at {}, forwarded: {forwarded})",
            seconds(ended_at - sent_at),
            seconds(connected_at)
        );
        Some(self.breach(Promise::Lost, &text))
    }

    /// Whether the router was allowed to close the connection without reading the request.
    fn is_close_allowed(&self) -> bool {
        let Request { sequence, sent_at, ended_at, .. } = *self.request;
        match self.shutting_down_since(ended_at) {
            // The platform no longer directs clients to this router, and clients resend requests that are on
            // their way when the router shuts down.
            Some(since) => sent_at > since + SERVED_AFTER_TERM - SCHEDULING_SLACK,
            None => sequence > 0 && ended_at - sent_at < CLOSE_RACE_TIME + self.paused_time_until(ended_at),
        }
    }

    /// Whether the request was sent on a connection whose process no longer exists, because it was killed or
    /// because it had shut down after serving its clients for [`SERVED_AFTER_TERM`]. The router's next
    /// process never accepted that connection.
    fn is_process_gone(&self) -> bool {
        let Request { router, connected_at, sent_at, ended_at, .. } = *self.request;
        absences_of(self.history, router)
            .filter(|absence| connected_at <= absence.from && absence.to <= ended_at + SCHEDULING_SLACK)
            .any(|absence| match absence.reason {
                AbsenceReason::Killed => true,
                AbsenceReason::ShutDown => sent_at > absence.from + SERVED_AFTER_TERM - SCHEDULING_SLACK,
                AbsenceReason::Paused => false,
            })
    }

    /// Returns when the router received SIGTERM, if it was shutting down at this time.
    fn shutting_down_since(&self, at: Micros) -> Option<Micros> {
        absences_of(self.history, self.request.router)
            .filter(|absence| absence.reason == AbsenceReason::ShutDown)
            .find(|absence| absence.from <= at && at <= absence.end_with_slack(SCHEDULING_SLACK))
            .map(|absence| absence.from)
    }

    fn check_rejection(&self) -> Option<Breach> {
        if !self.request.outcome.is_rejection() || self.request.class != Class::Write {
            return None;
        }
        let ran = self.attempts.iter().find(|attempt| attempt.ran_at.is_some())?;
        let text = format!("rejected, but server {} ran it", ran.server);
        Some(self.breach(Promise::RejectedButRan, &text))
    }

    fn check_repeats(&self) -> Option<Breach> {
        let mut ran: Vec<&Attempt> = self.attempts.iter().copied().filter(|a| a.ran_at.is_some()).collect();
        ran.sort_by_key(|attempt| attempt.first_byte_at);
        let [first, .., last] = ran.as_slice() else { return None };
        match self.request.class {
            Class::Write => {
                let servers: Vec<usize> = ran.iter().map(|attempt| attempt.server).collect();
                Some(self.breach(Promise::RanTwice, &format!("ran at servers {servers:?}")))
            }
            Class::Keyed => {
                let interval = last.first_byte_at - first.last_byte_at;
                let text = || format!("ran again {} later", seconds(interval));
                let is_breach = interval > REPEAT_WINDOW + SCHEDULING_SLACK;
                is_breach.then(|| self.breach(Promise::RanOutsideWindow, &text()))
            }
            Class::Any | Class::Bounded | Class::Session => None,
        }
    }

    /// Returns when the client disconnected or cancelled the request.
    fn abandoned_at(&self) -> Option<Micros> {
        match self.request.outcome {
            Outcome::Disconnected => Some(self.request.ended_at),
            _ => self.request.cancelled_at,
        }
    }

    /// Checks that no attempt started after the client had disconnected or cancelled.
    fn check_start(&self, attempt: &Attempt) -> Option<Breach> {
        let abandoned_at = self.abandoned_at()?;
        let at = attempt.first_byte_at;
        if at <= abandoned_at + MAX_START_AFTER_DISCONNECT + DISCONNECT_SLACK + self.paused_time_until(at) {
            return None;
        }
        let after = seconds(at - abandoned_at);
        let text = format!(
            "sent to server {} {after} after the client had disconnected or cancelled",
            attempt.server
        );
        Some(self.breach(Promise::SentAfterDisconnect, &text))
    }

    /// Checks that the timeout sent to the server does not exceed the client's remaining time.
    fn check_timeout(&self, attempt: &Attempt) -> Option<Breach> {
        let remaining = self.deadline() - attempt.last_byte_at;
        let excess = attempt.timeout_ms * MILLISECOND - remaining;
        if excess <= TIMEOUT_SLACK + SCHEDULING_SLACK + self.paused_time_until(attempt.first_byte_at) {
            return None;
        }
        let text =
            format!("server {} got a timeout {} above the remaining time", attempt.server, seconds(excess));
        Some(self.breach(Promise::TimeoutTooLong, &text))
    }
}
