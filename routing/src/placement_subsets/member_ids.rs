//! Allocation of member IDs.
use decision::MemberId;

/// Allocates unique member IDs for endpoints and aliases.
#[derive(Default)]
pub struct MemberIds {
    last: u32,
}

impl MemberIds {
    /// Returns an ID that has not been used before.
    pub fn allocate(&mut self) -> MemberId {
        self.last += 1;
        MemberId(self.last)
    }
}
