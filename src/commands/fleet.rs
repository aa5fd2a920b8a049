//! The sub-command `fleet`: writes, prints and reverts the fleet document in the store, and prints the audit
//! of which router acted on which version of it.
pub mod timeline;

use super::Error;
use ::fleet::{audit_record, document};
use audit::timeline::{Query, Timeline, build};
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use store::client::{Client, Settings};
use store::wire::Consistency;

/// Exit code of `fleet audit` if the timeline has an open gap.
const EXIT_OPEN_GAP: i32 = 2;
/// Number of microseconds per second, the unit of times in audit records.
const MICROSECONDS_PER_SECOND: i64 = 1_000_000;

/// The store that is meant.
#[derive(Args)]
pub(crate) struct StoreAddresses {
    /// Where the store's nodes answer clients (`store.clients` in their files), with commas between.
    #[arg(long, value_delimiter = ',', required = true)]
    store: Vec<SocketAddr>,
}

/// `fleet`'s commands.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Checks a document and makes it the fleet's; refused as a whole where a key is faulty.
    Set {
        /// The document, TOML.
        file: PathBuf,
        #[command(flatten)]
        addresses: StoreAddresses,
        /// The version that must stand there, 0 for none.
        #[arg(long)]
        expect: Option<u64>,
        /// Who, and why.
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Prints the document, its version and its note.
    Show {
        #[command(flatten)]
        addresses: StoreAddresses,
        /// One JSON object instead of the document's own text.
        #[arg(long)]
        json: bool,
    },
    /// Prints which router acted on which version from when to when, and the gaps; exit code 2 where one is
    /// open.
    Audit {
        #[command(flatten)]
        addresses: StoreAddresses,
        /// Only what lasted within so many seconds before now.
        #[arg(long)]
        since: Option<u32>,
        /// Only this router.
        #[arg(long)]
        router: Option<String>,
        /// One JSON object instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Goes back to the previous document, under a new version.
    Undo {
        #[command(flatten)]
        addresses: StoreAddresses,
        /// Who, and why.
        #[arg(long, default_value = "undo")]
        note: String,
    },
}

impl StoreAddresses {
    fn client(&self) -> Client {
        Client::new(Settings::new(self.store.clone(), u64::from(std::process::id())))
    }
}

/// Runs a `fleet` command.
pub(crate) fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::Set { file, addresses, expect, note } => set(&addresses.client(), file, *expect, note),
        Command::Show { addresses, json } => show(&addresses.client(), *json),
        Command::Audit { addresses, since, router, json } => {
            audit(&addresses.client(), *since, router.clone(), *json)
        }
        Command::Undo { addresses, note } => {
            println!("version {}", document::undo(&addresses.client(), note)?);
            Ok(())
        }
    }
}

fn set(client: &Client, file: &Path, expected_version: Option<u64>, note: &str) -> Result<(), Error> {
    let text = super::read_file(file)?;
    // The file is validated before the store is contacted, so that an invalid file is reported even if the
    // store is unreachable.
    settings::fleet::read(&text, None).map_err(|source| Error::FleetFile { path: file.into(), source })?;
    let version = document::write(client, &text, expected_version, note)
        .map_err(|source| Error::FleetDocumentFile { path: file.into(), source })?;
    println!("version {version}");
    Ok(())
}

fn show(client: &Client, as_json: bool) -> Result<(), Error> {
    let document = document::read(client)?.ok_or(Error::NoFleetDocument)?;
    if as_json {
        let previous = document.previous.iter();
        let previous: Vec<Value> =
            previous.map(|p| json!({"version": p.version, "note": p.metadata.note})).collect();
        let printed = json!({
            "version": document.version,
            "note": document.metadata.note,
            "text": document.text,
            "fleet": document.fleet,
            "before": previous,
        });
        println!("{printed}");
    } else {
        println!("# version {}", document.version);
        document.metadata.note.lines().for_each(|line| println!("# {line}"));
        print!("{}", document.text);
    }
    Ok(())
}

/// Prints which router acted on which version of the fleet document. Exits the process with [`EXIT_OPEN_GAP`]
/// if a gap is open.
fn audit(
    client: &Client,
    since_seconds: Option<u32>,
    router: Option<String>,
    as_json: bool,
) -> Result<(), Error> {
    let timeline = read_timeline(client, since_seconds, router)?;
    if as_json {
        let open = timeline.has_open_gap();
        println!("{}", json!({"rows": timeline.intervals, "gaps": timeline.gaps, "open": open}));
    } else {
        timeline::print(&timeline);
    }
    if timeline.has_open_gap() {
        std::process::exit(EXIT_OPEN_GAP);
    }
    Ok(())
}

/// Builds the timeline from the audit records in the store. Records that cannot be parsed are skipped and
/// reported on standard error.
fn read_timeline(
    client: &Client,
    since_seconds: Option<u32>,
    router: Option<String>,
) -> Result<Timeline, Error> {
    let records = client.list(audit_record::KEY_PREFIX, Consistency::Linearizable)?.value;
    let mut batches = Vec::new();
    for (key, value) in &records {
        match audit_record::parse_batch(&value.text) {
            Ok(batch) => batches.push(batch),
            Err(e) => eprintln!("audit record {key} cannot be parsed and is skipped: {e}"),
        }
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64;
    let since = since_seconds.map_or(0, |seconds| now - i64::from(seconds) * MICROSECONDS_PER_SECOND);
    Ok(build(&batches, now, &Query { since, router }))
}
