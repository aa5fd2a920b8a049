//! What a router knows about a member: the core's record, and the form in which it is sent.
use crate::member::Member;
use foca::State;
use serde::{Deserialize, Serialize};

/// The core's record of a member: its identity, the refutation number and its state.
pub type MemberRecord = foca::Member<Member>;

/// A member's status on a list page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member responds to probes.
    Alive,
    /// The member did not respond to a probe, and may still refute the suspicion.
    Suspect,
    /// The member has left or failed.
    Down,
}

impl From<State> for MemberStatus {
    fn from(state: State) -> MemberStatus {
        match state {
            State::Alive => MemberStatus::Alive,
            State::Suspect => MemberStatus::Suspect,
            State::Down => MemberStatus::Down,
        }
    }
}

impl From<MemberStatus> for State {
    fn from(status: MemberStatus) -> State {
        match status {
            MemberStatus::Alive => State::Alive,
            MemberStatus::Suspect => State::Suspect,
            MemberStatus::Down => State::Down,
        }
    }
}

/// The entry of one member on a page of a member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The identity of the listed member.
    pub member: Member,
    /// The number that the member increases to refute a suspicion; not [`Member::incarnation`].
    pub refutation: u16,
    /// The status of the listed member.
    pub status: MemberStatus,
}

impl From<&MemberRecord> for ListEntry {
    fn from(record: &MemberRecord) -> ListEntry {
        ListEntry {
            member: record.id().clone(),
            refutation: record.incarnation(),
            status: record.state().into(),
        }
    }
}

impl From<ListEntry> for MemberRecord {
    fn from(entry: ListEntry) -> MemberRecord {
        MemberRecord::new(entry.member, entry.refutation, entry.status.into())
    }
}
