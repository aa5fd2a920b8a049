//! Settings of the memory allocator, so that memory which is no longer used returns to the system.

/// Number of arenas. By default there are eight for each processor of the machine, and each keeps free memory of its own.
#[cfg(target_env = "gnu")]
const ARENAS: libc::c_int = 2;
/// Allocations from this size on are mapped, and return to the system when they are freed, in bytes.
#[cfg(target_env = "gnu")]
const MAPPED_BYTES: libc::c_int = 32 * 1024;
/// Free memory at the end of an arena from which on it returns to the system, in bytes.
#[cfg(target_env = "gnu")]
const TRIMMED_BYTES: libc::c_int = 128 * 1024;

/// Limits the memory that the allocator keeps for later allocations. Has to be called before other threads start.
#[cfg(target_env = "gnu")]
pub(crate) fn limit_retained_memory() {
    let settings = [
        (libc::M_ARENA_MAX, ARENAS),
        (libc::M_MMAP_THRESHOLD, MAPPED_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIMMED_BYTES),
    ];
    for (parameter, value) in settings {
        // SAFETY: `mallopt` takes plain numbers. A refusal leaves the default in force, which only costs memory.
        _ = unsafe { libc::mallopt(parameter, value) };
    }
}

/// Other allocators have no such settings.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn limit_retained_memory() {}
