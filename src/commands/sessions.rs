//! The sub-command `sessions`: reads the journals of a sessions folder without changing them, or the status
//! of a running instance.
use super::Error;
use clap::Subcommand;
use serde_json::json;
use sessions::journal;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// `sessions`' commands.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Shows a summary of a folder, or of the instance that listens for its peers at an address.
    Show {
        /// A folder, or ip:port of `sessions.listen`.
        what: String,
    },
    /// Lists a folder's sessions: the key in hexadecimal, and the commit in microseconds of Unix time.
    Dump {
        /// The folder.
        folder: PathBuf,
    },
    /// Checks a folder: exit code 1 and the offset where a start would refuse it.
    Verify {
        /// The folder.
        folder: PathBuf,
    },
}

/// Timeout for the status response of a running instance.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// The newest session journal in a folder.
struct NewestJournal {
    path: PathBuf,
    contents: journal::JournalContents,
}

impl NewestJournal {
    fn read(folder: &Path) -> Result<NewestJournal, Error> {
        let newest =
            journal::read_newest(folder).map_err(|source| Error::ReadFile { path: folder.into(), source })?;
        let (path, read) = newest.ok_or_else(|| Error::NoSessionJournal(folder.into()))?;
        match read {
            Ok(contents) => Ok(NewestJournal { path, contents }),
            Err(source) => Err(Error::SessionJournal { path, source }),
        }
    }
}

/// Runs a `sessions` command.
pub(crate) fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::Show { what } => match what.parse::<SocketAddr>() {
            Ok(address) => show_instance(address),
            Err(_) => show_folder(Path::new(what)),
        },
        Command::Dump { folder } => dump(folder),
        Command::Verify { folder } => verify(folder),
    }
}

fn show_instance(address: SocketAddr) -> Result<(), Error> {
    println!("{}", sessions::node::request_status(address, STATUS_TIMEOUT)?);
    Ok(())
}

fn show_folder(folder: &Path) -> Result<(), Error> {
    let NewestJournal { path, contents } = NewestJournal::read(folder)?;
    let summary = json!({
        "file": path.display().to_string(),
        "instance": contents.instance,
        "incarnation": contents.incarnation,
        "records": contents.record_count,
        "commits": contents.entries.len(),
        "floor_us": contents.floor.map(|time| time.0),
        "incomplete": contents.incomplete,
        "torn_bytes": contents.torn_bytes,
    });
    println!("{summary}");
    Ok(())
}

/// Prints the latest commit of each session, as a restart would restore it.
fn dump(folder: &Path) -> Result<(), Error> {
    let mut newest_commits = BTreeMap::new();
    for (session, commit) in NewestJournal::read(folder)?.contents.entries {
        let newest = newest_commits.entry(session).or_insert(commit);
        *newest = (*newest).max(commit);
    }
    for (session, commit) in &newest_commits {
        println!("{:016x}\t{}", session.0, commit.0);
    }
    Ok(())
}

fn verify(folder: &Path) -> Result<(), Error> {
    let NewestJournal { path, contents } = NewestJournal::read(folder)?;
    let torn = match contents.torn_bytes {
        0 => String::new(),
        bytes => format!(", then a torn tail of {bytes} bytes that a start cuts off"),
    };
    println!(
        "{}: {} whole records in {} bytes{torn}",
        path.display(),
        contents.record_count,
        contents.complete_bytes
    );
    Ok(())
}
