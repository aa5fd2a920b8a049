//! Changes the replicated store with operators' commands and reads its state at the end.
use super::settings::STORE_NODES;
use crate::history::StoreRecord;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The key that the run changes.
const CHANGED_KEY: &str = "soak";
/// The key that is changed at the end to check that the store accepts changes again.
const RECOVERY_KEY: &str = "soak-end";

/// Changes the store at each node in turn and records the last confirmed change.
pub(super) struct StoreProbe {
    program: PathBuf,
    control_addresses: Vec<SocketAddr>,
    /// The number of the last change.
    last_change: u64,
    record: StoreRecord,
}

impl StoreProbe {
    /// Creates a probe that runs the command `ctl` of the router program with the nodes' control addresses.
    pub(super) fn new(program: &Path, control_addresses: &[SocketAddr]) -> StoreProbe {
        StoreProbe {
            program: program.to_path_buf(),
            control_addresses: control_addresses.to_vec(),
            last_change: 0,
            record: StoreRecord::default(),
        }
    }

    /// Returns the last confirmed change and the number found at the end.
    pub(super) fn record(&self) -> StoreRecord {
        self.record
    }

    /// Returns the node for the next change.
    pub(super) fn next_node(&self) -> usize {
        (self.last_change + 1) as usize % STORE_NODES
    }

    /// Sets the key to the next number at a node, if the node is present. The number counts as confirmed if
    /// the command succeeds.
    pub(super) fn change(&mut self, node: usize, is_present: bool) {
        self.last_change += 1;
        let number = self.last_change;
        if is_present && self.run(node, &["set", CHANGED_KEY, &number.to_string()]).is_some() {
            self.record.confirmed = number;
        }
    }

    /// Reads the key at the first node that accepts a change. Returns `false` if no node does.
    pub(super) fn read_back(&mut self) -> bool {
        let accepting = (0..STORE_NODES).find(|node| self.run(*node, &["set", RECOVERY_KEY, "1"]).is_some());
        let Some(node) = accepting else { return false };
        let text = self.run(node, &["get", CHANGED_KEY]).unwrap_or_default();
        let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        self.record.found = value["text"].as_str().and_then(|text| text.parse().ok());
        self.record.recovered = true;
        true
    }

    /// Runs a command with a node's control address and returns its output if it succeeds.
    fn run(&self, node: usize, words: &[&str]) -> Option<String> {
        let address = self.control_addresses[node].to_string();
        let mut command = Command::new(&self.program);
        command.arg("ctl").arg(address).args(words).env_clear();
        let output = command.output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }
}
