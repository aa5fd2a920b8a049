//! Minimizes the faults of a failing run while it still breaks the same promise.
use crate::fault::PlannedFault;
use crate::oracle::Promise;

/// Returns a subset of the faults that still breaks the promise. `still_breaks` is called with each candidate
/// subset and reports whether it does.
pub fn reduce(
    faults: &[PlannedFault],
    promise: Promise,
    mut still_breaks: impl FnMut(&[PlannedFault], Promise) -> bool,
) -> Vec<PlannedFault> {
    let mut remaining = faults.to_vec();
    // Removes large chunks first, because most faults do not contribute to the failure.
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
