//! Classifies file descriptors: stream sockets, regular files, and connections that this process opened.
use libc::{c_int, c_void, socklen_t};
use std::sync::atomic::{AtomicBool, Ordering};

/// Descriptors from this number on are not tracked; they count as connections opened by another process.
const MAX_TRACKED: usize = 4096;

/// Whether this process opened the connection, by descriptor.
static OPENED_BY_THIS_PROCESS: [AtomicBool; MAX_TRACKED] = [const { AtomicBool::new(false) }; MAX_TRACKED];

pub(crate) fn is_stream_socket(fd: c_int) -> bool {
    let (mut kind, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    let kind_out = (&raw mut kind).cast::<c_void>();
    // SAFETY: both out-parameters are valid for the call.
    let result = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, kind_out, &raw mut length) };
    result == 0 && kind == libc::SOCK_STREAM
}

pub(crate) fn is_regular_file(fd: c_int) -> bool {
    // SAFETY: a `stat` structure of zeros is valid.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the out-parameter is valid for the call.
    let result = unsafe { libc::fstat(fd, &raw mut status) };
    result == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Whether this process opened the connection of a descriptor.
pub(crate) fn is_opened_by_this_process(fd: c_int) -> bool {
    tracked_entry(fd).is_some_and(|opened| opened.load(Ordering::Relaxed))
}

/// Records whether this process opened the connection of a descriptor.
pub(crate) fn set_opened_by_this_process(fd: c_int, value: bool) {
    if let Some(opened) = tracked_entry(fd) {
        opened.store(value, Ordering::Relaxed);
    }
}

/// Returns the entry of a descriptor, if it is in the tracked range.
fn tracked_entry(fd: c_int) -> Option<&'static AtomicBool> {
    OPENED_BY_THIS_PROCESS.get(usize::try_from(fd).ok()?)
}
