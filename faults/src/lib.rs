//! Fault injection for tests: steps the wall clock of a process and makes its system calls and file writes
//! fail.
//!
//! This package is built as a shared library, preloaded into a process (`LD_PRELOAD`), and interposes
//! functions of the C library. The process maps a small control file that holds the faults (package
//! `fault-control`). A test that opens the file as a [`ControlFile`](fault_control::ControlFile) can change
//! the faults while the process runs. The environment variable
//! [`CONTROL_VARIABLE`](fault_control::CONTROL_VARIABLE) names the file; if it is not set, the library
//! injects no faults.
//!
//! - The wall clock is shifted by an offset; the monotonic clock is not changed.
//! - Calls on sockets and files and starts of threads fail with a configured probability and with error
//!   numbers that Linux documents for them. Socket reads and writes may transfer fewer bytes than requested.
//!   A failed write to a file may have written half of its bytes.
//!
//! Interposing functions of the C library requires unsafe code. This library is never linked into the router.
mod control_map;
mod descriptor;
mod interpose;
mod libc_function;
