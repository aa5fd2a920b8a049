//! Tests the encoding and decoding of frames between instances.
use sessions::SessionKey;
use sessions::frames::{self, Frame, VERSION, read};
use sessions::machine::{Push, RejectionReason};
use std::io;

/// Maximum size of a frame's body in these tests.
const MAX_BYTES: usize = 1000;

#[test]
fn frames_round_trip_and_long_or_invalid_ones_are_errors() {
    let frames = [
        Frame::Hello { version: VERSION, cluster: "orders".into(), from: 1, incarnation: 9, to: 2 },
        Frame::Rejected(RejectionReason::OlderIncarnation { newest: 3 }),
        Frame::Push(Push::Commits { first: 4, entries: vec![(SessionKey(u64::MAX), i64::MAX)] }),
        Frame::LeaseRequest { requested_at: -1 },
    ];
    let mut bytes = Vec::new();
    frames.iter().for_each(|frame| frames::encode(frame, &mut bytes).unwrap());
    let mut rest = &bytes[..];
    for frame in &frames {
        assert_eq!(read(&mut rest, MAX_BYTES).unwrap(), *frame);
    }
    assert_eq!(read(&mut rest, MAX_BYTES).unwrap_err().kind(), io::ErrorKind::UnexpectedEof);
    assert!(read(&b"\xff\xff\xff\xff"[..], MAX_BYTES).is_err());
    assert!(read(&b"\x01\0\0\0\xee"[..], MAX_BYTES).is_err());
    assert!(read(&bytes[..bytes.len() - 1], MAX_BYTES).is_ok());
}
