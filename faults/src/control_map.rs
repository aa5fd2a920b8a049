//! The memory mapping of the control file, and the random decisions based on its probabilities.
use fault_control::{CONTROL_VARIABLE, FILE_BYTES, Fault, RATE_SCALE, WORD_BYTES};
use libc::{c_char, c_int};
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The value of [`MAPPING_ADDRESS`] before the first attempt to map the control file.
const NOT_INITIALIZED: usize = 0;
/// The value of [`MAPPING_ADDRESS`] if there is no control file or it can't be mapped.
const NOT_MAPPED: usize = 1;
/// The size of the buffer for the environment variable's name and its terminating NUL.
const NAME_BYTES: usize = 64;

/// The address of the control file's mapping, [`NOT_INITIALIZED`] or [`NOT_MAPPED`].
static MAPPING_ADDRESS: AtomicUsize = AtomicUsize::new(NOT_INITIALIZED);

thread_local! {
    /// The state of this thread's random number generator; 0 before its first use.
    static RANDOM_STATE: Cell<u64> = const { Cell::new(0) };
}

/// Reads a word of the control file; 0 if there is no control file.
pub(crate) fn read_word(index: usize) -> u64 {
    match mapping_address() {
        NOT_MAPPED => 0,
        // SAFETY: the mapping has FILE_BYTES bytes, every word index is within it, and words are aligned.
        address => unsafe { (*((address + WORD_BYTES * index) as *const AtomicU64)).load(Ordering::Relaxed) },
    }
}

/// Whether the control file gives a fault a probability above 0.
pub(crate) fn is_enabled(fault: Fault) -> bool {
    read_word(fault.word_index()) > 0
}

/// Decides at random, with the fault's probability, whether to inject the fault into this call.
pub(crate) fn should_inject(fault: Fault) -> bool {
    let probability = read_word(fault.word_index());
    probability > 0 && random() % RATE_SCALE < probability
}

/// Returns the next random number of this thread (xorshift, seeded with the thread id).
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

fn mapping_address() -> usize {
    let cached = MAPPING_ADDRESS.load(Ordering::Acquire);
    if cached != NOT_INITIALIZED {
        return cached;
    }
    let address = map_control_file();
    MAPPING_ADDRESS.store(address, Ordering::Release);
    address
}

/// Maps the control file without calling any function that this library interposes.
fn map_control_file() -> usize {
    let mut name = [0u8; NAME_BYTES];
    name[..CONTROL_VARIABLE.len()].copy_from_slice(CONTROL_VARIABLE.as_bytes());
    // SAFETY: the name is NUL-terminated.
    let path = unsafe { libc::getenv(name.as_ptr().cast::<c_char>()) };
    if path.is_null() {
        return NOT_MAPPED;
    }
    let flags = libc::O_RDONLY | libc::O_CLOEXEC;
    // SAFETY: the path returned by `getenv` is NUL-terminated.
    let fd = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, 0) } as c_int;
    let (protection, sharing) = (libc::PROT_READ, libc::MAP_SHARED);
    // SAFETY: the kernel chooses the address, and the call fails for an invalid descriptor. The file is never
    // unmapped.
    let address = unsafe { libc::mmap(std::ptr::null_mut(), FILE_BYTES, protection, sharing, fd, 0) };
    // SAFETY: the descriptor was opened by this function, and the mapping stays valid after it is closed.
    unsafe { libc::syscall(libc::SYS_close, fd) };
    if fd < 0 || address == libc::MAP_FAILED { NOT_MAPPED } else { address as usize }
}
