//! What a descriptor stands for: a stream socket, a regular file, a connection that this process opened.
use libc::{c_int, c_void, socklen_t};
use std::sync::atomic::{AtomicBool, Ordering};

/// Descriptors at or above this are not tracked: they count as connections that another process opened.
const MAX_TRACKED: usize = 4096;

/// By descriptor, whether this process opened the connection.
static OPENED_HERE: [AtomicBool; MAX_TRACKED] = [const { AtomicBool::new(false) }; MAX_TRACKED];

pub(crate) fn is_stream_socket(fd: c_int) -> bool {
    let (mut kind, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    let kind_out = (&raw mut kind).cast::<c_void>();
    // SAFETY: both out-parameters are valid for the call.
    let result = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, kind_out, &raw mut length) };
    result == 0 && kind == libc::SOCK_STREAM
}

pub(crate) fn is_regular_file(fd: c_int) -> bool {
    // SAFETY: a stat of zeros is valid.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the out-parameter is valid for the call.
    let result = unsafe { libc::fstat(fd, &raw mut status) };
    result == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Whether this process opened the connection.
pub(crate) fn is_opened_here(fd: c_int) -> bool {
    tracked(fd).is_some_and(|opened| opened.load(Ordering::Relaxed))
}

/// Records whether this process opened the connection.
pub(crate) fn set_opened_here(fd: c_int, value: bool) {
    if let Some(opened) = tracked(fd) {
        opened.store(value, Ordering::Relaxed);
    }
}

/// The record of a descriptor, if it is in the tracked range.
fn tracked(fd: c_int) -> Option<&'static AtomicBool> {
    OPENED_HERE.get(usize::try_from(fd).ok()?)
}
