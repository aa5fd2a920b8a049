//! Compares the control file's bytes with a fixture, because processes under test map the file and read its
//! words.
use fault_control::{CLOCK_WORD, CONTROL_VARIABLE, ControlFile, FILE_BYTES, Fault, RATE_SCALE};

/// A control file with a different rate for each fault and the wall clock set back by one second, as written
/// on a little-endian machine.
#[cfg(target_endian = "little")]
const EVERY_FAULT: &[u8] = include_bytes!("fixtures/every_fault.bin");

#[cfg(target_endian = "little")]
#[test]
fn control_file_matches_fixture() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n0.faults");
    let control = ControlFile::create(&path).unwrap();
    control.set_clock_offset(-1_000_000).unwrap();
    for (index, fault) in Fault::ALL.into_iter().enumerate() {
        control.set_fault_rate(fault, 1000 + index as u64).unwrap();
    }
    assert_eq!(std::fs::read(&path).unwrap(), EVERY_FAULT);
}

#[test]
fn constants_and_word_indices_have_expected_values() {
    assert_eq!(
        (CONTROL_VARIABLE, RATE_SCALE, FILE_BYTES, CLOCK_WORD),
        ("DAMSONVALE_FAULTS", 1_000_000, 256, 0)
    );
    let indices = Fault::ALL.map(Fault::word_index);
    assert_eq!(indices, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]);
    let in_order = [
        Fault::Accept,
        Fault::Socket,
        Fault::Connect,
        Fault::Interrupt,
        Fault::ShortTransfer,
        Fault::ConnectionLoss,
        Fault::ThreadStart,
        Fault::FileWrite,
        Fault::FileSync,
        Fault::FileOpen,
    ];
    assert_eq!(Fault::ALL, in_order);
}

#[test]
fn rates_are_capped_and_cleared() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n0.faults");
    let control = ControlFile::create(&path).unwrap();
    control.set_clock_offset(5).unwrap();
    control.set_fault_rate(Fault::FileOpen, RATE_SCALE + 1).unwrap();
    let capped = std::fs::read(&path).unwrap();
    assert_eq!(capped[80..88], RATE_SCALE.to_ne_bytes());
    ControlFile::open(&path).unwrap().clear_faults().unwrap();
    let cleared = std::fs::read(&path).unwrap();
    assert_eq!(cleared[..8], 5i64.to_ne_bytes());
    assert!(cleared[8..].iter().all(|byte| *byte == 0));
}
