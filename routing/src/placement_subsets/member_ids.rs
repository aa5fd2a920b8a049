//! Allocation of member ids.
use decision::MemberId;

/// Allocates the member ids of endpoints and aliases, each once.
#[derive(Default)]
pub struct MemberIds {
    last: u32,
}

impl MemberIds {
    /// An id that was never used before.
    pub fn allocate(&mut self) -> MemberId {
        self.last += 1;
        MemberId(self.last)
    }
}
