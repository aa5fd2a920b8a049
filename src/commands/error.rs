//! Errors that end a sub-command.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends a sub-command. Each message names the affected file, key or address and, where an
/// operator can fix the problem, how.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    ReadFile {
        /// Path of the affected file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A configuration file is invalid.
    #[error("{}: {source}", .path.display())]
    Settings {
        /// Path of the affected file.
        path: PathBuf,
        /// The error in the configuration, which names the faulty key.
        source: settings::Error,
    },
    /// The environment variable with the path of the platform's configuration is not set.
    #[error("BALANCER_CONFIG: expected the path of the configuration file")]
    NoPlatformConfiguration,
    /// The listening socket that the platform passed is invalid.
    #[error("BALANCER_PASSED_SOCKET: {0}")]
    InheritedSocket(#[from] client_listener::InheritedSocketError),
    /// The local address of the listening socket that the platform passed cannot be determined.
    #[error("BALANCER_PASSED_SOCKET: cannot determine the socket's address: {0}; start the router again")]
    InheritedSocketAddress(io::Error),
    /// An address cannot be bound for listening.
    #[error("{key}: cannot listen on {addr}: {source}; check whether another process uses this address")]
    Listen {
        /// The configuration key of the address.
        key: &'static str,
        /// The address that cannot be bound.
        addr: String,
        /// The underlying error.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(io::Error),
    /// A thread cannot be started.
    #[error("{purpose}: cannot start a thread: {source}; raise the limit of processes of this user")]
    Thread {
        /// The purpose of the thread.
        purpose: &'static str,
        /// The underlying error.
        source: io::Error,
    },
    /// The threads of the routing core cannot be started.
    #[error("cannot start the routing core: {0}; raise the limit of processes of this user")]
    Core(io::Error),
    /// The admin address cannot be bound for listening.
    #[error("admin_addr: {0}")]
    AdminListen(#[from] admin::AdminServerError),
    /// The metrics cannot be created because a class name is not valid in a metric.
    #[error("metrics: {0}")]
    Metrics(Box<dyn std::error::Error + Send + Sync>),
    /// The watch of discovery cannot be started.
    #[error("cannot start the discovery watch: {0}; raise the limit of processes of this user")]
    DiscoveryWatch(io::Error),
    /// The client listener failed and accepts no more connections.
    #[error("the client listener failed: {0}")]
    ClientListener(io::Error),
    /// The store cannot be started.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// A control command could not be sent to a running store or was rejected by it.
    #[error(transparent)]
    StoreCommand(#[from] store::control::CommandError),
    /// The sessions component cannot be started.
    #[error(transparent)]
    Sessions(#[from] sessions::Error),
    /// The sessions status of a running instance could not be read.
    #[error(transparent)]
    SessionStatus(#[from] sessions::error::StatusError),
    /// A folder contains no session journal.
    #[error("{}: there is no journal", .0.display())]
    NoSessionJournal(PathBuf),
    /// A session journal is damaged.
    #[error("{}: {source}", .path.display())]
    SessionJournal {
        /// Path of the affected file.
        path: PathBuf,
        /// The underlying error.
        source: sessions::journal::JournalFault,
    },
    /// The traffic recording cannot be started.
    #[error(transparent)]
    Recording(#[from] pcap::record::RecordError),
    /// A capture file is invalid or incomplete.
    #[error("{}: {source}", .path.display())]
    Capture {
        /// Path of the affected file.
        path: PathBuf,
        /// The error with its offset in the capture file.
        source: pcap::capture::CaptureError,
    },
    /// A replay failed before all requests were sent.
    #[error(transparent)]
    Replay(#[from] pcap::replay::ReplayError),
    /// The registry client cannot be started.
    #[error(transparent)]
    Registry(#[from] registry::Error),
    /// The membership protocol cannot be started.
    #[error("members: {0}")]
    Membership(#[from] membership::Error),
    /// A file contains an invalid fleet document.
    #[error("{}: {source}", .path.display())]
    FleetFile {
        /// Path of the affected file.
        path: PathBuf,
        /// The error in the configuration, which names the faulty key.
        source: settings::fleet::FleetError,
    },
    /// The fleet document cannot be read from the store or written to it.
    #[error("fleet: {0}")]
    FleetDocument(#[from] fleet::document::DocumentError),
    /// The fleet document of a file cannot be written to the store.
    #[error("{}: {source}", .path.display())]
    FleetDocumentFile {
        /// Path of the affected file.
        path: PathBuf,
        /// The underlying error.
        source: fleet::document::DocumentError,
    },
    /// A request to the store failed.
    #[error("store: {0}")]
    StoreClient(#[from] store::client::ClientError),
    /// The store has no fleet document.
    #[error("there is no document yet; set one with `fleet set`")]
    NoFleetDocument,
    /// The operator's file has no table `[registry]`.
    #[error("{}: the file has no table [registry]", .0.display())]
    NoRegistry(PathBuf),
    /// A request could not be sent to the registry or was rejected by it.
    #[error(transparent)]
    RegistryRequest(#[from] registry::RequestError),
    /// All members of the registry failed; this is the error of the member that was tried last.
    #[error("{addr}: {source}")]
    RegistryMember {
        /// The address of the registry member.
        addr: SocketAddr,
        /// The underlying error.
        source: Box<Error>,
    },
    /// A key does not exist in the registry.
    #[error("there is no {0}; `registry FILE get` lists what there is")]
    NoRegistryKey(String),
    /// The registry value of a node is not valid JSON for a node, or cannot be encoded.
    #[error("{key}: invalid node: {source}; `docs/design/registry.md` describes the format")]
    RegistryNode {
        /// The key of the node in the registry.
        key: String,
        /// The underlying error.
        source: serde_json::Error,
    },
}
