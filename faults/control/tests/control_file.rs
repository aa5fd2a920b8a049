//! The control file's bytes, against a fixture: processes under test map it and read its words.
use fault_control::{CLOCK_WORD, CONTROL_VARIABLE, ControlFile, FILE_BYTES, Fault, SCALE};

/// Each fault with a probability of its own and the clock a second back, as a little-endian machine writes it.
#[cfg(target_endian = "little")]
const EVERY_FAULT: &[u8] = include_bytes!("fixtures/every_fault.bin");

#[cfg(target_endian = "little")]
#[test]
fn every_fault_has_its_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n0.faults");
    let control = ControlFile::create(&path).unwrap();
    control.set_clock_offset(-1_000_000).unwrap();
    for (place, fault) in Fault::ALL.into_iter().enumerate() {
        control.set_fault_rate(fault, 1000 + place as u64).unwrap();
    }
    assert_eq!(std::fs::read(&path).unwrap(), EVERY_FAULT);
}

#[test]
fn words_have_their_places() {
    assert_eq!((CONTROL_VARIABLE, SCALE, FILE_BYTES, CLOCK_WORD), ("DAMSONVALE_FAULTS", 1_000_000, 256, 0));
    let words = Fault::ALL.map(Fault::word);
    assert_eq!(words, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]);
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
    control.set_fault_rate(Fault::FileOpen, SCALE + 1).unwrap();
    let capped = std::fs::read(&path).unwrap();
    assert_eq!(capped[80..88], SCALE.to_ne_bytes());
    ControlFile::open(&path).unwrap().clear_faults().unwrap();
    let cleared = std::fs::read(&path).unwrap();
    assert_eq!(cleared[..8], 5i64.to_ne_bytes());
    assert!(cleared[8..].iter().all(|byte| *byte == 0));
}
