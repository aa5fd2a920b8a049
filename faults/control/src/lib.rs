//! The file that tells the preloaded library of the package `faults` what to do: 8-byte words in the machine's order.
//! It is a package of its own, since whoever links that library replaces the C library's functions in itself.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The variable that names the control file.
pub const CONTROL_VARIABLE: &str = "DAMSONVALE_FAULTS";
/// Probabilities are out of so many.
pub const SCALE: u64 = 1_000_000;
/// Bytes of the file.
pub const FILE_BYTES: usize = 32 * 8;
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
    Short = 4,
    /// A connection that this process made breaks: ETIMEDOUT, EHOSTUNREACH, ECONNRESET.
    Break = 5,
    /// A thread can't be started: EAGAIN.
    Thread = 6,
    /// A write to a file fails: ENOSPC, EIO; half of the bytes may have been written.
    FileWrite = 7,
    /// A file can't be synced: EIO, ENOSPC.
    FileSync = 8,
    /// A file can't be opened: EMFILE, ENFILE, EACCES.
    Open = 9,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 10] = [
        Fault::Accept,
        Fault::Socket,
        Fault::Connect,
        Fault::Interrupt,
        Fault::Short,
        Fault::Break,
        Fault::Thread,
        Fault::FileWrite,
        Fault::FileSync,
        Fault::Open,
    ];

    /// The word that holds its probability.
    pub fn word(self) -> usize {
        FIRST_FAULT_WORD + self as usize
    }
}

/// Tells the processes that map a file what to do.
#[derive(Debug)]
pub struct ControlFile(File);

impl ControlFile {
    /// Creates the file, without any fault.
    ///
    /// # Errors
    /// Where it can't be created or written.
    pub fn create(path: &Path) -> io::Result<ControlFile> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; FILE_BYTES], 0)?;
        Ok(ControlFile(file))
    }

    /// Opens a file that was created before.
    ///
    /// # Errors
    /// Where it can't be opened.
    pub fn open(path: &Path) -> io::Result<ControlFile> {
        OpenOptions::new().read(true).write(true).open(path).map(ControlFile)
    }

    fn set(&self, word: usize, value: u64) -> io::Result<()> {
        self.0.write_all_at(&value.to_ne_bytes(), 8 * word as u64)
    }

    /// Moves the wall clock by so many microseconds against the system's.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_clock_offset(&self, micros: i64) -> io::Result<()> {
        self.set(CLOCK_WORD, micros as u64)
    }

    /// Lets a call fail so many times out of a million; 0 ends it.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_fault(&self, fault: Fault, per_million: u64) -> io::Result<()> {
        self.set(fault.word(), per_million.min(SCALE))
    }

    /// Ends all faults; the clock stays where it is.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn clear_faults(&self) -> io::Result<()> {
        Fault::ALL.iter().try_for_each(|fault| self.set_fault(*fault, 0))
    }
}
