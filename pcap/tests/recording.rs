//! Records a conversation, compares the file with a fixture byte for byte, and reads the requests back. Also
//! reads recordings that lack packets or are damaged.
use mysql_wire::tap::Tap;
use pcap::conversations::{self, CaptureContents};
use pcap::record::Recorder;
use pcap::request::Statement;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testkit::fixture::Fixtures;

const FIXTURES: Fixtures = testkit::fixtures!();

const SERVER: &str = "10.0.0.1:3306";
const CLIENT: &str = "10.0.0.2:40000";
const CAPACITY: u64 = 1 << 20;
const FILE_HEADER: usize = 24;
const PACKET_HEADER: usize = 16;
const CLIENT_SIDE: bool = true;
const SERVER_SIDE: bool = false;

const QUERY: u8 = 3;
const QUIT: u8 = 1;
const PREPARE: u8 = 22;
const EXECUTE: u8 = 23;
const LONG_DATA: u8 = 24;
const CLOSE: u8 = 25;
const FETCH: u8 = 28;

fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    [&length[..3], &[sequence], payload].concat()
}

fn packets(first: u8, payloads: &[&[u8]]) -> Vec<u8> {
    payloads.iter().zip(first..).flat_map(|(payload, sequence)| packet(sequence, payload)).collect()
}

fn greeting() -> Vec<u8> {
    let mut payload = b"\x0a8.0.36\0\x01\0\0\0abcdefgh\0".to_vec();
    payload.extend([0xff, 0xff, 45, 2, 0, 0xff, 0xc1, 21]);
    payload.extend([0; 10]);
    payload.extend(b"ijklmnopqrst\0mysql_native_password\0");
    packet(0, &payload)
}

fn login() -> Vec<u8> {
    let mut payload = vec![0x0d, 0xa2, 0x0a, 0, 0, 0, 0, 1, 45];
    payload.extend([0; 23]);
    payload.extend(b"till\0\x14aaaaaaaaaaaaaaaaaaaa");
    payload.extend(b"stock\0mysql_native_password\0");
    packet(1, &payload)
}

const OK: &[u8] = &[0, 0, 0, 2, 0, 0, 0];
const END_OF_ROWS: &[u8] = &[0xfe, 0, 0, 2, 0];
const CURSOR_OPENED: &[u8] = &[0xfe, 0, 0, 66, 0];
const COLUMN: &[u8] = b"\x03def\0\0\0\x01n\0\x0c\x2d\0\x04\0\0\0\xfd\0\0\0\0\0";
const DUPLICATE_KEY: &[u8] = b"\xff\x26\x04#23000duplicate";

/// Returns a conversation that contains each command that the parser supports. Each step is one write by one
/// side.
fn conversation() -> Vec<(bool, Vec<u8>)> {
    let command = |name: u8, body: &[u8]| (CLIENT_SIDE, packet(0, &[&[name], body].concat()));
    let response = |payloads: &[&[u8]]| (SERVER_SIDE, packets(1, payloads));
    let prepared = [0, 1, 0, 0, 0, 1, 0, 2, 0, 0, 0, 0];
    let execution = [1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 3, 0, 0xfd, 0, 7, 0, 0, 0];
    let execution_again = [1, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0, 8, 0, 0, 0, 1, b'x'];
    vec![
        (SERVER_SIDE, greeting()),
        (CLIENT_SIDE, login()),
        (SERVER_SIDE, packet(2, OK)),
        command(QUERY, b"SELECT n FROM stock"),
        response(&[&[1], COLUMN, END_OF_ROWS, b"\x017", END_OF_ROWS]),
        command(QUERY, b"INSERT INTO orders VALUES (1)"),
        response(&[DUPLICATE_KEY]),
        command(PREPARE, b"SELECT n FROM stock WHERE k = ? AND note = ?"),
        response(&[&prepared, COLUMN, COLUMN, END_OF_ROWS, COLUMN, END_OF_ROWS]),
        command(LONG_DATA, &[1, 0, 0, 0, 1, 0, b'l', b'o', b'n', b'g']),
        command(EXECUTE, &execution),
        response(&[&[1], COLUMN, END_OF_ROWS, b"\0\0\x017", END_OF_ROWS]),
        command(EXECUTE, &execution_again),
        response(&[&[1], COLUMN, CURSOR_OPENED]),
        command(FETCH, &[1, 0, 0, 0, 10, 0, 0, 0]),
        response(&[b"\0\0\x017", END_OF_ROWS]),
        command(CLOSE, &[1, 0, 0, 0]),
        command(EXECUTE, &execution),
        command(QUERY, b"SELECT 'cut"),
        command(QUIT, &[]),
    ]
}

/// Records a conversation and returns the contents of the capture file.
fn record(steps: &[(bool, Vec<u8>)], capacity: u64) -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("recorded.pcap");
    let recorder = Recorder::start(&path, capacity, SERVER.parse().unwrap()).unwrap();
    let client: SocketAddr = CLIENT.parse().unwrap();
    for (from_client, bytes) in steps {
        recorder.on_bytes(1, client, *from_client, bytes);
    }
    recorder.on_closed(1);
    // The recorder writes on its own thread and flushes the file when a conversation ends.
    let started = Instant::now();
    let mut file = Vec::new();
    while file.len() <= FILE_HEADER || file.len() != std::fs::metadata(&path).unwrap().len() as usize {
        assert!(started.elapsed() < Duration::from_secs(20));
        std::thread::sleep(Duration::from_millis(50));
        file = std::fs::read(&path).unwrap();
    }
    file
}

/// Formats the file as one line of hexadecimal digits for each packet, without the capture times.
fn hex_without_times(file: &[u8]) -> String {
    let hex = |bytes: &[u8]| bytes.iter().fold(String::new(), |text, byte| text + &format!("{byte:02x}"));
    let mut text = hex(&file[..FILE_HEADER]) + "\n";
    let mut rest = &file[FILE_HEADER..];
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[8..12].try_into().unwrap()) as usize;
        let (packet, remaining) = rest.split_at(PACKET_HEADER + length);
        _ = writeln!(text, "{} {}", hex(&packet[8..PACKET_HEADER]), hex(&packet[PACKET_HEADER..]));
        rest = remaining;
    }
    text
}

fn format_contents(contents: &CaptureContents) -> String {
    let mut text = String::new();
    for request in &contents.requests {
        _ = write!(
            text,
            "{} {} {}",
            request.client,
            request.outcome,
            request.statement.text().escape_ascii()
        );
        if let Statement::Execute { body, long_parameters, .. } = &request.statement {
            _ = write!(text, " body {body:?} long {long_parameters:?}");
        }
        text.push('\n');
    }
    contents.remarks.iter().for_each(|remark| _ = writeln!(text, "remark: {remark}"));
    text
}

#[test]
fn recorded_file_matches_fixture_byte_for_byte() {
    FIXTURES.assert_same("recorded.txt", hex_without_times(&record(&conversation(), CAPACITY)));
}

#[test]
fn recording_stops_at_file_capacity() {
    let file = record(&conversation(), 1500);
    assert!(file.len() <= 1500);
    FIXTURES.assert_same("recorded_to_capacity.txt", hex_without_times(&file));
}

#[test]
fn requests_are_read_back_from_recording() {
    let contents = conversations::read(&record(&conversation(), CAPACITY)[..]);
    assert!(contents.read_result.is_ok());
    FIXTURES.assert_same("requests.txt", format_contents(&contents));
}

#[test]
fn incomplete_conversations_are_reported_as_remarks() {
    let file = record(&conversation(), CAPACITY);
    let without = |skipped: &[usize]| {
        let mut retained = file[..FILE_HEADER].to_vec();
        let (mut rest, mut index) = (&file[FILE_HEADER..], 0);
        while !rest.is_empty() {
            let length = u32::from_le_bytes(rest[8..12].try_into().unwrap()) as usize;
            let (packet, remaining) = rest.split_at(PACKET_HEADER + length);
            if !skipped.contains(&index) {
                retained.extend(packet);
            }
            (rest, index) = (remaining, index + 1);
        }
        let contents = conversations::read(&retained[..]);
        assert!(contents.read_result.is_ok());
        format_contents(&contents)
    };
    let mut text = String::new();
    for skipped in [&[0, 1, 2, 3][..], &[4], &[7], &[10]] {
        text += &format!("without packets {skipped:?}\n{}", without(skipped));
    }
    FIXTURES.assert_same("remarks.txt", &text);
}

#[test]
fn errors_for_damaged_files_state_the_offset() {
    let file = record(&conversation(), CAPACITY);
    let mut text = String::new();
    for (name, bytes) in [
        ("empty", &file[..0]),
        ("three bytes", &file[..3]),
        ("text", b"a text that is no capture"),
        ("cut header", &file[..20]),
        ("cut packet", &file[..file.len() - 5]),
        ("cut packet header", &file[..FILE_HEADER + 7]),
        ("cut block", &[0x0a, 0x0d, 0x0d, 0x0a, 9]),
    ] {
        let CaptureContents { requests, read_result, .. } = conversations::read(bytes);
        _ = writeln!(text, "{name}: {} requests, {}", requests.len(), read_result.unwrap_err());
    }
    FIXTURES.assert_same("damaged.txt", &text);
}
