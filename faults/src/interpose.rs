//! The functions of the C library that are replaced. Each draws whether it fails, and calls the C library's otherwise.
//!
//! Their safety contracts are those of the C library's functions, which POSIX and Linux document.
use crate::control_map::{is_drawn, is_enabled, random, word};
use crate::descriptor::{is_opened_here, is_regular_file, is_stream_socket, set_opened_here};
use crate::libc_function::replace;
use fault_control::{CLOCK_WORD, Fault};
use libc::{c_char, c_int, c_void, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec, timeval};

/// What a function of the C library returns when it fails.
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

/// Sets one of these error numbers, drawn at random, and returns [`FAILED`].
fn fail(errors: &[c_int]) -> c_int {
    let drawn = errors[(random() % errors.len() as u64) as usize];
    // SAFETY: errno is this thread's own.
    unsafe { *libc::__errno_location() = drawn };
    FAILED
}

/// Draws whether a call on a connected socket fails now; the error number is set then.
fn socket_call_fails(fd: c_int) -> bool {
    if !is_enabled(Fault::Interrupt) && !is_enabled(Fault::ConnectionLoss) {
        return false;
    }
    if !is_stream_socket(fd) {
        return false;
    }
    if is_drawn(Fault::Interrupt) {
        return fail(&INTERRUPT_ERRORS) == FAILED;
    }
    if is_opened_here(fd) && is_drawn(Fault::ConnectionLoss) {
        // The connection is broken from here on, for the other side too.
        // SAFETY: shutting a socket down has no preconditions.
        unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        return fail(&CONNECTION_LOSS_ERRORS) == FAILED;
    }
    false
}

/// How many bytes of a call on a socket are passed on.
fn passed_length(fd: c_int, length: size_t) -> size_t {
    if length > 1 && is_drawn(Fault::ShortTransfer) && is_stream_socket(fd) { 1 } else { length }
}

/// A time, moved by an offset in microseconds.
fn moved(at: timespec, offset_micros: i64) -> timespec {
    let total = i128::from(at.tv_sec) * NANOS_PER_SECOND
        + i128::from(at.tv_nsec)
        + i128::from(offset_micros) * NANOS_PER_MICRO;
    timespec {
        tv_sec: total.div_euclid(NANOS_PER_SECOND) as libc::time_t,
        tv_nsec: total.rem_euclid(NANOS_PER_SECOND) as libc::c_long,
    }
}

replace! {
    fn clock_gettime(clock: libc::clockid_t, at: *mut timespec) -> c_int as original {
        let result = original(clock, at);
        let is_wall = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
        let offset_micros = if is_wall && result == 0 { word(CLOCK_WORD) as i64 } else { 0 };
        if offset_micros != 0 {
            // SAFETY: the call has succeeded, so that the caller's pointer is valid and filled in.
            unsafe { *at = moved(*at, offset_micros) };
        }
        result
    }
}

/// Replaced by way of `clock_gettime`, so that both show the same time.
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

replace! {
    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int as original {
        if is_drawn(Fault::Accept) {
            return fail(&ACCEPT_ERRORS);
        }
        if is_drawn(Fault::Interrupt) {
            return fail(&INTERRUPT_ERRORS);
        }
        let accepted = original(fd, address, length, flags);
        set_opened_here(accepted, false);
        accepted
    }
}

replace! {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int as original {
        if domain == libc::AF_INET && is_drawn(Fault::Socket) {
            return fail(&SOCKET_ERRORS);
        }
        let created = original(domain, kind, protocol);
        set_opened_here(created, false);
        created
    }
}

replace! {
    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int as original {
        if is_drawn(Fault::Connect) && is_stream_socket(fd) {
            return fail(&CONNECT_ERRORS);
        }
        set_opened_here(fd, true);
        original(fd, address, length)
    }
}

replace! {
    fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        original(fd, buffer, passed_length(fd, length), flags)
    }
}

replace! {
    fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        original(fd, message, flags)
    }
}

replace! {
    fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        original(fd, buffer, passed_length(fd, length), flags)
    }
}

replace! {
    fn writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t as original {
        if socket_call_fails(fd) {
            return FAILED as ssize_t;
        }
        // SAFETY: by the function's contract, there are as many parts as the count says.
        let first = if count > 0 { unsafe { parts.as_ref() } } else { None };
        match first {
            // Two bytes stand for all that there may be: whether the call is cut short does not depend on the length.
            Some(first) if first.iov_len > 0 && passed_length(fd, 2) == 1 => {
                let first_byte = libc::iovec { iov_base: first.iov_base, iov_len: 1 };
                original(fd, &raw const first_byte, 1)
            }
            _ => original(fd, parts, count),
        }
    }
}

replace! {
    fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t as original {
        if is_drawn(Fault::FileWrite) && is_regular_file(fd) {
            // Half of the time some of it is on the disk all the same.
            if length > 1 && random().is_multiple_of(2) {
                original(fd, buffer, length / 2);
            }
            return fail(&WRITE_ERRORS) as ssize_t;
        }
        original(fd, buffer, length)
    }
}

replace! {
    fn fsync(fd: c_int) -> c_int as original {
        if is_drawn(Fault::FileSync) { fail(&SYNC_ERRORS) } else { original(fd) }
    }
}

replace! {
    fn fdatasync(fd: c_int) -> c_int as original {
        if is_drawn(Fault::FileSync) { fail(&SYNC_ERRORS) } else { original(fd) }
    }
}

replace! {
    fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int as original {
        if is_drawn(Fault::FileOpen) { fail(&OPEN_ERRORS) } else { original(path, flags, mode) }
    }
}

replace! {
    fn pthread_create(
        thread: *mut libc::pthread_t,
        attributes: *const libc::pthread_attr_t,
        run: extern "C" fn(*mut c_void) -> *mut c_void,
        argument: *mut c_void,
    ) -> c_int as original {
        if is_drawn(Fault::ThreadStart) {
            return libc::EAGAIN;
        }
        original(thread, attributes, run, argument)
    }
}

replace! {
    fn poll(fds: *mut libc::pollfd, count: libc::nfds_t, timeout: c_int) -> c_int as original {
        if is_drawn(Fault::Interrupt) { fail(&INTERRUPT_ERRORS) } else { original(fds, count, timeout) }
    }
}

replace! {
    fn epoll_wait(
        epoll: c_int,
        events: *mut libc::epoll_event,
        max_events: c_int,
        timeout: c_int,
    ) -> c_int as original {
        if is_drawn(Fault::Interrupt) {
            return fail(&INTERRUPT_ERRORS);
        }
        original(epoll, events, max_events, timeout)
    }
}
