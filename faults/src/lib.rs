//! Faults of one process's clock, system calls and disk, for tests.
//!
//! Built as a shared library, this package is preloaded into a process (`LD_PRELOAD`) and wraps functions of the C
//! library. A small file that the process maps holds the faults (package `fault-control`): a test that opens it as a
//! [`ControlFile`](fault_control::ControlFile) changes them while the process runs. The environment variable
//! [`CONTROL_VARIABLE`](fault_control::CONTROL_VARIABLE) names the file; without it the library changes nothing.
//!
//! - The wall clock is moved by an offset; the monotonic clock is left alone.
//! - Calls on sockets, on files and the start of threads fail with a probability, with the error numbers that Linux
//!   documents for them; reads and writes are shortened; a write to a file may leave half of its bytes.
//!
//! The part that replaces the C library's functions is unsafe by nature; it is never linked into the product.
mod control_map;
mod descriptor;
mod interpose;
mod libc_function;
