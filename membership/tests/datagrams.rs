//! Compares the bytes of every kind of datagram with those that deployed routers write.
use foca::{Codec, Header, Message, PostcardCodec, State};
use membership::Member;
use membership::member_record::{ListEntry, MemberRecord, MemberStatus};
use membership::wire::{
    Datagram, HEADER_BYTES, JoinMessage, cluster_hash, decode, encode_gossip, encode_join_message,
};
use std::net::SocketAddrV4;
use testkit::fixture::Fixtures;
use testkit::hex;

const FIXTURES: Fixtures = testkit::fixtures!();

const CLUSTER: &str = "orders";

fn member(name: &str, port: u16, generation: u64) -> Member {
    Member::new(name, SocketAddrV4::new([127, 0, 0, 1].into(), port), generation)
        .expect("the member is valid")
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

fn updates() -> Vec<MemberRecord> {
    vec![
        MemberRecord::new(ann(), 0, State::Alive),
        MemberRecord::new(ben(), 1, State::Suspect),
        MemberRecord::new(cat(), u16::MAX, State::Down),
    ]
}

/// A gossip datagram of the core, with the name under which it is recorded.
struct GossipCase {
    name: &'static str,
    header: Header<Member>,
    /// The updates after the header, if the message has any.
    updates: Option<Vec<MemberRecord>>,
}

/// Returns one case for each message of the SWIM core that routers send.
fn gossip_cases() -> Vec<GossipCase> {
    let case = |name, message, updates| GossipCase { name, header: header(message), updates };
    let (target, origin, probe_number) = (cat(), cat(), 200);
    let (no_updates, some_updates) = (Some(Vec::new()), Some(updates()));
    vec![
        case("gossip-ping", Message::Ping(1), no_updates.clone()),
        case("gossip-ack", Message::Ack(255), some_updates.clone()),
        case("gossip-ping-req", Message::PingReq { target: cat(), probe_number }, no_updates.clone()),
        case(
            "gossip-indirect-ping",
            Message::IndirectPing { origin: cat(), probe_number },
            some_updates.clone(),
        ),
        case("gossip-indirect-ack", Message::IndirectAck { target, probe_number }, no_updates),
        case("gossip-forwarded-ack", Message::ForwardedAck { origin, probe_number }, some_updates.clone()),
        case("gossip-announce", Message::Announce, None),
        case("gossip-feed", Message::Feed, some_updates.clone()),
        case("gossip-gossip", Message::Gossip, some_updates),
        case("gossip-turn-undead", Message::TurnUndead, None),
    ]
}

/// All kinds of join messages, with the names under which they are recorded.
fn join_messages() -> Vec<(&'static str, JoinMessage)> {
    let entries = vec![
        ListEntry { member: ann(), refutation: 0, status: MemberStatus::Alive },
        ListEntry { member: ben(), refutation: 300, status: MemberStatus::Suspect },
        ListEntry { member: cat(), refutation: u16::MAX, status: MemberStatus::Down },
    ];
    vec![
        ("talk-hello", JoinMessage::JoinRequest { from: ann() }),
        ("talk-here-unknown", JoinMessage::JoinReply { from: ann(), known: None }),
        ("talk-here-known", JoinMessage::JoinReply { from: ann(), known: Some(ben()) }),
        ("talk-ask-first", JoinMessage::PageRequest { from: ann(), request_id: 5, after: None }),
        (
            "talk-ask-next",
            JoinMessage::PageRequest { from: ann(), request_id: u64::MAX, after: Some("ben.2".into()) },
        ),
        (
            "talk-page-empty",
            JoinMessage::Page { from: ann(), request_id: 0, entries: Vec::new(), more: false },
        ),
        ("talk-page-full", JoinMessage::Page { from: ann(), request_id: 1 << 40, entries, more: true }),
    ]
}

fn gossip_datagram(header: &Header<Member>, updates: Option<&[MemberRecord]>) -> Vec<u8> {
    let mut body = Vec::new();
    PostcardCodec.encode_header(header, &mut body).expect("the header can be encoded");
    if let Some(updates) = updates {
        body.extend_from_slice(&(updates.len() as u16).to_be_bytes());
        updates
            .iter()
            .for_each(|update| PostcardCodec.encode_member(update, &mut body).expect("valid update"));
    }
    encode_gossip(cluster_hash(CLUSTER), &body)
}

/// The recorded bytes of the datagram with this name.
fn recorded(name: &str) -> Vec<u8> {
    hex::decode_line(&FIXTURES.text("datagrams.txt"), &format!("{name} "))
}

#[test]
fn gossip_datagram_bytes_match_recording() {
    for GossipCase { name, header, updates } in gossip_cases() {
        let bytes = recorded(name);
        assert_eq!(hex::encode(&gossip_datagram(&header, updates.as_deref())), hex::encode(&bytes), "{name}");
        let Ok(Datagram::Gossip(gossip)) = decode(cluster_hash(CLUSTER), &bytes) else { panic!("{name}") };
        assert_eq!(gossip.header, header, "{name}");
        assert_eq!(gossip.updates, updates.unwrap_or_default(), "{name}");
        assert_eq!(gossip.body, &bytes[HEADER_BYTES..], "{name}");
    }
}

#[test]
fn join_message_bytes_match_recording() {
    for (name, message) in join_messages() {
        let bytes = recorded(name);
        assert_eq!(
            encode_join_message(cluster_hash(CLUSTER), &message).map(|bytes| hex::encode(&bytes)),
            Some(hex::encode(&bytes)),
            "{name}"
        );
        let Ok(Datagram::Join(decoded)) = decode(cluster_hash(CLUSTER), &bytes) else { panic!("{name}") };
        assert_eq!(decoded, message, "{name}");
    }
}

#[test]
fn recorded_datagrams_are_all_compared() {
    let all = include_str!("fixtures/datagrams.txt");
    assert_eq!(all.lines().count(), gossip_cases().len() + join_messages().len());
}
