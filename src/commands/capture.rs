//! `requests` and `replay`: lists the requests of a capture file, or sends them again.
use super::Error;
use clap::Args;
use mysql_wire::login::Credentials;
use pcap::conversations::CaptureContents;
use pcap::replay::{ReplayResult, WritePolicy};
use pcap::request::Request;
use std::borrow::Cow;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// `replay`'s arguments.
#[derive(Args)]
pub(crate) struct ReplayArguments {
    /// The capture.
    file: PathBuf,
    /// The router's address.
    router: SocketAddr,
    /// The user at the router.
    user: String,
    /// The database.
    database: String,
    /// Sends writes as well: they run again.
    #[arg(long)]
    writes: bool,
}

/// What a capture file holds.
struct Capture {
    /// The requests up to the end of the file or the first fault in it.
    requests: Vec<Request>,
    /// The fault at which reading ended, if it ended early.
    ended: Result<(), Error>,
}

/// Reads a capture file. What could not be read in full is reported on standard error.
fn read(path: &Path) -> Result<Capture, Error> {
    let name = path.display();
    let file = std::fs::File::open(path).map_err(|source| Error::ReadFile { path: path.into(), source })?;
    let CaptureContents { requests, remarks, read_result } = pcap::conversations::read(file);
    for remark in &remarks {
        eprintln!("{name}: {remark}");
    }
    let ended = read_result.map_err(|source| Error::Capture { path: path.into(), source });
    Ok(Capture { requests, ended })
}

fn request_text(request: &Request) -> Cow<'_, str> {
    String::from_utf8_lossy(request.statement.text())
}

/// Lists a capture's requests. Those before a fault in the file are listed all the same.
pub(crate) fn list_requests(path: &Path) -> Result<(), Error> {
    let capture = read(path)?;
    for request in &capture.requests {
        let text = request_text(request);
        println!(
            "{:.6}\t{}\t{}\t{}",
            request.captured_at.as_secs_f64(),
            request.client,
            request.outcome,
            text.escape_debug()
        );
    }
    capture.ended
}

/// Sends a capture's requests through a router, unless the capture has a fault.
pub(crate) fn replay(arguments: &ReplayArguments) -> Result<(), Error> {
    let capture = read(&arguments.file)?;
    capture.ended?;
    let credentials = Credentials {
        user: arguments.user.clone(),
        password: std::env::var("DAMSONVALE_PASSWORD").unwrap_or_default(),
        database: arguments.database.clone(),
    };
    let writes = if arguments.writes { WritePolicy::Send } else { WritePolicy::Skip };
    let print_result = |request: &Request, result: ReplayResult| {
        println!("{result}\t{}", request_text(request).escape_debug());
    };
    let replayed =
        pcap::replay::replay(&capture.requests, arguments.router, &credentials, writes, print_result)?;
    println!(
        "{} answered, {} errors, {} writes left out",
        replayed.succeeded, replayed.errors, replayed.skipped
    );
    Ok(())
}
