//! Epochs of routers that are fenced out.

/// Epochs have the leader's term above this many bits, and a number within the term in them.
const NUMBER_BITS: u32 = 32;

/// Issues epochs that rise within a term and from term to term. Since the term rises with each election, no leader has to
/// store which epochs it has issued.
#[derive(Clone, Debug, Default)]
pub(super) struct EpochSource {
    /// The term that this leader leads in.
    term: u64,
    /// How many epochs were issued in the term.
    issued: u64,
}

impl EpochSource {
    pub(super) fn new(term: u64) -> EpochSource {
        EpochSource { term, issued: 0 }
    }

    /// An epoch above all that were issued in earlier terms, and above `epoch`, the router's present one.
    pub(super) fn next_above(&mut self, epoch: u64) -> u64 {
        self.issued += 1;
        ((self.term << NUMBER_BITS) | self.issued).max(epoch + 1)
    }
}
