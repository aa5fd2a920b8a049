//! The bytes of every kind of datagram, as routers in service write them.
use super::*;
use foca::{Codec, Message, PostcardCodec};
use std::net::SocketAddrV4;

const CLUSTER: &str = "orders";

fn member(name: &str, port: u16, start: u64) -> Member {
    Member::new(name, SocketAddrV4::new([127, 0, 0, 1].into(), port), start).expect("a member")
}

fn ann() -> Member {
    member("ann", 7201, 1_700_000_000_123)
}

fn ben() -> Member {
    member("ben.2", 7202, 7)
}

fn cat() -> Member {
    member("cat_3-x", 65_535, 1 << 45)
}

fn header(message: Message<Member>) -> Header<Member> {
    Header { src: ann(), src_incarnation: 300, dst: ben(), message }
}

fn updates() -> Vec<Known> {
    vec![
        Known::new(ann(), 0, State::Alive),
        Known::new(ben(), 1, State::Suspect),
        Known::new(cat(), u16::MAX, State::Down),
    ]
}

/// Every message of the core that routers send, with the news behind it where it carries any.
fn gossip_datagrams() -> Vec<(&'static str, Header<Member>, Option<Vec<Known>>)> {
    let probe_number = 200;
    vec![
        ("gossip-ping", header(Message::Ping(1)), Some(Vec::new())),
        ("gossip-ack", header(Message::Ack(255)), Some(updates())),
        ("gossip-ping-req", header(Message::PingReq { target: cat(), probe_number }), Some(Vec::new())),
        (
            "gossip-indirect-ping",
            header(Message::IndirectPing { origin: cat(), probe_number }),
            Some(updates()),
        ),
        (
            "gossip-indirect-ack",
            header(Message::IndirectAck { target: cat(), probe_number }),
            Some(Vec::new()),
        ),
        (
            "gossip-forwarded-ack",
            header(Message::ForwardedAck { origin: cat(), probe_number }),
            Some(updates()),
        ),
        ("gossip-announce", header(Message::Announce), None),
        ("gossip-feed", header(Message::Feed), Some(updates())),
        ("gossip-gossip", header(Message::Gossip), Some(updates())),
        ("gossip-turn-undead", header(Message::TurnUndead), None),
    ]
}

/// Every message of our own.
fn talk_datagrams() -> Vec<(&'static str, Talk)> {
    let entries =
        vec![(ann(), 0, Standing::Alive), (ben(), 300, Standing::Suspect), (cat(), u16::MAX, Standing::Down)];
    vec![
        ("talk-hello", Talk::Hello(ann())),
        ("talk-here-unknown", Talk::Here(ann(), None)),
        ("talk-here-known", Talk::Here(ann(), Some(ben()))),
        ("talk-ask-first", Talk::Ask { from: ann(), number: 5, past: None }),
        ("talk-ask-next", Talk::Ask { from: ann(), number: u64::MAX, past: Some("ben.2".into()) }),
        ("talk-page-empty", Talk::Page { from: ann(), number: 0, entries: Vec::new(), more: false }),
        ("talk-page-full", Talk::Page { from: ann(), number: 1 << 40, entries, more: true }),
    ]
}

fn encode_gossip(header: &Header<Member>, updates: Option<&[Known]>) -> Vec<u8> {
    let mut body = Vec::new();
    PostcardCodec.encode_header(header, &mut body).expect("a header");
    if let Some(updates) = updates {
        body.extend_from_slice(&(updates.len() as u16).to_be_bytes());
        updates.iter().for_each(|update| PostcardCodec.encode_member(update, &mut body).expect("an update"));
    }
    gossip(cluster(CLUSTER), &body)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex")).collect()
}

/// The recorded bytes of the datagram of this name.
fn recorded(name: &str) -> Vec<u8> {
    let all = include_str!("../../tests/fixtures/datagrams.txt");
    let line = all.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    unhex(line.unwrap_or_else(|| panic!("{name} is not recorded")))
}

#[test]
fn gossip_datagrams_keep_their_bytes() {
    for (name, header, updates) in gossip_datagrams() {
        let bytes = recorded(name);
        assert_eq!(hex(&encode_gossip(&header, updates.as_deref())), hex(&bytes), "{name}");
        let Ok(Body::Gossip(gossip, body)) = read(cluster(CLUSTER), &bytes) else { panic!("{name}") };
        assert_eq!(gossip.header, header, "{name}");
        assert_eq!(gossip.updates, updates.unwrap_or_default(), "{name}");
        assert_eq!(body, &bytes[HEAD..], "{name}");
    }
}

#[test]
fn join_messages_keep_their_bytes() {
    for (name, message) in talk_datagrams() {
        let bytes = recorded(name);
        assert_eq!(talk(cluster(CLUSTER), &message).map(|bytes| hex(&bytes)), Some(hex(&bytes)), "{name}");
        let Ok(Body::Talk(read)) = read(cluster(CLUSTER), &bytes) else { panic!("{name}") };
        assert_eq!(format!("{read:?}"), format!("{message:?}"), "{name}");
    }
}

#[test]
fn recorded_datagrams_are_all_compared() {
    let all = include_str!("../../tests/fixtures/datagrams.txt");
    assert_eq!(all.lines().count(), gossip_datagrams().len() + talk_datagrams().len());
}
