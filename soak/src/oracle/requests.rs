//! Oracles on requests: answers, repeats, times.
use super::{Breach, Promise, SLACK, paused, seconds, was_absent};
use crate::history::{Absence, Arrival, Class, Ending, History, Micros, REPEAT_WINDOW, Request, SECOND};
use std::collections::HashMap;

/// A final answer later than this after the client's time is lost.
const LOST_AFTER: Micros = 500_000;
/// An attempt must not begin later than this after its client left.
const START_AFTER_LEAVING: Micros = 100_000;
/// What scheduling may add to that: clients and servers are recorded by one process, so only the router's counts.
const LEAVING_SLACK: Micros = 100_000;
/// A server may be told so much more than the client has left.
const TOLD_SLACK: Micros = 150_000;
/// A connection that the router ends may cross a request that was sent this short a time before.
const CROSSING: Micros = 150_000;
/// From so long after SIGTERM on, a router may close connections with unread requests.
const SERVED_AFTER_TERM: Micros = 500_000;
/// A stalled client has to be ended within this time.
const STALL_TIMEOUT: Micros = 3 * SECOND;

pub(super) fn check(history: &History) -> Vec<Breach> {
    let mut by_id: HashMap<u64, Vec<&Arrival>> = HashMap::new();
    for arrival in &history.arrivals {
        by_id.entry(arrival.id).or_default().push(arrival);
    }
    let mut breaches = Vec::new();
    for request in history.requests.iter().filter(|request| request.sent_at < Micros::MAX) {
        let arrivals = by_id.get(&request.id).map_or(&[][..], Vec::as_slice);
        let mut found = |promise, text: String| {
            let Request { id, router, connection, class, sent_at, .. } = request;
            let about = format!(
                "request {id:x} ({class:?}) of connection {connection} at router {router}, sent at {}: {text}",
                seconds(*sent_at)
            );
            breaches.push(Breach { promise, text: about });
        };
        check_answer(history, request, arrivals, &mut found);
        check_repeats(request, arrivals, &mut found);
        check_times(history, request, arrivals, &mut found);
    }
    let foreign = |text: &String| Breach { promise: Promise::ForeignAnswer, text: text.clone() };
    breaches.extend(history.unexpected_answers.iter().map(foreign));
    for stall in &history.stalls {
        let held = stall.to - stall.from - paused(history, stall.router, stall.from, stall.to);
        let gone = [Absence::Killed, Absence::Ended];
        if !stall.ended
            && held > STALL_TIMEOUT + SLACK
            && !was_absent(history, stall.router, &gone, stall.from, stall.to)
        {
            let text =
                format!("router {} held a client that stalled at {}", stall.router, seconds(stall.from));
            breaches.push(Breach { promise: Promise::BadClientHeld, text });
        }
    }
    breaches
}

fn check_answer(
    history: &History,
    request: &Request,
    arrivals: &[&Arrival],
    found: &mut impl FnMut(Promise, String),
) {
    let Request { router, sent_at, wait, ended_at, .. } = *request;
    let deadline = sent_at + wait;
    let killed = |to| was_absent(history, router, &[Absence::Killed], sent_at, to);
    match request.ending {
        Ending::Left => {}
        Ending::Served(_) | Ending::Error(_) => {
            let late = ended_at - deadline - paused(history, router, sent_at, ended_at);
            // Time spent behind the answers before it does not count: those had theirs.
            if late > LOST_AFTER + SLACK && request.place == 0 {
                found(Promise::Late, format!("answered {} after its time", seconds(late)));
            }
        }
        Ending::Open => {
            let until = history.load_ended_at.max(deadline + LOST_AFTER);
            if !killed(until) && !was_absent(history, router, &[Absence::Ended], sent_at, until) {
                found(Promise::Lost, "no answer, and the connection stands".into());
            }
        }
        Ending::Closed => {
            if killed(ended_at + SLACK) || process_gone(history, request) {
                return;
            }
            let reached = arrivals.iter().any(|arrival| arrival.first_byte_at <= ended_at);
            let ending_since = ending_since(history, router, ended_at);
            let crossed = ended_at - sent_at < CROSSING + paused(history, router, sent_at, ended_at);
            let excused = match ending_since {
                // The platform's front deals out no connections any more, and clients resend what crosses an end.
                Some(since) => sent_at > since + SERVED_AFTER_TERM - SLACK,
                None => request.place > 0 && crossed,
            };
            if reached || !excused {
                let place = request.place;
                found(
                    Promise::Lost,
                    format!(
                        "closed without an answer after {} (request {place} of its connection, which was opened at {}, forwarded: {reached})",
                        seconds(ended_at - sent_at),
                        seconds(request.opened_at)
                    ),
                );
            }
        }
    }
    let refused = matches!(&request.ending, Ending::Error(code) if code == "53300" || code == "57P03");
    let ran = arrivals.iter().find(|arrival| arrival.ran_at.is_some());
    if let (true, Class::Write, Some(ran)) = (refused, request.class, ran) {
        found(Promise::RefusedButRan, format!("refused, and server {} ran it", ran.server));
    }
}

/// Whether the request came to a connection whose process is no more: killed, or ended after it had served its clients for the
/// time it owes them. The process there is now never took that connection.
fn process_gone(history: &History, request: &Request) -> bool {
    let of_router = history.absent.iter().filter(|absent| absent.router == request.router);
    let mut gone =
        of_router.filter(|absent| request.opened_at <= absent.from && absent.to <= request.ended_at + SLACK);
    gone.any(|absent| match absent.why {
        Absence::Killed => true,
        Absence::Ended => request.sent_at > absent.from + SERVED_AFTER_TERM - SLACK,
        Absence::Paused => false,
    })
}

/// When the router was told to end, where it is ending at this moment.
fn ending_since(history: &History, router: usize, at: Micros) -> Option<Micros> {
    let ended = history.absent.iter().filter(|a| a.router == router && a.why == Absence::Ended);
    ended.into_iter().find(|a| a.from <= at && at <= a.to + SLACK).map(|a| a.from)
}

fn check_repeats(request: &Request, arrivals: &[&Arrival], found: &mut impl FnMut(Promise, String)) {
    let mut ran: Vec<&&Arrival> = arrivals.iter().filter(|arrival| arrival.ran_at.is_some()).collect();
    ran.sort_by_key(|arrival| arrival.first_byte_at);
    let (Some(first), Some(last)) = (ran.first(), ran.last()) else { return };
    if ran.len() < 2 {
        return;
    }
    let servers: Vec<usize> = ran.iter().map(|arrival| arrival.server).collect();
    match request.class {
        Class::Write => found(Promise::RanTwice, format!("ran at servers {servers:?}")),
        Class::Keyed => {
            let apart = last.first_byte_at - first.last_byte_at;
            if apart > REPEAT_WINDOW + SLACK {
                found(Promise::RanOutsideWindow, format!("ran again {} later", seconds(apart)));
            }
        }
        _ => {}
    }
}

fn check_times(
    history: &History,
    request: &Request,
    arrivals: &[&Arrival],
    found: &mut impl FnMut(Promise, String),
) {
    let Request { router, sent_at, wait, .. } = *request;
    let left_at = match (&request.ending, request.cancelled_at) {
        (Ending::Left, _) => Some(request.ended_at),
        (_, cancelled_at) => cancelled_at,
    };
    for arrival in arrivals {
        let at = arrival.first_byte_at;
        let held_up = paused(history, router, sent_at, at);
        if let Some(left_at) = left_at
            && at > left_at + START_AFTER_LEAVING + LEAVING_SLACK + held_up
        {
            let after = seconds(at - left_at);
            found(
                Promise::SentAfterLeaving,
                format!("sent to {} {after} after its client left", arrival.server),
            );
        }
        let left = sent_at + wait - arrival.last_byte_at;
        let over = arrival.told_ms * 1000 - left;
        if over > TOLD_SLACK + SLACK + held_up {
            found(
                Promise::ToldTooLong,
                format!("server {} was told {} more than was left", arrival.server, seconds(over)),
            );
        }
    }
}
