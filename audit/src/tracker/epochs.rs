//! Epochs of routers that were fenced out.

/// Issues epochs that rise within a term and over terms, without a write.
#[derive(Clone, Debug, Default)]
pub(super) struct EpochSource {
    term: u64,
    issued: u64,
}

impl EpochSource {
    pub(super) fn new(term: u64) -> EpochSource {
        EpochSource { term, issued: 0 }
    }

    /// An epoch above all of earlier terms and above the router's present one.
    pub(super) fn next_above(&mut self, epoch: u64) -> u64 {
        self.issued += 1;
        ((self.term << 32) | self.issued).max(epoch + 1)
    }
}
