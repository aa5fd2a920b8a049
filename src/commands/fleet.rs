//! `fleet`: sets, shows and takes back the fleet's configuration, which is one document in the store.
use super::error::Error;
use ::fleet::{audit_record, document};
use audit::timeline::{GapKind, Query, Timeline, build};
use chrono::DateTime;
use clap::{Args, Subcommand};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};
use store::client::{Client, Settings};
use store::wire::Consistency;

/// The store that is meant.
#[derive(Args)]
pub struct At {
    /// Where the store's nodes answer clients (`store.clients` in their files), with commas between.
    #[arg(long, value_delimiter = ',', required = true)]
    store: Vec<SocketAddr>,
}

/// `fleet`'s commands.
#[derive(Subcommand)]
pub enum Command {
    /// Checks a document and makes it the fleet's; refused as a whole where a key is faulty.
    Set {
        /// The document, TOML.
        file: PathBuf,
        #[command(flatten)]
        at: At,
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
        at: At,
        /// One JSON object instead of the document's own text.
        #[arg(long)]
        json: bool,
    },
    /// Prints which router acted on which version from when to when, and the gaps; exit code 2 where one is open.
    Audit {
        #[command(flatten)]
        at: At,
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
        at: At,
        /// Who, and why.
        #[arg(long, default_value = "undo")]
        note: String,
    },
}

fn client(at: &At) -> Client {
    Client::new(Settings::new(at.store.clone(), u64::from(std::process::id())))
}

/// Time of day and date of a Unix time in microseconds, UTC; the number itself where no calendar has it.
fn shown(at: i64) -> String {
    let time = DateTime::from_timestamp_micros(at);
    time.map_or_else(|| at.to_string(), |t| t.format("%Y-%m-%dT%H:%M:%S%.3f").to_string())
}

fn table(seen: &Timeline) {
    let until = |u: Option<i64>| u.map_or("now".into(), shown);
    println!(
        "{:<24} {:>9} {:>9} {:<8} {:<23} {:<23} {:>12}",
        "router", "version", "members", "state", "from", "until", "epoch"
    );
    for r in &seen.intervals {
        let kind = r.kind.as_str();
        println!(
            "{:<24} {:>9} {:>9} {kind:<8} {:<23} {:<23} {:>12}",
            r.router,
            r.version,
            r.members_version,
            shown(r.since),
            until(r.until),
            r.epoch
        );
    }
    println!("gaps: {}", seen.gaps.len());
    for g in &seen.gaps {
        let what = match &g.kind {
            GapKind::ConcurrentVersions(v) => {
                let v: Vec<String> = v.iter().map(u64::to_string).collect();
                format!("two versions at once: {}", v.join(", "))
            }
            GapKind::OutdatedVersion(r, v) => {
                format!("{r} acts on version {v}, which is not the current one")
            }
            GapKind::FencedOut(r, v) => format!("{r} is shut out with version {v}"),
            GapKind::Silent(r) => format!("{r} is silent"),
            GapKind::RecordStopped => {
                "no record is written: see that a node leads and has [fleet.audit]".into()
            }
        };
        println!("{} to {}: {what}", shown(g.since), until(g.until));
    }
}

/// Runs one.
pub fn run(command: &Command) -> Result<(), Error> {
    match command {
        Command::Set { file, at, expect, note } => {
            let text = super::read(file)?;
            // Before the store is asked: a faulty file is one whoever answers.
            settings::fleet::read(&text, None)
                .map_err(|source| Error::Fleet { path: file.clone(), source })?;
            let version = document::write(&client(at), &text, *expect, note);
            println!("version {}", version.map_err(|source| Error::Set { path: file.clone(), source })?);
        }
        Command::Audit { at, since, router, json } => {
            let found = client(at).list(audit_record::KEY_PREFIX, Consistency::Linearizable)?.value;
            let mut batches = Vec::new();
            for (key, value) in &found {
                match audit_record::parse_batch(&value.text) {
                    Ok(batch) => batches.push(batch),
                    Err(e) => eprintln!("{key} can't be read and is left out: {e}"),
                }
            }
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64;
            let since = since.map_or(0, |s| now - i64::from(s) * 1_000_000);
            let seen = build(&batches, now, &Query { since, router: router.clone() });
            if *json {
                println!(
                    "{}",
                    json!({"rows": seen.intervals, "gaps": seen.gaps, "open": seen.has_open_gap()})
                );
            } else {
                table(&seen);
            }
            if seen.has_open_gap() {
                std::process::exit(2);
            }
        }
        Command::Undo { at, note } => {
            println!("version {}", document::undo(&client(at), note)?);
        }
        Command::Show { at, json } => {
            let found = document::read(&client(at))?;
            let d = found.ok_or(Error::NoDocument)?;
            if *json {
                let before: Vec<_> = d
                    .previous
                    .iter()
                    .map(|p| json!({"version": p.version, "note": p.metadata.note}))
                    .collect();
                let shown = json!({"version": d.version, "note": d.metadata.note, "text": d.text,
                    "fleet": d.fleet, "before": before});
                println!("{shown}");
            } else {
                println!("# version {}", d.version);
                d.metadata.note.lines().for_each(|l| println!("# {l}"));
                print!("{}", d.text);
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    #[test]
    fn times_are_shown_in_utc_to_the_millisecond_before_1970_too() {
        assert_eq!(super::shown(1_709_210_096_007_900), "2024-02-29T12:34:56.007");
        assert_eq!(super::shown(-1000), "1969-12-31T23:59:59.999");
    }
}
