//! The sub-commands `requests` and `replay`: list the requests of a capture file, or send them to a router.
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

/// The parsed contents of a capture file.
struct Capture {
    /// The requests up to the end of the file or its first invalid part.
    requests: Vec<Request>,
    /// The error at which parsing stopped, if it stopped before the end of the file.
    ended: Result<(), Error>,
}

/// Reads a capture file. Remarks about requests that could not be read in full are printed to standard error.
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

/// Prints the requests of a capture file. If the file is invalid from some point on, the requests before it
/// are printed and then the error is returned.
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

/// Sends the requests of a capture file to a router. An invalid file is rejected before any request is sent.
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
