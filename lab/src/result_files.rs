//! Result files: JSON with the complete results, and Parquet with the counts of each second for use by other
//! tools.
use crate::case::Case;
use crate::error::Error;
use parquet::data_type::{ByteArray, ByteArrayType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedFileWriter, SerializedRowGroupWriter};
use parquet::schema::parser::parse_message_type;
use simulator::Results;
use simulator::results::Counts;
use std::fmt::Write;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

const RESULTS_FILE: &str = "results.json";
const SECONDS_FILE: &str = "seconds.parquet";

/// A column of counts in the Parquet file.
struct Column {
    name: &'static str,
    value: fn(&Counts) -> u64,
}

const COLUMNS: [Column; 11] = [
    Column { name: "offered", value: |counts| counts.offered },
    Column { name: "in_time", value: |counts| counts.in_time },
    Column { name: "late", value: |counts| counts.late },
    Column { name: "refused", value: |counts| counts.rejected },
    Column { name: "failed", value: |counts| counts.failed },
    Column { name: "attempts", value: |counts| counts.attempts },
    Column { name: "at_primary", value: |counts| counts.primary_attempts },
    Column { name: "crossings", value: |counts| counts.cross_zone_attempts },
    Column { name: "handshakes", value: |counts| counts.handshakes },
    Column { name: "probes", value: |counts| counts.probes },
    Column { name: "retries", value: |counts| counts.retries },
];

/// Writes the results of all cases to a folder.
///
/// # Errors
/// Returns an error if a file can't be written.
pub fn write(folder: &Path, cases: &[Case]) -> Result<(), Error> {
    let named: Vec<(&str, &Results)> = cases.iter().map(|case| (case.name.as_str(), &case.results)).collect();
    let path = folder.join(RESULTS_FILE);
    let json = serde_json::to_string_pretty(&named).map_err(|source| Error::write(&path, source))?;
    std::fs::write(&path, json).map_err(|source| Error::write(&path, source))?;
    let path = folder.join(SECONDS_FILE);
    write_seconds(&path, cases).map_err(|source| Error::write(&path, source))
}

/// Reads the results that [`write()`] wrote to a folder.
///
/// # Errors
/// Returns an error if the file can't be read or contains no results.
pub fn read(folder: &Path) -> Result<Vec<Case>, Error> {
    let path = folder.join(RESULTS_FILE);
    let text = std::fs::read_to_string(&path).map_err(|source| Error::Read { path: path.clone(), source })?;
    let named: Vec<(String, Results)> =
        serde_json::from_str(&text).map_err(|source| Error::Results { path, source })?;
    Ok(named.into_iter().map(|(name, results)| Case { name, results }).collect())
}

/// Writes a row group for each case, with a row for each second.
fn write_seconds(path: &Path, cases: &[Case]) -> Result<(), ParquetError> {
    let schema = Arc::new(parse_message_type(&seconds_schema())?);
    let properties = WriterProperties::builder().set_compression(parquet::basic::Compression::SNAPPY).build();
    let mut writer = SerializedFileWriter::new(File::create(path)?, schema, Arc::new(properties))?;
    for case in cases {
        let mut group = writer.next_row_group()?;
        write_case(&mut group, case)?;
        group.close()?;
    }
    writer.close()?;
    Ok(())
}

fn seconds_schema() -> String {
    let mut schema = "message seconds { required binary case (utf8); required int64 second;".to_string();
    COLUMNS.iter().for_each(|column| _ = write!(schema, " required int64 {};", column.name));
    schema.push_str(" }");
    schema
}

fn write_case(group: &mut SerializedRowGroupWriter<'_, File>, case: &Case) -> Result<(), ParquetError> {
    let seconds = &case.results.seconds;
    if let Some(mut column) = group.next_column()? {
        let names = vec![ByteArray::from(case.name.as_str()); seconds.len()];
        column.typed::<ByteArrayType>().write_batch(&names, None, None)?;
        column.close()?;
    }
    write_integers(group, &(0..seconds.len() as i64).collect::<Vec<_>>())?;
    for column in &COLUMNS {
        let values: Vec<i64> = seconds.iter().map(|counts| (column.value)(counts) as i64).collect();
        write_integers(group, &values)?;
    }
    Ok(())
}

fn write_integers(
    group: &mut SerializedRowGroupWriter<'_, File>,
    values: &[i64],
) -> Result<(), ParquetError> {
    if let Some(mut column) = group.next_column()? {
        column.typed::<Int64Type>().write_batch(values, None, None)?;
        column.close()?;
    }
    Ok(())
}
