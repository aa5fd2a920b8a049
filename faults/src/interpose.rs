//! The functions of the C library that are replaced. Each draws whether it fails, and calls the real one otherwise.
#![allow(clippy::missing_safety_doc, unreachable_pub, missing_docs)]
use fault_control::{CLOCK_WORD, CONTROL_VARIABLE, FILE_BYTES, Fault, SCALE};
use libc::{c_char, c_int, c_void, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec, timeval};
use std::cell::Cell;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};

/// The control file's map: 0 before it was looked for, 1 where there is none, else its address.
static MAP: AtomicUsize = AtomicUsize::new(0);
const NO_MAP: usize = 1;

/// By descriptor, whether this process made the connection: 1 for yes. Descriptors beyond it count as no.
static CONNECTED: [AtomicU8; 4096] = [const { AtomicU8::new(0) }; 4096];

thread_local! {
    static RANDOM: Cell<u64> = const { Cell::new(0) };
}

/// Maps the control file, without any function that is replaced here.
fn map() -> usize {
    let known = MAP.load(Ordering::Acquire);
    if known != 0 {
        return known;
    }
    let mut name = [0u8; 64];
    name[..CONTROL_VARIABLE.len()].copy_from_slice(CONTROL_VARIABLE.as_bytes());
    // SAFETY: the name ends with a zero; the path that getenv returns does too; the map is checked before its use and
    // never unmapped.
    let found = unsafe {
        let path = libc::getenv(name.as_ptr().cast::<c_char>());
        if path.is_null() {
            NO_MAP
        } else {
            let fd =
                libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDONLY | libc::O_CLOEXEC, 0);
            let fd = fd as c_int;
            let at = libc::mmap(std::ptr::null_mut(), FILE_BYTES, libc::PROT_READ, libc::MAP_SHARED, fd, 0);
            libc::syscall(libc::SYS_close, fd);
            if fd < 0 || at == libc::MAP_FAILED { NO_MAP } else { at as usize }
        }
    };
    MAP.store(found, Ordering::Release);
    found
}

fn word(index: usize) -> u64 {
    match map() {
        NO_MAP => 0,
        // SAFETY: the map has FILE_BYTES bytes, every index is below that, and a word is aligned.
        at => unsafe { (*((at + 8 * index) as *const AtomicU64)).load(Ordering::Relaxed) },
    }
}

fn random() -> u64 {
    RANDOM.with(|state| {
        let mut x = state.get();
        if x == 0 {
            // SAFETY: gettid has no arguments and can't fail.
            let thread = unsafe { libc::syscall(libc::SYS_gettid) } as u64;
            x = thread.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        }
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        x
    })
}

fn strikes(fault: Fault) -> bool {
    let probability = word(fault.word());
    probability > 0 && random() % SCALE < probability
}

fn pick(errors: &[c_int]) -> c_int {
    errors[(random() % errors.len() as u64) as usize]
}

fn fail<T: From<i8>>(errors: &[c_int]) -> T {
    // SAFETY: errno is this thread's own.
    unsafe { *libc::__errno_location() = pick(errors) };
    T::from(-1)
}

/// The C library's function of this name, looked up once.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static ADDRESS: AtomicUsize = AtomicUsize::new(0);
        let mut address = ADDRESS.load(Ordering::Relaxed);
        if address == 0 {
            address = libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<c_char>()) as usize;
            ADDRESS.store(address, Ordering::Relaxed);
        }
        std::mem::transmute::<usize, $type>(address)
    }};
}

fn is_socket(fd: c_int) -> bool {
    let (mut kind, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    // SAFETY: both out-parameters are valid for the call.
    let found = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_TYPE, (&raw mut kind).cast::<c_void>(), &mut length)
    };
    found == 0 && kind == libc::SOCK_STREAM
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: a zeroed stat is valid, and fstat fills it in.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    let found = unsafe { libc::fstat(fd, &mut status) };
    found == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
}

fn made_here(fd: c_int) -> bool {
    usize::try_from(fd).ok().and_then(|fd| CONNECTED.get(fd)).is_some_and(|c| c.load(Ordering::Relaxed) == 1)
}

fn set_made_here(fd: c_int, value: bool) {
    if let Some(connected) = usize::try_from(fd).ok().and_then(|fd| CONNECTED.get(fd)) {
        connected.store(u8::from(value), Ordering::Relaxed);
    }
}

/// Whether a call on a connected socket fails now; the error number is set.
fn socket_call_fails(fd: c_int) -> bool {
    if word(Fault::Interrupt.word()) == 0 && word(Fault::Break.word()) == 0 {
        return false;
    }
    if !is_socket(fd) {
        return false;
    }
    if strikes(Fault::Interrupt) {
        return fail::<i32>(&[libc::EINTR]) < 0;
    }
    if made_here(fd) && strikes(Fault::Break) {
        // The connection is broken from here on, for the other side too.
        // SAFETY: shutting a socket down has no preconditions.
        unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        return fail::<i32>(&[libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET]) < 0;
    }
    false
}

/// How many bytes of a call on a socket are passed on.
fn shortened(fd: c_int, length: size_t) -> size_t {
    if length > 1 && strikes(Fault::Short) && is_socket(fd) { 1 } else { length }
}

type ClockGettime = unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, at: *mut timespec) -> c_int {
    unsafe {
        let result = real!("clock_gettime", ClockGettime)(clock, at);
        let is_wall = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
        let offset = if is_wall && result == 0 { word(CLOCK_WORD) as i64 } else { 0 };
        if offset != 0 {
            let total = i128::from((*at).tv_sec) * 1_000_000_000
                + i128::from((*at).tv_nsec)
                + i128::from(offset) * 1000;
            (*at).tv_sec = total.div_euclid(1_000_000_000) as libc::time_t;
            (*at).tv_nsec = total.rem_euclid(1_000_000_000) as libc::c_long;
        }
        result
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn gettimeofday(at: *mut timeval, _zone: *mut c_void) -> c_int {
    unsafe {
        let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
        let result = clock_gettime(libc::CLOCK_REALTIME, &mut now);
        if !at.is_null() {
            *at = timeval { tv_sec: now.tv_sec, tv_usec: now.tv_nsec / 1000 };
        }
        result
    }
}

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
const ACCEPT_ERRORS: [c_int; 6] =
    [libc::ECONNABORTED, libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EPROTO];

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    unsafe {
        if strikes(Fault::Accept) {
            return fail(&ACCEPT_ERRORS);
        }
        if strikes(Fault::Interrupt) {
            return fail(&[libc::EINTR]);
        }
        let accepted = real!("accept4", Accept4)(fd, address, length, flags);
        set_made_here(accepted, false);
        accepted
    }
}

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    unsafe {
        if domain == libc::AF_INET && strikes(Fault::Socket) {
            return fail(&[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]);
        }
        let made = real!("socket", Socket)(domain, kind, protocol);
        set_made_here(made, false);
        made
    }
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    unsafe {
        if strikes(Fault::Connect) && is_socket(fd) {
            return fail(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT]);
        }
        set_made_here(fd, true);
        real!("connect", Connect)(fd, address, length)
    }
}

type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    unsafe {
        if socket_call_fails(fd) {
            return -1;
        }
        real!("recv", Recv)(fd, buffer, shortened(fd, length), flags)
    }
}

type Recvmsg = unsafe extern "C" fn(c_int, *mut msghdr, c_int) -> ssize_t;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    unsafe {
        if socket_call_fails(fd) {
            return -1;
        }
        real!("recvmsg", Recvmsg)(fd, message, flags)
    }
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    unsafe {
        if socket_call_fails(fd) {
            return -1;
        }
        real!("send", Send)(fd, buffer, shortened(fd, length), flags)
    }
}

type Writev = unsafe extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t {
    unsafe {
        if socket_call_fails(fd) {
            return -1;
        }
        let first_byte_only = count > 0 && (*parts).iov_len > 0 && shortened(fd, 2) == 1;
        if first_byte_only {
            let short = libc::iovec { iov_base: (*parts).iov_base, iov_len: 1 };
            return real!("writev", Writev)(fd, &short, 1);
        }
        real!("writev", Writev)(fd, parts, count)
    }
}

type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
const WRITE_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    unsafe {
        let real = real!("write", Write);
        if strikes(Fault::FileWrite) && is_file(fd) {
            // Half of the time some of it is on the disk all the same.
            if length > 1 && random().is_multiple_of(2) {
                real(fd, buffer, length / 2);
            }
            return fail::<i32>(&WRITE_ERRORS) as ssize_t;
        }
        real(fd, buffer, length)
    }
}

type Fsync = unsafe extern "C" fn(c_int) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    unsafe {
        if strikes(Fault::FileSync) { fail(&[libc::EIO, libc::ENOSPC]) } else { real!("fsync", Fsync)(fd) }
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    unsafe {
        if strikes(Fault::FileSync) {
            fail(&[libc::EIO, libc::ENOSPC])
        } else {
            real!("fdatasync", Fsync)(fd)
        }
    }
}

type Open64 = unsafe extern "C" fn(*const c_char, c_int, libc::mode_t) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    unsafe {
        if strikes(Fault::Open) {
            return fail(&[libc::EMFILE, libc::ENFILE, libc::EACCES]);
        }
        real!("open64", Open64)(path, flags, mode)
    }
}

type PthreadCreate = unsafe extern "C" fn(
    *mut libc::pthread_t,
    *const libc::pthread_attr_t,
    extern "C" fn(*mut c_void) -> *mut c_void,
    *mut c_void,
) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    run: extern "C" fn(*mut c_void) -> *mut c_void,
    argument: *mut c_void,
) -> c_int {
    unsafe {
        if strikes(Fault::Thread) {
            return libc::EAGAIN;
        }
        real!("pthread_create", PthreadCreate)(thread, attributes, run, argument)
    }
}

type Poll = unsafe extern "C" fn(*mut libc::pollfd, libc::nfds_t, c_int) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn poll(fds: *mut libc::pollfd, count: libc::nfds_t, timeout: c_int) -> c_int {
    unsafe {
        if strikes(Fault::Interrupt) {
            fail(&[libc::EINTR])
        } else {
            real!("poll", Poll)(fds, count, timeout)
        }
    }
}

type EpollWait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;

#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    unsafe {
        if strikes(Fault::Interrupt) {
            return fail(&[libc::EINTR]);
        }
        real!("epoll_wait", EpollWait)(epoll, events, most, timeout)
    }
}
