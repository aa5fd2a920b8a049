//! Opens damaged log files: truncated at each byte, zeroed from each byte on, and with each single byte
//! inverted or removed. A damaged end of the file is a torn tail and is truncated. Damage that is followed by
//! an acknowledged record is an error, because truncating the file would lose that record.
//!
//! The log has a record of each kind. `fixtures/log_damage.txt` contains the outcomes that were recorded when
//! rejecting damaged logs was introduced. Each line has a kind of damage, the first and the last offset with
//! this outcome, and the outcome.
use std::fmt::Write;
use std::fs;
use std::path::Path;
use store::log_file::LogFile;

const RECORDED_LOG: &str = include_str!("fixtures/log_rewritten.hex");
const RECORDED_OUTCOMES: &str = include_str!("fixtures/log_damage.txt");

#[test]
fn damaged_log_is_truncated_or_rejected_as_recorded() {
    let log = recorded_log();
    let mut outcomes = Outcomes::default();
    for length in 0..=log.len() {
        outcomes.add("truncated to", length, open(&log[..length]));
    }
    for offset in 0..log.len() {
        let mut damaged = log.clone();
        damaged[offset] ^= 0xff;
        outcomes.add("inverted byte", offset, open(&damaged));
    }
    for offset in 0..log.len() {
        let zeroed = [&log[..offset], &vec![0; log.len() - offset]].concat();
        outcomes.add("zeroed from byte", offset, open(&zeroed));
    }
    for offset in 0..log.len() {
        let mut damaged = log.clone();
        damaged.remove(offset);
        outcomes.add("removed byte", offset, open(&damaged));
    }
    assert_eq!(outcomes.text(), RECORDED_OUTCOMES);
}

/// Opens a log file with these bytes and describes the outcome.
fn open(bytes: &[u8]) -> String {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    fs::write(&path, bytes).unwrap();
    match LogFile::open(folder.path()) {
        Ok((_, contents)) => {
            let remaining = assert_tail_truncated(&path, bytes, contents.torn_bytes);
            let (entries, term) = (contents.entries.len(), contents.hard_state.term);
            format!("{remaining} bytes remain, {entries} entries, term {term}")
        }
        Err(error) => {
            assert_eq!(fs::read(&path).unwrap(), bytes, "a rejected file was changed");
            format!("refused: {error}")
        }
    }
}

/// Checks that only the torn bytes were truncated; returns the remaining length.
fn assert_tail_truncated(path: &Path, before: &[u8], torn_bytes: u64) -> usize {
    let after = fs::read(path).unwrap();
    assert_eq!(after.len() as u64 + torn_bytes, before.len() as u64);
    assert!(before.starts_with(&after), "more than the tail of the file was changed");
    after.len()
}

fn recorded_log() -> Vec<u8> {
    let digits = RECORDED_LOG.trim().as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// Outcomes by kind of damage and offset. Adjacent offsets with the same outcome share a line.
#[derive(Default)]
struct Outcomes {
    lines: Vec<OutcomeLine>,
}

struct OutcomeLine {
    damage: &'static str,
    first: usize,
    last: usize,
    outcome: String,
}

impl Outcomes {
    fn add(&mut self, damage: &'static str, offset: usize, outcome: String) {
        match self.lines.last_mut() {
            Some(line) if line.damage == damage && line.outcome == outcome => line.last = offset,
            _ => self.lines.push(OutcomeLine { damage, first: offset, last: offset, outcome }),
        }
    }

    fn text(&self) -> String {
        self.lines.iter().fold(String::new(), |mut text, line| {
            writeln!(text, "{} {}..={}: {}", line.damage, line.first, line.last, line.outcome).unwrap();
            text
        })
    }
}
