//! Tests result files and the comparison of their contents.
use damsonvale_lab::case::Case;
use damsonvale_lab::{result_files, table};
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use simulator::{Plan, simulate};

#[test]
fn written_results_are_read_back_unchanged() {
    let plan = Plan { duration_s: 3.0, warmup_s: 1.0, request_rate: 200.0, ..Plan::default() };
    let cases = [Case { name: "a".into(), results: simulate(&plan) }];
    let folder = tempfile::tempdir().unwrap();
    result_files::write(folder.path(), &cases).unwrap();
    let read = result_files::read(folder.path()).unwrap();
    assert!(read.len() == 1 && read[0].results == cases[0].results);
    let file = std::fs::File::open(folder.path().join("seconds.parquet")).unwrap();
    let reader = SerializedFileReader::new(file).unwrap();
    let offered: i64 = reader.get_row_iter(None).unwrap().map(|row| row.unwrap().get_long(2).unwrap()).sum();
    assert_eq!(offered as u64, cases[0].results.total().offered);
    assert!(table::comparison(&cases, &read).contains("+0.00"));
    assert!(table::comparison(&[], &read).contains("new"));
    assert!(table::comparison(&cases, &[]).contains("gone"));
}
