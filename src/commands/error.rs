//! Errors that end a command.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends a command. Each message names the file, the key or the address at fault and, where an operator can
/// do something about it, what.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// A file can't be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The cause.
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
    /// The environment does not name the platform's configuration.
    #[error("BALANCER_CONFIG: expected the path of the configuration")]
    NoPlatformConfiguration,
    /// The socket that the platform passed can't be used.
    #[error("BALANCER_PASSED_SOCKET: {0}")]
    InheritedSocket(#[from] client_listener::InheritedSocketError),
    /// The address of the passed socket can't be read.
    #[error("BALANCER_PASSED_SOCKET: {0}; let the platform pass it anew")]
    InheritedSocketAddress(io::Error),
    /// An address can't be listened on.
    #[error("{key}: {addr}: {source}; see who else listens there")]
    Listen {
        /// The configuration key that gives the address.
        key: &'static str,
        /// The address.
        addr: String,
        /// The cause.
        source: io::Error,
    },
    /// Signals can't be handled.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// No thread could be started.
    #[error("{what}: no thread: {source}; raise the limit of processes of this user")]
    Thread {
        /// What the thread is for.
        what: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The threads of the routing core don't start.
    #[error("the core does not start: {0}; raise the limit of processes of this user")]
    Core(io::Error),
    /// The operators' address can't be listened on.
    #[error("admin_addr: {0}")]
    AdminListen(#[from] admin::AdminServerError),
    /// The metrics can't be set up: a class has a name that no metric can have.
    #[error("figures: {0}")]
    Metrics(Box<dyn std::error::Error + Send + Sync>),
    /// Discovery can't be watched.
    #[error("no watch: {0}; raise the limit of processes of this user")]
    DiscoveryWatch(io::Error),
    /// Client connections can no longer be accepted.
    #[error("the front ended: {0}")]
    ClientListener(io::Error),
    /// The store does not start.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// A command did not reach a running store, or was rejected by it.
    #[error(transparent)]
    StoreCommand(#[from] store::control::CommandError),
    /// Sessions don't start.
    #[error(transparent)]
    Sessions(#[from] sessions::Error),
    /// The status of a sessions instance could not be requested.
    #[error(transparent)]
    SessionStatus(#[from] sessions::error::StatusError),
    /// A sessions folder holds no journal.
    #[error("{}: there is no journal", .0.display())]
    NoSessionJournal(PathBuf),
    /// A sessions journal is damaged.
    #[error("{}: {source}", .path.display())]
    SessionJournal {
        /// Its file.
        path: PathBuf,
        /// The cause.
        source: sessions::journal::JournalFault,
    },
    /// A recording can't be started.
    #[error(transparent)]
    Recording(#[from] pcap::record::RecordError),
    /// A capture can't be read to its end.
    #[error("{}: {source}", .path.display())]
    Capture {
        /// Its file.
        path: PathBuf,
        /// Where, and why.
        source: pcap::capture::CaptureError,
    },
    /// A replay ended early.
    #[error(transparent)]
    Replay(#[from] pcap::replay::ReplayError),
    /// The registry can't be followed.
    #[error(transparent)]
    Registry(#[from] registry::Error),
    /// The fleet's members can't be joined.
    #[error("members: {0}")]
    Membership(#[from] membership::Error),
    /// A file holds a fleet document that can't be used.
    #[error("{}: {source}", .path.display())]
    FleetFile {
        /// The file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: settings::fleet::FleetError,
    },
    /// The fleet document can't be read from the store or written to it.
    #[error("fleet: {0}")]
    FleetDocument(#[from] fleet::document::DocumentError),
    /// A file's fleet document can't be written to the store.
    #[error("{}: {source}", .path.display())]
    FleetDocumentFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: fleet::document::DocumentError,
    },
    /// The store does not answer its client.
    #[error("store: {0}")]
    StoreClient(#[from] store::client::ClientError),
    /// The store holds no fleet document.
    #[error("there is no document yet; set one with `fleet set`")]
    NoFleetDocument,
    /// The operator's file names no registry.
    #[error("{}: expected a table 'registry' in the file", .0.display())]
    NoRegistry(PathBuf),
    /// A request did not reach the registry, or was rejected by it.
    #[error(transparent)]
    RegistryRequest(#[from] registry::RequestError),
    /// Every member of the registry failed; this is the error of the member that was tried last.
    #[error("{addr}: {source}")]
    RegistryMember {
        /// The member.
        addr: SocketAddr,
        /// The cause.
        source: Box<Error>,
    },
    /// The registry does not hold a key.
    #[error("there is no {0}; `registry FILE get` lists what there is")]
    NoRegistryKey(String),
    /// A node's value can't be read, or can't be put into the registry.
    #[error("{key}: {source}; `docs/design/registry.md` has the form")]
    RegistryNode {
        /// Its key.
        key: String,
        /// The cause.
        source: serde_json::Error,
    },
}
