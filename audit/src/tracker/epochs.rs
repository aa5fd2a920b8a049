//! Generates the epochs under which routers are fenced out.

/// Number of low bits of an epoch that count the epochs of a term; the bits above them are the leader's term.
const NUMBER_BITS: u32 = 32;

/// Issues epochs that increase within a term and from term to term. Since the term increases with each
/// election, no leader has to store which epochs it has issued.
#[derive(Clone, Debug, Default)]
pub(super) struct EpochSource {
    /// The leader's current term.
    term: u64,
    /// Number of epochs issued in this term.
    issued: u64,
}

impl EpochSource {
    pub(super) fn new(term: u64) -> EpochSource {
        EpochSource { term, issued: 0 }
    }

    /// Returns an epoch above all that were issued in earlier terms, and above `epoch`, the router's current
    /// one.
    pub(super) fn next_above(&mut self, epoch: u64) -> u64 {
        self.issued += 1;
        ((self.term << NUMBER_BITS) | self.issued).max(epoch + 1)
    }
}
