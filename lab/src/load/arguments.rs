//! Arguments of the `load` command.
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of `load`.
#[derive(Args)]
pub struct LoadArguments {
    /// Address of the router
    pub(super) router: SocketAddr,
    /// User name; the password is read from the environment variable `DAMSONVALE_PASSWORD`
    #[arg(long, help = "User name; the password is read from $DAMSONVALE_PASSWORD")]
    pub(super) user: String,
    /// Database name
    #[arg(long)]
    pub(super) database: String,
    /// Mean rate in requests per second
    #[arg(long, default_value_t = 100.0)]
    pub(super) rate: f64,
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 10.0)]
    pub(super) seconds: f64,
    /// Number of connections
    #[arg(long, default_value_t = 16)]
    pub(super) connections: usize,
    /// Statement with its share, for example `5:SELECT ...`; `{s}` is replaced by a random session, and n in
    /// braces by an increasing number
    #[arg(long = "statement")]
    pub(super) statements: Vec<String>,
    /// Number of sessions from which `{s}` is chosen
    #[arg(long, default_value_t = 1000)]
    pub(super) sessions: u64,
    /// Random seed for times, statements and sessions
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Sends the reads of a capture file with their original intervals instead of `--statement`
    #[arg(long, conflicts_with = "statements")]
    pub(super) pcap: Option<PathBuf>,
    /// Also sends the writes of the capture file, which run again
    #[arg(long, requires = "pcap")]
    pub(super) writes: bool,
}
