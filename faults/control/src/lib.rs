//! The file that controls the preloaded library of the package `faults`: 8-byte words in the machine's order.
//!
//! It is a package of its own, since whoever links that library replaces the C library's functions in itself.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The variable that names the control file.
pub const CONTROL_VARIABLE: &str = "DAMSONVALE_FAULTS";
/// Probabilities are out of so many.
pub const SCALE: u64 = 1_000_000;
/// Bytes of a word.
pub const WORD_BYTES: usize = 8;
/// Bytes of the file.
pub const FILE_BYTES: usize = 32 * WORD_BYTES;
/// The word with the wall clock's offset in microseconds.
pub const CLOCK_WORD: usize = 0;
/// The first of the words with the faults' probabilities.
const FIRST_FAULT_WORD: usize = 1;

/// What may fail. Its number is the place of its probability in the file.
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
    /// A socket is read or written by one byte only.
    ShortTransfer = 4,
    /// A connection that this process opened breaks: ETIMEDOUT, EHOSTUNREACH, ECONNRESET.
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
    /// All of them, in the order of the file.
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

    /// The word with its probability.
    pub fn word(self) -> usize {
        FIRST_FAULT_WORD + self as usize
    }
}

/// How often a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultRate {
    /// What fails.
    pub fault: Fault,
    /// How many times out of a million ([`SCALE`]) on average.
    pub per_million: u64,
}

impl FaultRate {
    /// A rate out of a million.
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
    /// Creates the file, without any fault.
    ///
    /// # Errors
    /// Where it can't be created or written.
    pub fn create(path: &Path) -> io::Result<ControlFile> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; FILE_BYTES], 0)?;
        Ok(ControlFile { file })
    }

    /// Opens a file that was created before.
    ///
    /// # Errors
    /// Where it can't be opened.
    pub fn open(path: &Path) -> io::Result<ControlFile> {
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        Ok(ControlFile { file })
    }

    /// Moves the wall clock by so many microseconds against the system's.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_clock_offset(&self, micros: i64) -> io::Result<()> {
        self.write_word(CLOCK_WORD, micros as u64)
    }

    /// Lets a call fail so many times out of a million ([`SCALE`]) on average; 0 ends the fault.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_fault_rate(&self, fault: Fault, per_million: u64) -> io::Result<()> {
        self.write_word(fault.word(), per_million.min(SCALE))
    }

    /// Sets these rates one after the other.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_fault_rates(&self, rates: &[FaultRate]) -> io::Result<()> {
        rates.iter().try_for_each(|rate| self.set_fault_rate(rate.fault, rate.per_million))
    }

    /// Ends all faults; the clock's offset stays.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn clear_faults(&self) -> io::Result<()> {
        Fault::ALL.iter().try_for_each(|fault| self.set_fault_rate(*fault, 0))
    }

    fn write_word(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (WORD_BYTES * word) as u64)
    }
}
