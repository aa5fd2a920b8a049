//! Keeps a tenant's data inside its sites: which members a request may be sent to, for each group and each boundary
//! that a placement rule draws.
//!
//! A *boundary* is a set of sites, strict or preferred; rules of different tenants that draw the same one share it. A
//! *view* is a boundary's part of a group: a group number of its own, made when the first request asks for it. The
//! state machine [`Places`] does no I/O and reads no clock. Its driver hands it [`Event`]s, carries out its [`Action`]s,
//! and asks [`Places::route`] for the group of each request. `docs/design/placement.md` has the guarantees.
mod machine;
mod refusal;
mod rules;

pub use machine::{FIRST_VIEW, Places};
pub use refusal::Refusal;

use decision::{GroupId, MemberState, Micros, Time};
use settings::fleet::{Fleet, Version};
use std::sync::Arc;

/// How long a member whose site has changed is outside of every boundary, in microseconds.
const DEFAULT_HOLD: Micros = 2_000_000;
/// How long an answer that denies the role of primary prevails over probes, in microseconds.
const DEFAULT_DENIAL: Micros = 1_000_000;

/// Settings of the state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The names of the request classes, in the order of their numbers.
    pub classes: Vec<String>,
    /// A member whose site has changed is outside of every boundary for this long: longer than idle connections to its
    /// old site live, and than answers from there are in transit.
    pub hold: Micros,
    /// A probe that names a member as the primary is ignored for this long after an answer of that member denied it: the
    /// probe's result may be older.
    pub denial: Micros,
}

impl Settings {
    /// The settings for these classes, with the default times.
    pub fn new(classes: Vec<String>) -> Self {
        Settings { classes, hold: DEFAULT_HOLD, denial: DEFAULT_DENIAL }
    }
}

/// What the fleet's store says of the rules.
#[derive(Clone, Debug)]
pub enum News {
    /// A configuration was read. It is ignored unless it is newer than the present one.
    Rules {
        /// Its version.
        version: Version,
        /// The configuration.
        fleet: Arc<Fleet>,
    },
    /// The present configuration is confirmed to be the current one until this time.
    Confirmed {
        /// On the clock of the events.
        until: Time,
    },
}

/// An entry of the member list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: Arc<str>,
    /// Its group.
    pub group: GroupId,
    /// Its site. A member of an unknown site is outside of every boundary.
    pub site: Option<Arc<str>>,
    /// Its state.
    pub state: MemberState,
    /// Whether the list names it as its group's primary.
    pub primary: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The rules have changed or were confirmed.
    News(News),
    /// The member list has changed.
    Members {
        /// Whether the entries are the whole list: a member that it lacks has left.
        complete: bool,
        /// New and changed entries, or all.
        entries: Vec<Member>,
    },
    /// A member has said whether it is its group's primary.
    Said {
        /// Its name.
        member: Arc<str>,
        /// Whether it is.
        primary: bool,
        /// With the answer to a request; otherwise to a probe.
        note: bool,
    },
    /// A member turned out to be reachable or not.
    Reach {
        /// Its name.
        member: Arc<str>,
        /// Whether it could be reached.
        reached: bool,
    },
    /// A time that was asked for with [`Action::Timer`] has come.
    Timer,
}

/// What the driver must do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A view has exactly these members from now on. No attempt may be sent through it to any other member, those that
    /// are queued included; attempts in flight end by themselves.
    Show {
        /// The view's number.
        view: GroupId,
        /// The group that it is a part of.
        base: GroupId,
        /// The members' names, in order.
        members: Vec<Arc<str>>,
    },
    /// What [`Places::route`] returns may have changed: ask it again for each queued request.
    Recheck,
    /// Hand in [`Event::Timer`] at this time.
    Timer {
        /// When.
        at: Time,
    },
}
