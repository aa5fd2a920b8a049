//! The control file of the preloaded library of the package `faults`: 8-byte words in native byte order.
//!
//! This is a separate package, because a program that links the package `faults` would interpose its own
//! calls to the C library.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The environment variable that names the control file.
pub const CONTROL_VARIABLE: &str = "DAMSONVALE_FAULTS";
/// The denominator of fault rates: this rate makes every call fail.
pub const RATE_SCALE: u64 = 1_000_000;
/// The size of a word, in bytes.
pub const WORD_BYTES: usize = 8;
/// The size of the control file, in bytes.
pub const FILE_BYTES: usize = 32 * WORD_BYTES;
/// The index of the word that holds the wall clock's offset in microseconds.
pub const CLOCK_WORD: usize = 0;
/// The index of the first word that holds a fault rate.
const FIRST_FAULT_WORD: usize = 1;

/// A fault that can be injected. The variant's number determines the position of its rate in the control
/// file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `accept` fails: ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO.
    Accept = 0,
    /// `socket` fails: EMFILE, ENFILE, ENOBUFS, ENOMEM.
    Socket = 1,
    /// `connect` fails: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT.
    Connect = 2,
    /// A call on a socket or a poll is interrupted: EINTR.
    Interrupt = 3,
    /// A socket read or write transfers only one byte.
    ShortTransfer = 4,
    /// A connection that the process opened breaks: ETIMEDOUT, EHOSTUNREACH, ECONNRESET.
    ConnectionLoss = 5,
    /// A thread can't be started: EAGAIN.
    ThreadStart = 6,
    /// A write to a file fails: ENOSPC, EIO; half of the bytes may have been written.
    FileWrite = 7,
    /// A file can't be synced: EIO, ENOSPC.
    FileSync = 8,
    /// A file can't be opened: EMFILE, ENFILE, EACCES.
    FileOpen = 9,
}

impl Fault {
    /// All faults, in the order of the control file.
    pub const ALL: [Fault; 10] = [
        Fault::Accept,
        Fault::Socket,
        Fault::Connect,
        Fault::Interrupt,
        Fault::ShortTransfer,
        Fault::ConnectionLoss,
        Fault::ThreadStart,
        Fault::FileWrite,
        Fault::FileSync,
        Fault::FileOpen,
    ];

    /// Returns the index of the word that holds the fault's rate.
    pub fn word_index(self) -> usize {
        FIRST_FAULT_WORD + self as usize
    }
}

/// The rate of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultRate {
    /// The fault that the rate applies to.
    pub fault: Fault,
    /// The average number of failures per million calls ([`RATE_SCALE`]).
    pub per_million: u64,
}

impl FaultRate {
    /// Creates a rate per million calls.
    pub const fn per_million(fault: Fault, per_million: u64) -> FaultRate {
        FaultRate { fault, per_million }
    }
}

/// A file that controls the faults of the processes that map it.
#[derive(Debug)]
pub struct ControlFile {
    file: File,
}

impl ControlFile {
    /// Creates the file without faults.
    ///
    /// # Errors
    /// The file can't be created or written.
    pub fn create(path: &Path) -> io::Result<ControlFile> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; FILE_BYTES], 0)?;
        Ok(ControlFile { file })
    }

    /// Opens an existing control file.
    ///
    /// # Errors
    /// The file can't be opened.
    pub fn open(path: &Path) -> io::Result<ControlFile> {
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        Ok(ControlFile { file })
    }

    /// Sets the offset of the processes' wall clock from the system's, in microseconds.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_clock_offset(&self, micros: i64) -> io::Result<()> {
        self.write_word(CLOCK_WORD, micros as u64)
    }

    /// Sets the average number of failures per million calls ([`RATE_SCALE`]) of a fault; 0 disables the
    /// fault.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_fault_rate(&self, fault: Fault, per_million: u64) -> io::Result<()> {
        self.write_word(fault.word_index(), per_million.min(RATE_SCALE))
    }

    /// Sets several fault rates, one after the other.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_fault_rates(&self, rates: &[FaultRate]) -> io::Result<()> {
        rates.iter().try_for_each(|rate| self.set_fault_rate(rate.fault, rate.per_million))
    }

    /// Disables all faults; the offset of the wall clock stays in force.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn clear_faults(&self) -> io::Result<()> {
        Fault::ALL.iter().try_for_each(|fault| self.set_fault_rate(*fault, 0))
    }

    fn write_word(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (WORD_BYTES * word) as u64)
    }
}
