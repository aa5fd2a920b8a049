//! Faults of one process's clock, system calls and disk, for tests.
//!
//! Built as a shared library, this package is preloaded into a process (`LD_PRELOAD`) and stands between it and the C
//! library. A small file that the process maps decides what it does (package `fault-control`): whoever opens a
//! [`ControlFile`](fault_control::ControlFile) of it changes the faults while the process runs. Without the variable
//! [`CONTROL_VARIABLE`](fault_control::CONTROL_VARIABLE) the library changes nothing.
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
