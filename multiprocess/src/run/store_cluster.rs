//! The processes of the store's nodes.
use super::error::RunError;
use super::startup::{POLL_INTERVAL, READY_LOG_LINE, STARTUP_TIMEOUT};
use crate::process::{Child, ResourceUsage, run_command};
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

/// Addresses of the store's nodes, in the order of the nodes' numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreAddresses {
    /// Addresses for traffic between nodes.
    pub(super) peers: Vec<SocketAddr>,
    /// Addresses for clients of the store.
    pub(super) clients: Vec<SocketAddr>,
    /// Addresses for operators' commands.
    pub(super) controls: Vec<SocketAddr>,
    /// Addresses of the quota allocators, to which routers of the fleet connect.
    pub(super) allocators: Vec<SocketAddr>,
}

impl StoreAddresses {
    /// Assigns the addresses to the nodes, four to each.
    pub(super) fn new(nodes: usize, addresses: &[SocketAddr]) -> StoreAddresses {
        let part = |index: usize| addresses[index * nodes..(index + 1) * nodes].to_vec();
        StoreAddresses { peers: part(0), clients: part(1), controls: part(2), allocators: part(3) }
    }
}

struct Node {
    file: PathBuf,
    control: SocketAddr,
    child: Option<Child>,
}

/// All nodes of the store; each is a process.
pub(super) struct StoreCluster {
    program: PathBuf,
    pub(super) addresses: StoreAddresses,
    nodes: Vec<Node>,
}

impl StoreCluster {
    pub(super) fn new(program: PathBuf, addresses: StoreAddresses) -> StoreCluster {
        StoreCluster { program, addresses, nodes: Vec::new() }
    }

    /// Adds a node with its configuration file, and starts it.
    pub(super) fn add_node(&mut self, file: PathBuf) -> Result<(), RunError> {
        let index = self.nodes.len();
        self.nodes.push(Node { file, control: self.addresses.controls[index], child: None });
        self.start_node(index)
    }

    pub(super) fn start_node(&mut self, index: usize) -> Result<(), RunError> {
        let node = &mut self.nodes[index];
        let (name, file) = (format!("node {}", index + 1), node.file.display().to_string());
        node.child = Some(Child::start(&self.program, &name, &["serve", &file])?);
        Ok(())
    }

    /// Waits until every node is ready and the store has a leader.
    pub(super) fn wait_until_ready(&self) -> Result<(), RunError> {
        for child in self.nodes.iter().filter_map(|node| node.child.as_ref()) {
            child.wait_for_log(READY_LOG_LINE, STARTUP_TIMEOUT)?;
        }
        let wait_start = Instant::now();
        while !self.nodes.is_empty() && self.leader().is_none() {
            if wait_start.elapsed() > STARTUP_TIMEOUT {
                return Err(RunError::NoLeader);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the index of the leader, as reported by the first node that responds.
    pub(super) fn leader(&self) -> Option<usize> {
        self.nodes.iter().find_map(|node| self.leader_reported_by(node))
    }

    fn leader_reported_by(&self, node: &Node) -> Option<usize> {
        node.child.as_ref()?;
        let text = run_command(&self.program, &["ctl", &node.control.to_string(), "status"]).ok()?;
        let status: serde_json::Value = serde_json::from_str(&text).ok()?;
        status["leader"].as_u64().filter(|number| *number > 0).map(|number| number as usize - 1)
    }

    pub(super) fn kill_node(&mut self, index: usize) {
        self.nodes[index].child = None;
    }

    /// Sends a signal to a node; does nothing if the node was killed.
    pub(super) fn signal_node(&self, index: usize, signal: Signal) -> Result<(), RunError> {
        match &self.nodes[index].child {
            Some(child) => Ok(child.signal(signal)?),
            None => Ok(()),
        }
    }

    /// Returns the resource usage of the running nodes.
    pub(super) fn resource_usage(&self) -> Vec<ResourceUsage> {
        let children = self.nodes.iter().filter_map(|node| node.child.as_ref());
        children.filter_map(Child::resource_usage).collect()
    }
}
