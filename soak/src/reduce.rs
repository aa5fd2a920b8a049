//! Leaves out troubles of a failing run, as long as it still breaks the same promise.
use crate::oracle::Promise;
use crate::trouble::Trouble;

/// The troubles that matter: of each it was tried to leave it out, and `still_breaks` was told what was left.
pub fn reduce(
    troubles: &[Trouble],
    promise: Promise,
    mut still_breaks: impl FnMut(&[Trouble], Promise) -> bool,
) -> Vec<Trouble> {
    let mut left = troubles.to_vec();
    // Halves first: most troubles have nothing to do with it.
    let mut size = left.len().div_ceil(2);
    while size > 0 {
        let mut at = 0;
        while at < left.len() {
            let mut fewer = left.clone();
            fewer.drain(at..(at + size).min(left.len()));
            if !fewer.is_empty() && still_breaks(&fewer, promise) {
                left = fewer;
            } else {
                at += size;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    left
}
