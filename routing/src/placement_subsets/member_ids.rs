//! The numbering of members.
use decision::MemberId;

/// Hands out the member ids of endpoints and aliases, each once.
#[derive(Default)]
pub struct MemberIds {
    last: u32,
}

impl MemberIds {
    /// An id that nobody has had.
    pub fn allocate(&mut self) -> MemberId {
        self.last += 1;
        MemberId(self.last)
    }
}
