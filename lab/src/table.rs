//! Tables of results: as text, as JSON, and as parquet for other tools.
use crate::error::Error;
use crate::run::Case;
use parquet::data_type::{ByteArray, ByteArrayType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;
use simulator::Results;
use simulator::results::Counts;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;

fn share(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

/// A line for each case.
pub fn summary(cases: &[Case]) -> String {
    let mut text = format!(
        "{:<34}{:>10}{:>9}{:>8}{:>9}{:>8}{:>9}{:>9}{:>9}{:>9}{:>8}\n",
        "case",
        "offered",
        "in time",
        "late",
        "refused",
        "failed",
        "worst s",
        "att/req",
        "primary",
        "crossing",
        "rules"
    );
    for c in cases {
        let (t, r) = (c.results.total(), &c.results);
        _ = writeln!(
            text,
            "{:<34}{:>10}{:>8.2}%{:>7.2}%{:>8.2}%{:>7.2}%{:>8.1}%{:>9.3}{:>8.1}%{:>8.1}%{:>8}",
            c.name,
            t.offered,
            share(t.in_time, t.offered),
            share(t.late, t.offered),
            share(t.rejected, t.offered),
            share(t.failed, t.offered),
            100.0 * r.worst_second(),
            t.attempts as f64 / t.offered.max(1) as f64,
            share(t.primary_attempts, t.attempts),
            share(t.cross_zone_attempts, t.attempts),
            if r.violations.is_empty() { "kept" } else { "BROKEN" }
        );
    }
    text
}

/// A line for each class.
pub fn classes(r: &Results) -> String {
    let mut text = format!(
        "{:<20}{:>10}{:>9}{:>8}{:>9}{:>8}{:>10}{:>10}{:>10}\n",
        "class", "offered", "in time", "late", "refused", "failed", "p50 ms", "p99 ms", "max ms"
    );
    for (name, class) in &r.classes {
        let (c, l) = (&class.counts, &class.latency);
        let ms = |us: u64| us as f64 / 1000.0;
        _ = writeln!(
            text,
            "{name:<20}{:>10}{:>8.2}%{:>7.2}%{:>8.2}%{:>7.2}%{:>10.1}{:>10.1}{:>10.1}",
            c.offered,
            share(c.in_time, c.offered),
            share(c.late, c.offered),
            share(c.rejected, c.offered),
            share(c.failed, c.offered),
            ms(l.p50),
            ms(l.p99),
            ms(l.max)
        );
    }
    text
}

/// Cases that stand in both, with what changed.
pub fn compared(before: &[Case], after: &[Case]) -> String {
    let mut text =
        format!("{:<34}{:>18}{:>18}{:>18}\n", "case", "in time", "worst second", "attempts/request");
    for a in after {
        let Some(b) = before.iter().find(|b| b.name == a.name) else {
            _ = writeln!(text, "{:<34}{:>18}", a.name, "new");
            continue;
        };
        let of = |c: &Case| {
            let t = c.results.total();
            [
                100.0 * t.goodput(),
                100.0 * c.results.worst_second(),
                t.attempts as f64 / t.offered.max(1) as f64,
            ]
        };
        let (x, y) = (of(b), of(a));
        _ = write!(text, "{:<34}", a.name);
        for n in 0..3 {
            _ = write!(text, "{:>9.2} {:>+8.2}", y[n], y[n] - x[n]);
        }
        _ = writeln!(text, "{}", if a.results.violations.is_empty() { "" } else { "  RULES BROKEN" });
    }
    for b in before.iter().filter(|b| !after.iter().any(|a| a.name == b.name)) {
        _ = writeln!(text, "{:<34}{:>18}", b.name, "gone");
    }
    text
}

/// Writes results for people and for tools.
pub fn write(out: &Path, cases: &[Case]) -> Result<(), Error> {
    let all: Vec<(&str, &Results)> = cases.iter().map(|c| (c.name.as_str(), &c.results)).collect();
    let path = out.join("results.json");
    let json = serde_json::to_string_pretty(&all).map_err(|e| Error::write(&path, e))?;
    std::fs::write(&path, json).map_err(|e| Error::write(&path, e))?;
    let path = out.join("seconds.parquet");
    seconds(&path, cases).map_err(|e| Error::write(&path, e))
}

/// Reads a folder's results.
pub fn read(folder: &Path) -> Result<Vec<Case>, Error> {
    let path = folder.join("results.json");
    let text = std::fs::read_to_string(&path).map_err(|source| Error::Read { path: path.clone(), source })?;
    let all: Vec<(String, Results)> =
        serde_json::from_str(&text).map_err(|source| Error::Results { path, source })?;
    Ok(all.into_iter().map(|(name, results)| Case { name, results }).collect())
}

type Column = (&'static str, fn(&Counts) -> u64);

const COLUMNS: [Column; 11] = [
    ("offered", |c| c.offered),
    ("in_time", |c| c.in_time),
    ("late", |c| c.late),
    ("refused", |c| c.rejected),
    ("failed", |c| c.failed),
    ("attempts", |c| c.attempts),
    ("at_primary", |c| c.primary_attempts),
    ("crossings", |c| c.cross_zone_attempts),
    ("handshakes", |c| c.handshakes),
    ("probes", |c| c.probes),
    ("retries", |c| c.retries),
];

/// One row for each second of each case.
fn seconds(path: &Path, cases: &[Case]) -> Result<(), Box<dyn std::error::Error>> {
    let mut schema = "message seconds { required binary case (utf8); required int64 second;".to_string();
    COLUMNS.iter().for_each(|(name, _)| _ = write!(schema, " required int64 {name};"));
    schema.push_str(" }");
    let properties = WriterProperties::builder().set_compression(parquet::basic::Compression::SNAPPY).build();
    let file = std::fs::File::create(path)?;
    let mut writer =
        SerializedFileWriter::new(file, Arc::new(parse_message_type(&schema)?), Arc::new(properties))?;
    for case in cases {
        let rows = &case.results.seconds;
        let mut group = writer.next_row_group()?;
        let mut columns: Vec<Vec<i64>> = vec![(0..rows.len() as i64).collect()];
        columns.extend(COLUMNS.iter().map(|(_, of)| rows.iter().map(|r| of(r) as i64).collect()));
        if let Some(mut column) = group.next_column()? {
            let name = ByteArray::from(case.name.as_str());
            column.typed::<ByteArrayType>().write_batch(&vec![name; rows.len()], None, None)?;
            column.close()?;
        }
        for values in &columns {
            if let Some(mut column) = group.next_column()? {
                column.typed::<Int64Type>().write_batch(values, None, None)?;
                column.close()?;
            }
        }
        group.close()?;
    }
    writer.close()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use parquet::file::reader::{FileReader, SerializedFileReader};
    use parquet::record::RowAccessor;
    use simulator::{Plan, play};

    #[test]
    fn what_is_written_is_read_again() {
        let results = play(&Plan { duration_s: 3.0, warmup_s: 1.0, request_rate: 200.0, ..Plan::default() });
        let cases = [Case { name: "a".into(), results }];
        let out = tempfile::tempdir().unwrap();
        write(out.path(), &cases).unwrap();
        let again = read(out.path()).unwrap();
        assert!(again.len() == 1 && again[0].results == cases[0].results);
        let file = std::fs::File::open(out.path().join("seconds.parquet")).unwrap();
        let reader = SerializedFileReader::new(file).unwrap();
        let offered: i64 = reader.get_row_iter(None).unwrap().map(|r| r.unwrap().get_long(2).unwrap()).sum();
        assert_eq!(offered as u64, cases[0].results.total().offered);
        assert!(compared(&cases, &again).contains("+0.00"));
        assert!(compared(&[], &again).contains("new") && compared(&cases, &[]).contains("gone"));
    }
}
