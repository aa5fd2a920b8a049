//! Counts what a fleet did, second by second, from the logs of its routers.
//!
//! Each `*.log` file of a folder is one router's log, written with `DAMSONVALE_LOG=debug`; a line that counts begins with
//! the second since the start of the run (`12.345 ...`), as the bench writes them. Counted over all routers:
//! requests, attempts, outcomes, connections opened and failed, probes by what the last probe of that member showed,
//! refusals and failures by class and by whether an attempt had gone out.
use crate::error::Error;
use clap::Args;
use regex::Regex;
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};

/// What `count` is asked.
#[derive(Args)]
pub struct Count {
    /// The folder of the routers' logs, one `*.log` file each.
    folder: PathBuf,
}

/// Counts by name, then by second of the run.
#[derive(Default, Debug, PartialEq)]
pub struct Seconds(pub BTreeMap<String, BTreeMap<u64, u64>>);

impl Seconds {
    fn add(&mut self, second: u64, name: impl Into<String>) {
        *self.0.entry(name.into()).or_default().entry(second).or_default() += 1;
    }

    /// How many of this name over the whole run.
    pub fn total(&self, name: &str) -> u64 {
        self.0.get(name).map_or(0, |by| by.values().sum())
    }
}

/// The fields of a line that are counted by: request, member, outcome, class.
struct Fields([Regex; 4]);

impl Fields {
    fn new() -> Fields {
        let field = |pattern: &str| Regex::new(pattern).expect("a pattern of our own");
        Fields([
            field(r"RequestId\((\d+)\)"),
            field(r"MemberId\((\d+)\)"),
            field(r"outcome: (\w+)"),
            field(r"class: (\d+)"),
        ])
    }

    /// Each field's value in the line, or `?` where it has none.
    fn of<'a>(&self, line: &'a str) -> [&'a str; 4] {
        self.0.each_ref().map(|r| r.captures(line).and_then(|c| c.get(1)).map_or("?", |m| m.as_str()))
    }
}

/// What one router's log says, added to `into`. Lines that do not begin with a second are passed over.
pub fn router<'a>(lines: impl IntoIterator<Item = &'a str>, into: &mut Seconds) {
    // Of each request its class and how many attempts went out; of each member what its last probe showed.
    let (mut classes, mut attempts, mut looked) =
        (HashMap::<&str, &str>::new(), HashMap::<&str, u64>::new(), HashMap::<&str, String>::new());
    let fields = Fields::new();
    for line in lines {
        let Some(second) = line.split(' ').next().and_then(|h| h.parse::<f64>().ok()) else { continue };
        // A second before the start or past any day is a line of something else.
        if !(0.0..1e7).contains(&second) {
            continue;
        }
        let second = second as u64;
        let [request, member, outcome, class] = fields.of(line);
        if line.contains("event RequestArrived") {
            classes.insert(request, class);
            into.add(second, "requests");
        } else if line.contains("event AttemptEnded") {
            into.add(second, format!("outcome {outcome}"));
        } else if line.contains("event ProbeEnded") {
            let said =
                if line.contains("report: MemberReport { primary: None") { "no report" } else { "a report" };
            let seen = format!("{outcome}, {said}");
            into.add(second, format!("probed {seen}"));
            looked.insert(member, seen);
        } else if line.contains("action Send") {
            *attempts.entry(request).or_default() += 1;
            into.add(second, "attempts");
        } else if line.contains("action Probe") {
            let before = looked.get(member).map_or("nothing", String::as_str);
            into.add(second, format!("probe after {before}"));
        } else if line.contains("action Reject") || line.contains("action Fail") {
            let kind = if line.contains("action Reject") { "refused" } else { "failed" };
            let tried =
                if attempts.get(request).is_some_and(|n| *n > 0) { "after attempts" } else { "never sent" };
            let class = classes.get(request).copied().unwrap_or("?");
            into.add(second, format!("{kind} class {class}, {tried}"));
        } else if line.contains(" link: ") {
            into.add(second, if line.contains("link: None") { "connections" } else { "connections failed" });
        }
    }
}

/// Counts every `*.log` of a folder. Errors: the folder or a file cannot be read.
pub fn folder(path: &Path) -> Result<Seconds, Error> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(path)
        .map_err(|source| Error::Read { path: path.into(), source })?
        .flatten()
        .map(|e| e.path())
        .filter(|p| p.extension().is_some_and(|x| x == "log"))
        .collect();
    files.sort();
    let mut seconds = Seconds::default();
    for file in files {
        let bytes = std::fs::read(&file).map_err(|source| Error::Read { path: file.clone(), source })?;
        router(String::from_utf8_lossy(&bytes).lines(), &mut seconds);
    }
    Ok(seconds)
}

/// Prints a line for each name: its total, then its count in each second of the run.
pub fn run(asked: &Count) -> Result<(), Error> {
    let seconds = folder(&asked.folder)?;
    let last = seconds.0.values().filter_map(|by| by.keys().next_back()).max().copied().unwrap_or(0);
    for (name, by) in &seconds.0 {
        let each: Vec<String> = (0..=last).map(|s| format!("{:4}", by.get(&s).unwrap_or(&0))).collect();
        println!("{name:36} {:7}  {}", seconds.total(name), each.join(" "));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_refusal_is_told_apart_by_whether_an_attempt_went_out() {
        let log = [
            "0.10 event RequestArrived { id: RequestId(7), class: 2, .. }",
            "0.20 event RequestArrived { id: RequestId(8), class: 1, .. }",
            "0.30 action Send { request: RequestId(7), member: MemberId(3) }",
            "0.40 link: None member=3",
            "1.50 action Reject { request: RequestId(7) }",
            "1.60 action Reject { request: RequestId(8) }",
            "1.70 event ProbeEnded { member: MemberId(3), outcome: Reset, report: MemberReport { primary: None } }",
            "2.00 action Probe { member: MemberId(3) }",
            "a line of something else",
        ];
        let mut seconds = Seconds::default();
        router(log, &mut seconds);
        assert_eq!(seconds.total("requests"), 2);
        assert_eq!(seconds.total("refused class 2, after attempts"), 1);
        assert_eq!(seconds.total("refused class 1, never sent"), 1);
        assert_eq!(seconds.total("connections"), 1);
        assert_eq!(seconds.total("probe after Reset, no report"), 1);
        assert_eq!(seconds.0["attempts"], BTreeMap::from([(0, 1)]));
    }
}
