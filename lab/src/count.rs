//! `count`: counts the events of a fleet for each second, from the logs of its routers.
//!
//! Each `*.log` file of a folder is the log of one router, written with `DAMSONVALE_LOG=debug`. Only lines
//! that begin with the second since the start of the run (`12.345 ...`) are counted; the bench writes such
//! lines. The command sums over all routers: requests, attempts, outcomes, opened and failed connections,
//! probes by the result of the member's previous probe, and rejections and failures by class and by whether
//! an attempt had been sent.
use crate::error::Error;
use clap::Args;
use regex::Regex;
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};

/// Upper limit of a valid time within a run, in seconds; a larger number at the start of a line is not a
/// time.
const MAX_SECOND: f64 = 1e7;
/// Value used for a field that is missing in a log line.
const UNKNOWN: &str = "?";

/// Arguments of `count`.
#[derive(Args)]
pub struct CountArguments {
    /// Folder with the routers' logs, one `*.log` file for each router.
    folder: PathBuf,
}

/// Event counts by event name, then by second of the run.
#[derive(Default, Debug, PartialEq)]
pub struct EventCounts(pub BTreeMap<String, BTreeMap<u64, u64>>);

impl EventCounts {
    fn increment(&mut self, second: u64, name: impl Into<String>) {
        *self.0.entry(name.into()).or_default().entry(second).or_default() += 1;
    }

    /// Returns the count of an event over the whole run.
    pub fn total(&self, name: &str) -> u64 {
        self.0.get(name).map_or(0, |by_second| by_second.values().sum())
    }

    fn last_second(&self) -> u64 {
        self.0.values().filter_map(|by_second| by_second.keys().next_back()).max().copied().unwrap_or(0)
    }
}

/// The fields of a log line by which events are counted; a missing field is [`UNKNOWN`].
struct LogFields<'a> {
    request: &'a str,
    member: &'a str,
    outcome: &'a str,
    class: &'a str,
}

/// Regular expressions that find the fields.
struct FieldPatterns {
    request: Regex,
    member: Regex,
    outcome: Regex,
    class: Regex,
}

impl FieldPatterns {
    fn new() -> FieldPatterns {
        let compile = |pattern: &str| Regex::new(pattern).expect("the pattern is a constant");
        FieldPatterns {
            request: compile(r"RequestId\((\d+)\)"),
            member: compile(r"MemberId\((\d+)\)"),
            outcome: compile(r"outcome: (\w+)"),
            class: compile(r"class: (\d+)"),
        }
    }

    fn parse_fields<'a>(&self, line: &'a str) -> LogFields<'a> {
        let value = |pattern: &Regex| {
            pattern
                .captures(line)
                .and_then(|captures| captures.get(1))
                .map_or(UNKNOWN, |value| value.as_str())
        };
        LogFields {
            request: value(&self.request),
            member: value(&self.member),
            outcome: value(&self.outcome),
            class: value(&self.class),
        }
    }
}

/// Counts the events of one router's log, and stores the requests and probes that later lines refer to.
struct LogReader<'a, 'c> {
    counts: &'c mut EventCounts,
    /// Class of each request.
    classes: HashMap<&'a str, &'a str>,
    /// Number of attempts sent for each request.
    attempts: HashMap<&'a str, u64>,
    /// Result of the last probe of each member.
    last_probes: HashMap<&'a str, String>,
}

impl<'a> LogReader<'a, '_> {
    fn read_line(&mut self, second: u64, line: &'a str, fields: &LogFields<'a>) {
        if line.contains("event=RequestArrived") {
            self.classes.insert(fields.request, fields.class);
            self.counts.increment(second, "requests");
        } else if line.contains("event=AttemptEnded") {
            self.counts.increment(second, format!("outcome {}", fields.outcome));
        } else if line.contains("event=ProbeEnded") {
            self.read_probe_end(second, line, fields);
        } else if line.contains("action=Send") {
            *self.attempts.entry(fields.request).or_default() += 1;
            self.counts.increment(second, "attempts");
        } else if line.contains("action=Probe") {
            let last = self.last_probes.get(fields.member).map_or("nothing", String::as_str);
            self.counts.increment(second, format!("probe after {last}"));
        } else if line.contains("action=Reject") {
            self.count_unserved(second, "refused", fields.request);
        } else if line.contains("action=Fail") {
            self.count_unserved(second, "failed", fields.request);
        } else if line.contains("backend connection opened") {
            self.counts.increment(second, "connections");
        } else if line.contains("backend connection failed") {
            self.counts.increment(second, "connections failed");
        }
    }

    fn read_probe_end(&mut self, second: u64, line: &str, fields: &LogFields<'a>) {
        let without_report = line.contains("report: MemberReport { primary: None");
        let report = if without_report { "no report" } else { "a report" };
        let result = format!("{}, {report}", fields.outcome);
        self.counts.increment(second, format!("probed {result}"));
        self.last_probes.insert(fields.member, result);
    }

    fn count_unserved(&mut self, second: u64, kind: &str, request: &str) {
        let attempts = self.attempts.get(request).copied().unwrap_or(0);
        let sent = if attempts > 0 { "after attempts" } else { "never sent" };
        let class = self.classes.get(request).copied().unwrap_or(UNKNOWN);
        self.counts.increment(second, format!("{kind} class {class}, {sent}"));
    }
}

/// Parses the second at the start of a line; `None` for a line without one.
fn parse_second(line: &str) -> Option<u64> {
    let seconds: f64 = line.split(' ').next()?.parse().ok()?;
    (0.0..MAX_SECOND).contains(&seconds).then_some(seconds as u64)
}

/// Adds the events of one router's log to `counts`. Lines that do not begin with a second are skipped.
///
/// # Panics
/// Does not panic: the regular expressions are constant and valid.
pub fn count_router_log<'a>(lines: impl IntoIterator<Item = &'a str>, counts: &mut EventCounts) {
    let patterns = FieldPatterns::new();
    let (classes, attempts, last_probes) = (HashMap::new(), HashMap::new(), HashMap::new());
    let mut reader = LogReader { counts, classes, attempts, last_probes };
    for line in lines {
        if let Some(second) = parse_second(line) {
            reader.read_line(second, line, &patterns.parse_fields(line));
        }
    }
}

/// Counts the events of all `*.log` files in a folder.
///
/// # Errors
/// Returns an error if the folder or a file can't be read.
pub fn count_folder(folder: &Path) -> Result<EventCounts, Error> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .map_err(|source| Error::Read { path: folder.into(), source })?
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    files.sort();
    let mut counts = EventCounts::default();
    for file in files {
        let bytes = std::fs::read(&file).map_err(|source| Error::Read { path: file.clone(), source })?;
        count_router_log(String::from_utf8_lossy(&bytes).lines(), &mut counts);
    }
    Ok(counts)
}

/// Prints a line for each event: its total, then its count in each second of the run.
///
/// # Errors
/// Returns an error if the folder or a file can't be read.
pub fn run(arguments: &CountArguments) -> Result<(), Error> {
    let counts = count_folder(&arguments.folder)?;
    let last = counts.last_second();
    for (name, by_second) in &counts.0 {
        let second_counts: Vec<String> =
            (0..=last).map(|second| format!("{:4}", by_second.get(&second).unwrap_or(&0))).collect();
        println!("{name:36} {:7}  {}", counts.total(name), second_counts.join(" "));
    }
    Ok(())
}
