//! What a router knows of a member: the core's record, and the status as the wire has it.
use crate::member::Member;
use foca::State;
use serde::{Deserialize, Serialize};

/// The core's record of a member: identity, the incarnation by which it refutes suspicions, and state.
pub type MemberRecord = foca::Member<Member>;

/// A member's status on a list page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It has not answered a probe, and may refute the suspicion.
    Suspect,
    /// It has left or failed.
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

/// One member on a list page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Its identity.
    pub member: Member,
    /// The incarnation by which the member refutes suspicions; not [`Member::incarnation`].
    pub refutation: u16,
    /// Its status.
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
