//! The interposed functions of the C library. Each decides at random whether to fail, and otherwise calls the
//! original function.
//!
//! The safety contracts of these functions are those of the original functions, as documented by POSIX and
//! Linux.
use crate::control_map::{is_enabled, random, read_word, should_inject};
use crate::descriptor::{
    is_opened_by_this_process, is_regular_file, is_stream_socket, set_opened_by_this_process,
};
use crate::libc_function::interpose;
use fault_control::{CLOCK_WORD, Fault};
use libc::{c_char, c_int, c_void, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec, timeval};

/// The return value of a C library function that fails.
const FAILED: c_int = -1;
const NANOS_PER_SECOND: i128 = 1_000_000_000;
const NANOS_PER_MICRO: i128 = 1_000;

const ACCEPT_ERRORS: [c_int; 6] =
    [libc::ECONNABORTED, libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EPROTO];
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
const CONNECT_ERRORS: [c_int; 4] =
    [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT];
const CONNECTION_LOSS_ERRORS: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
const INTERRUPT_ERRORS: [c_int; 1] = [libc::EINTR];
const WRITE_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];
const SYNC_ERRORS: [c_int; 2] = [libc::EIO, libc::ENOSPC];
const OPEN_ERRORS: [c_int; 3] = [libc::EMFILE, libc::ENFILE, libc::EACCES];

/// Sets `errno` to one of the given error numbers, chosen at random, and returns [`FAILED`].
fn fail(errors: &[c_int]) -> c_int {
    let error_number = errors[(random() % errors.len() as u64) as usize];
    // SAFETY: `errno` is thread-local.
    unsafe { *libc::__errno_location() = error_number };
    FAILED
}

/// Decides at random whether a call on a connected socket fails; if so, sets `errno`.
fn socket_call_fails(fd: c_int) -> bool {
    if !is_enabled(Fault::Interrupt) && !is_enabled(Fault::ConnectionLoss) {
        return false;
    }
    if !is_stream_socket(fd) {
        return false;
    }
    if should_inject(Fault::Interrupt) {
        return fail(&INTERRUPT_ERRORS) == FAILED;
    }
    if is_opened_by_this_process(fd) && should_inject(Fault::ConnectionLoss) {
        // Shuts the connection down, so that the remote side sees the failure, too.
        // SAFETY: `shutdown` has no preconditions.
        unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        return fail(&CONNECTION_LOSS_ERRORS) == FAILED;
    }
    false
}

/// Returns how many of the requested bytes a call on a socket transfers at most.
fn transfer_length(fd: c_int, length: size_t) -> size_t {
    if length > 1 && should_inject(Fault::ShortTransfer) && is_stream_socket(fd) { 1 } else { length }
}

/// Returns a time shifted by an offset in microseconds.
fn shifted_time(at: timespec, offset_micros: i64) -> timespec {
    let total = i128::from(at.tv_sec) * NANOS_PER_SECOND
        + i128::from(at.tv_nsec)
        + i128::from(offset_micros) * NANOS_PER_MICRO;
    timespec {
        tv_sec: total.div_euclid(NANOS_PER_SECOND) as libc::time_t,
        tv_nsec: total.rem_euclid(NANOS_PER_SECOND) as libc::c_long,
    }
}

interpose! {
    fn clock_gettime(clock: libc::clockid_t, at: *mut timespec) -> c_int as original {
        let result = original(clock, at);
        let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
        let offset_micros = if is_wall_clock && result == 0 { read_word(CLOCK_WORD) as i64 } else { 0 };
        if offset_micros != 0 {
            // SAFETY: the call has succeeded, so the caller's pointer is valid and initialized.
            unsafe { *at = shifted_time(*at, offset_micros) };
        }
        result
    }
}

/// Replaces libc's `gettimeofday`. It calls the `clock_gettime` above, so that both return the same time.
#[unsafe(no_mangle)]
unsafe extern "C" fn gettimeofday(at: *mut timeval, _zone: *mut c_void) -> c_int {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the out-parameter is valid for the call.
    let result = unsafe { clock_gettime(libc::CLOCK_REALTIME, &raw mut now) };
    if !at.is_null() {
        // SAFETY: a pointer that is not null is valid by the function's contract.
        unsafe { *at = timeval { tv_sec: now.tv_sec, tv_usec: now.tv_nsec / 1000 } };
    }
    result
}

interpose! {
    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int as original {
        if should_inject(Fault::Accept) {
            return fail(&ACCEPT_ERRORS);
        }
        if should_inject(Fault::Interrupt) {
            return fail(&INTERRUPT_ERRORS);
        }
        let accepted = original(fd, address, length, flags);
        set_opened_by_this_process(accepted, false);
        accepted
    }
}

interpose! {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int as original {
        if domain == libc::AF_INET && should_inject(Fault::Socket) {
            return fail(&SOCKET_ERRORS);
        }
        let created = original(domain, kind, protocol);
        set_opened_by_this_process(created, false);
        created
    }
}

interpose! {
    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int as original {
        if should_inject(Fault::Connect) && is_stream_socket(fd) {
            return fail(&CONNECT_ERRORS);
        }
        set_opened_by_this_process(fd, true);
        original(fd, address, length)
    }
}

interpose! {
    fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        original(fd, buffer, transfer_length(fd, length), flags)
    }
}

interpose! {
    fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        original(fd, message, flags)
    }
}

interpose! {
    fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        original(fd, buffer, transfer_length(fd, length), flags)
    }
}

interpose! {
    fn writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        // SAFETY: by the function's contract, `count` buffers are valid.
        let first = if count > 0 { unsafe { parts.as_ref() } } else { None };
        match first {
            // The total length is not computed: a length of 2 only has to be above 1, so that the call may be
            // shortened.
            Some(first) if first.iov_len > 0 && transfer_length(fd, 2) == 1 => {
                let first_byte = libc::iovec { iov_base: first.iov_base, iov_len: 1 };
                original(fd, &raw const first_byte, 1)
            }
            _ => original(fd, parts, count),
        }
    }
}

interpose! {
    fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t as original {
        if should_inject(Fault::FileWrite) && is_regular_file(fd) {
            // In half of the failures, half of the bytes are written nevertheless.
            if length > 1 && random().is_multiple_of(2) {
                original(fd, buffer, length / 2);
            }
            return fail(&WRITE_ERRORS) as ssize_t;
        }
        original(fd, buffer, length)
    }
}

interpose! {
    fn fsync(fd: c_int) -> c_int as original {
        if should_inject(Fault::FileSync) { fail(&SYNC_ERRORS) } else { original(fd) }
    }
}

interpose! {
    fn fdatasync(fd: c_int) -> c_int as original {
        if should_inject(Fault::FileSync) { fail(&SYNC_ERRORS) } else { original(fd) }
    }
}

interpose! {
    fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int as original {
        if should_inject(Fault::FileOpen) { fail(&OPEN_ERRORS) } else { original(path, flags, mode) }
    }
}

interpose! {
    fn pthread_create(
        thread: *mut libc::pthread_t,
        attributes: *const libc::pthread_attr_t,
        run: extern "C" fn(*mut c_void) -> *mut c_void,
        argument: *mut c_void,
    ) -> c_int as original {
        if should_inject(Fault::ThreadStart) {
            return libc::EAGAIN;
        }
        original(thread, attributes, run, argument)
    }
}

interpose! {
    fn poll(fds: *mut libc::pollfd, count: libc::nfds_t, timeout: c_int) -> c_int as original {
        if should_inject(Fault::Interrupt) { fail(&INTERRUPT_ERRORS) } else { original(fds, count, timeout) }
    }
}

interpose! {
    fn epoll_wait(
        epoll: c_int,
        events: *mut libc::epoll_event,
        max_events: c_int,
        timeout: c_int,
    ) -> c_int as original {
        if should_inject(Fault::Interrupt) {
            return fail(&INTERRUPT_ERRORS);
        }
        original(epoll, events, max_events, timeout)
    }
}
