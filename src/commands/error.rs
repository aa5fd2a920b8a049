//! Why a command ends without having done what it was asked for.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command ends without having done what it was asked for. Each message names the file, the key or the address
/// at fault.
#[derive(Debug, Error)]
pub enum Error {
    /// A file can't be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A configuration can't be used.
    #[error("{}: {source}", .path.display())]
    Settings {
        /// Its file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: settings::Error,
    },
    /// Nothing says where the platform's configuration is.
    #[error("BALANCER_CONFIG: expected the path of the configuration")]
    NoConfig,
    /// The socket that the platform passed can't be used.
    #[error("BALANCER_PASSED_SOCKET: {0}")]
    Passed(#[from] clients::InheritedSocketError),
    /// The passed socket does not say where it listens.
    #[error("BALANCER_PASSED_SOCKET: {0}; let the platform pass it anew")]
    PassedAddress(io::Error),
    /// An address can't be listened on.
    #[error("{key}: {addr}: {source}; see who else listens there")]
    Listen {
        /// What names the address.
        key: &'static str,
        /// The address.
        addr: String,
        /// Why not.
        source: io::Error,
    },
    /// Signals can't be taken.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// No thread could be started.
    #[error("{what}: no thread: {source}; raise the limit of processes of this user")]
    Thread {
        /// What it was for.
        what: &'static str,
        /// Why not.
        source: io::Error,
    },
    /// The module's threads don't start.
    #[error("the core does not start: {0}; raise the limit of processes of this user")]
    Core(io::Error),
    /// The operators' address can't be opened.
    #[error("admin_addr: {0}")]
    Door(#[from] admin::AdminServerError),
    /// The figures can't be set up: names of classes that no figure can carry.
    #[error("figures: {0}")]
    Figures(Box<dyn std::error::Error + Send + Sync>),
    /// Discovery can't be watched.
    #[error("no watch: {0}; raise the limit of processes of this user")]
    Watch(io::Error),
    /// Clients are no longer taken.
    #[error("the front ended: {0}")]
    Front(io::Error),
    /// The store does not start.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// A store that runs was not asked, or said no.
    #[error(transparent)]
    Command(#[from] store::control::CommandError),
    /// Sessions don't start.
    #[error(transparent)]
    Sessions(#[from] sessions::Error),
    /// An instance of sessions was not asked.
    #[error(transparent)]
    Ask(#[from] sessions::error::AskError),
    /// A folder of sessions holds no journal.
    #[error("{}: there is no journal", .0.display())]
    NoJournal(PathBuf),
    /// A journal can't be believed.
    #[error("{}: {fault}", .path.display())]
    Journal {
        /// Its file.
        path: PathBuf,
        /// Why not.
        fault: sessions::journal::Fault,
    },
    /// No recording begins.
    #[error(transparent)]
    Record(#[from] pcap::record::RecordError),
    /// A capture can't be read to its end.
    #[error("{}: {source}", .path.display())]
    Capture {
        /// Its file.
        path: PathBuf,
        /// Where, and why.
        source: pcap::capture::CaptureError,
    },
    /// A replay broke off.
    #[error(transparent)]
    Replay(#[from] pcap::replay::ReplayError),
    /// The registry can't be followed.
    #[error(transparent)]
    Registry(#[from] registry::Error),
    /// The fleet's members can't be joined.
    #[error("members: {0}")]
    Membership(#[from] membership::Error),
    /// The fleet's document in a file can't be used.
    #[error("{}: {source}", .path.display())]
    Fleet {
        /// The file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: settings::fleet::FleetError,
    },
    /// The fleet's document can't be read or written in the store.
    #[error("fleet: {0}")]
    Document(#[from] fleet::document::DocumentError),
    /// The document of a file can't be written in the store.
    #[error("{}: {source}", .path.display())]
    Set {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: fleet::document::DocumentError,
    },
    /// The store does not answer its client.
    #[error("store: {0}")]
    Client(#[from] store::client::ClientError),
    /// The store has no document of the fleet.
    #[error("there is no document yet; set one with `fleet set`")]
    NoDocument,
    /// The file names no registry.
    #[error("{}: expected a table 'registry' in the file", .0.display())]
    NoRegistry(PathBuf),
    /// The registry was not asked, or said no.
    #[error(transparent)]
    Asked(#[from] registry::Failed),
    /// No member of the registry did what was asked; the last one that was tried, and why it did not.
    #[error("{addr}: {why}")]
    Members {
        /// The member.
        addr: SocketAddr,
        /// Why not.
        why: Box<Error>,
    },
    /// A key of the registry is not there.
    #[error("there is no {0}; `registry FILE get` lists what there is")]
    NoKey(String),
    /// A node's value in the registry can't be used.
    #[error("{key}: {source}; `docs/registry.md` has the form")]
    Node {
        /// Its key.
        key: String,
        /// Why not.
        source: serde_json::Error,
    },
}
