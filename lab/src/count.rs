//! `count`: counts what a fleet did, second by second, from the logs of its routers.
//!
//! Each `*.log` file of a folder is one router's log, written with `DAMSONVALE_LOG=debug`; a line that counts begins with
//! the second since the start of the run (`12.345 ...`), as the bench writes them. Counted over all routers:
//! requests, attempts, outcomes, connections opened and failed, probes by what the last probe of that member showed,
//! rejections and failures by class and by whether an attempt had been sent.
use crate::error::Error;
use clap::Args;
use regex::Regex;
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};

/// Seconds from this on are no time within a run.
const MAX_SECOND: f64 = 1e7;
/// Value of a field that a line does not have.
const UNKNOWN: &str = "?";

/// Arguments of `count`.
#[derive(Args)]
pub struct CountArguments {
    /// The folder of the routers' logs, one `*.log` file each.
    folder: PathBuf,
}

/// Counts by name, then by second of the run.
#[derive(Default, Debug, PartialEq)]
pub struct EventCounts(pub BTreeMap<String, BTreeMap<u64, u64>>);

impl EventCounts {
    fn increment(&mut self, second: u64, name: impl Into<String>) {
        *self.0.entry(name.into()).or_default().entry(second).or_default() += 1;
    }

    /// The count of a name over the whole run.
    pub fn total(&self, name: &str) -> u64 {
        self.0.get(name).map_or(0, |by_second| by_second.values().sum())
    }

    fn last_second(&self) -> u64 {
        self.0.values().filter_map(|by_second| by_second.keys().next_back()).max().copied().unwrap_or(0)
    }
}

/// Fields of a log line that events are counted by; [`UNKNOWN`] where it has none.
struct LogFields<'a> {
    request: &'a str,
    member: &'a str,
    outcome: &'a str,
    class: &'a str,
}

/// Patterns of the fields.
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

    fn fields_of<'a>(&self, line: &'a str) -> LogFields<'a> {
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

/// Reader of one router's log, with what later lines refer to.
struct LogReader<'a, 'c> {
    counts: &'c mut EventCounts,
    /// Class of each request.
    classes: HashMap<&'a str, &'a str>,
    /// Attempts sent of each request.
    attempts: HashMap<&'a str, u64>,
    /// What the last probe of each member showed.
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

/// The second that a line begins with; `None` for a line of something else.
fn second_of(line: &str) -> Option<u64> {
    let seconds: f64 = line.split(' ').next()?.parse().ok()?;
    (0.0..MAX_SECOND).contains(&seconds).then_some(seconds as u64)
}

/// Adds the events of one router's log to `counts`. Lines that do not begin with a second are skipped.
///
/// # Panics
/// Never: the patterns are constants.
pub fn count_router_log<'a>(lines: impl IntoIterator<Item = &'a str>, counts: &mut EventCounts) {
    let patterns = FieldPatterns::new();
    let (classes, attempts, last_probes) = (HashMap::new(), HashMap::new(), HashMap::new());
    let mut reader = LogReader { counts, classes, attempts, last_probes };
    for line in lines {
        if let Some(second) = second_of(line) {
            reader.read_line(second, line, &patterns.fields_of(line));
        }
    }
}

/// Counts every `*.log` of a folder.
///
/// # Errors
/// The folder or a file can't be read.
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

/// Prints a line for each name: its total, then its count in each second of the run.
///
/// # Errors
/// The folder or a file can't be read.
pub fn run(arguments: &CountArguments) -> Result<(), Error> {
    let counts = count_folder(&arguments.folder)?;
    let last = counts.last_second();
    for (name, by_second) in &counts.0 {
        let each: Vec<String> =
            (0..=last).map(|second| format!("{:4}", by_second.get(&second).unwrap_or(&0))).collect();
        println!("{name:36} {:7}  {}", counts.total(name), each.join(" "));
    }
    Ok(())
}
