//! Tests the encoded bytes of `MySQL` packets against a recording.
use std::fmt::Write;
use test_servers::wire;

const PACKETS: &str = include_str!("fixtures/mysql_packets.txt");

#[test]
fn packets_match_recorded_bytes() {
    let packets = [
        ("greeting", wire::greeting()),
        ("row", wire::row(&["1", "replica-1"])),
        ("error", wire::error(1290, "read-only")),
        ("column", wire::column("name")),
        ("text", wire::text("text")),
        ("numbered", wire::packets(255, &[wire::OK, wire::EOF])),
    ];
    let mut found = String::new();
    for (name, bytes) in packets {
        writeln!(found, "{name} {bytes:02x?}").unwrap();
    }
    assert_eq!(found, PACKETS);
}
