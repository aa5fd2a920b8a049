//! Arguments of `load`.
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of `load`.
#[derive(Args)]
pub struct LoadArguments {
    /// The router.
    pub(super) router: SocketAddr,
    /// The user; its password is in the environment variable `DAMSONVALE_PASSWORD`.
    #[arg(long, help = "Its user; the password is in $DAMSONVALE_PASSWORD")]
    pub(super) user: String,
    /// The database.
    #[arg(long)]
    pub(super) database: String,
    /// Requests a second.
    #[arg(long, default_value_t = 100.0)]
    pub(super) rate: f64,
    /// For so long.
    #[arg(long, default_value_t = 10.0)]
    pub(super) seconds: f64,
    /// Connections.
    #[arg(long, default_value_t = 16)]
    pub(super) connections: usize,
    /// A statement and its share, as `5:SELECT ...`; `{s}` stands for a session, `{n}` for a number that rises.
    #[arg(long = "statement")]
    pub(super) statements: Vec<String>,
    /// Sessions that `{s}` is drawn from.
    #[arg(long, default_value_t = 1000)]
    pub(super) sessions: u64,
    /// Seed of times, statements and sessions.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Takes the reads of a capture file and its pace instead.
    #[arg(long, conflicts_with = "statements")]
    pub(super) pcap: Option<PathBuf>,
    /// Sends the writes of a capture as well: they run again.
    #[arg(long, requires = "pcap")]
    pub(super) writes: bool,
}
