//! The control file's map in this process, and the draws that it decides.
use fault_control::{CONTROL_VARIABLE, FILE_BYTES, Fault, SCALE, WORD_BYTES};
use libc::{c_char, c_int};
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// [`MAP_ADDRESS`] before the control file was looked for.
const NOT_LOOKED_FOR: usize = 0;
/// [`MAP_ADDRESS`] where there is no control file.
const NOT_MAPPED: usize = 1;
/// Room for the variable's name and the zero behind it.
const NAME_BYTES: usize = 64;

/// The address of the control file's map, or one of the two constants above.
static MAP_ADDRESS: AtomicUsize = AtomicUsize::new(NOT_LOOKED_FOR);

thread_local! {
    /// The state of this thread's random numbers; 0 before the first.
    static RANDOM_STATE: Cell<u64> = const { Cell::new(0) };
}

/// A word of the control file; 0 where there is no file.
pub(crate) fn word(index: usize) -> u64 {
    match map_address() {
        NOT_MAPPED => 0,
        // SAFETY: the map has FILE_BYTES bytes, every index is below that, and a word is aligned.
        address => unsafe { (*((address + WORD_BYTES * index) as *const AtomicU64)).load(Ordering::Relaxed) },
    }
}

/// Whether the control file gives a fault any probability.
pub(crate) fn is_enabled(fault: Fault) -> bool {
    word(fault.word()) > 0
}

/// Draws whether a fault happens now.
pub(crate) fn is_drawn(fault: Fault) -> bool {
    let probability = word(fault.word());
    probability > 0 && random() % SCALE < probability
}

/// The next random number of this thread (xorshift, seeded with the thread's id).
pub(crate) fn random() -> u64 {
    RANDOM_STATE.with(|state| {
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

fn map_address() -> usize {
    let known = MAP_ADDRESS.load(Ordering::Acquire);
    if known != NOT_LOOKED_FOR {
        return known;
    }
    let address = map_control_file();
    MAP_ADDRESS.store(address, Ordering::Release);
    address
}

/// Maps the control file, without any function that this library replaces.
fn map_control_file() -> usize {
    let mut name = [0u8; NAME_BYTES];
    name[..CONTROL_VARIABLE.len()].copy_from_slice(CONTROL_VARIABLE.as_bytes());
    // SAFETY: the name ends with a zero.
    let path = unsafe { libc::getenv(name.as_ptr().cast::<c_char>()) };
    if path.is_null() {
        return NOT_MAPPED;
    }
    let flags = libc::O_RDONLY | libc::O_CLOEXEC;
    // SAFETY: the path that getenv returned ends with a zero.
    let fd = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, 0) } as c_int;
    let (protection, sharing) = (libc::PROT_READ, libc::MAP_SHARED);
    // SAFETY: the system chooses the address; a descriptor that is none makes the call fail. The map is never removed.
    let address = unsafe { libc::mmap(std::ptr::null_mut(), FILE_BYTES, protection, sharing, fd, 0) };
    // SAFETY: the descriptor is this function's own, and the map outlives it.
    unsafe { libc::syscall(libc::SYS_close, fd) };
    if fd < 0 || address == libc::MAP_FAILED { NOT_MAPPED } else { address as usize }
}
