//! What opening a damaged log file does, for each byte that may be missing or changed: which end of the file is a torn
//! tail and is cut off, and which damage is refused because a confirmed record stands behind it.
//!
//! The log has a record of each kind. `fixtures/log_damage.txt` has the outcomes as the program gave them when it began to refuse damage. Each line is a
//! kind of damage, the first and the last place with this outcome, and the outcome.
use std::fmt::Write;
use std::fs;
use std::path::Path;
use store::log_file::LogFile;

const RECORDED_LOG: &str = include_str!("fixtures/log_rewritten.hex");
const RECORDED_OUTCOMES: &str = include_str!("fixtures/log_damage.txt");

#[test]
fn damaged_log_is_cut_or_refused_as_recorded() {
    let log = recorded_log();
    let mut outcomes = Outcomes::default();
    for length in 0..=log.len() {
        outcomes.add("truncated to", length, open(&log[..length]));
    }
    for place in 0..log.len() {
        let mut damaged = log.clone();
        damaged[place] ^= 0xff;
        outcomes.add("inverted byte", place, open(&damaged));
    }
    for place in 0..log.len() {
        let zeroed = [&log[..place], &vec![0; log.len() - place]].concat();
        outcomes.add("zeroed from byte", place, open(&zeroed));
    }
    for place in 0..log.len() {
        let mut damaged = log.clone();
        damaged.remove(place);
        outcomes.add("removed byte", place, open(&damaged));
    }
    assert_eq!(outcomes.text(), RECORDED_OUTCOMES);
}

/// Opens a log file with these bytes and describes what becomes of it.
fn open(bytes: &[u8]) -> String {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    fs::write(&path, bytes).unwrap();
    match LogFile::open(folder.path()) {
        Ok((_, contents)) => {
            let remaining = assert_tail_cut(&path, bytes, contents.torn_bytes);
            let (entries, term) = (contents.entries.len(), contents.hard_state.term);
            format!("{remaining} bytes remain, {entries} entries, term {term}")
        }
        Err(error) => {
            assert_eq!(fs::read(&path).unwrap(), bytes, "a refused file stays as it was");
            format!("refused: {error}")
        }
    }
}

/// Checks that the file has all its bytes but the torn ones; returns how many it has.
fn assert_tail_cut(path: &Path, before: &[u8], torn_bytes: u64) -> usize {
    let after = fs::read(path).unwrap();
    assert_eq!(after.len() as u64 + torn_bytes, before.len() as u64);
    assert!(before.starts_with(&after), "only the tail is cut off");
    after.len()
}

fn recorded_log() -> Vec<u8> {
    let digits = RECORDED_LOG.trim().as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// Outcomes by kind of damage and place; neighbouring places with one outcome are one line.
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
    fn add(&mut self, damage: &'static str, place: usize, outcome: String) {
        match self.lines.last_mut() {
            Some(line) if line.damage == damage && line.outcome == outcome => line.last = place,
            _ => self.lines.push(OutcomeLine { damage, first: place, last: place, outcome }),
        }
    }

    fn text(&self) -> String {
        self.lines.iter().fold(String::new(), |mut text, line| {
            writeln!(text, "{} {}..={}: {}", line.damage, line.first, line.last, line.outcome).unwrap();
            text
        })
    }
}
