//! Leaves out faults of a failing run, as long as it still breaks the same promise.
use crate::fault::PlannedFault;
use crate::oracle::Promise;

/// The faults that matter: each was left out for a trial, and `still_breaks` was called with the remaining ones.
pub fn reduce(
    faults: &[PlannedFault],
    promise: Promise,
    mut still_breaks: impl FnMut(&[PlannedFault], Promise) -> bool,
) -> Vec<PlannedFault> {
    let mut remaining = faults.to_vec();
    // Halves first: most faults have nothing to do with it.
    let mut size = remaining.len().div_ceil(2);
    while size > 0 {
        let mut first = 0;
        while first < remaining.len() {
            let mut fewer = remaining.clone();
            fewer.drain(first..(first + size).min(remaining.len()));
            if !fewer.is_empty() && still_breaks(&fewer, promise) {
                remaining = fewer;
            } else {
                first += size;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    remaining
}
