//! Finds the `MySQL` conversations in a capture and reads their requests.
use crate::capture::{self, CaptureError, Packet};
use crate::conversation;
use crate::remark::{Remark, RemarkKind};
use crate::request::Request;
use crate::segment::{Direction, Segment};
use crate::stream::Stream;
use std::collections::HashMap;
use std::io::Read;

/// Contents of a capture file.
pub struct CaptureContents {
    /// Requests of all conversations, ordered by capture time.
    pub requests: Vec<Request>,
    /// Remarks about conversations that could not be read completely.
    pub remarks: Vec<Remark>,
    /// Error that ended the reading of the file early, if any. The packets before it have been processed.
    pub read_result: Result<(), CaptureError>,
}

/// Streams by direction, in order of their first segment. Ports are reused, so a direction can have several
/// streams.
#[derive(Default)]
struct Streams {
    by_direction: HashMap<Direction, Vec<Stream>>,
    order: Vec<Direction>,
}

impl Streams {
    fn add(&mut self, packet: &Packet) {
        let Some(segment) = Segment::parse(packet) else { return };
        let direction = segment.direction;
        let streams = self.by_direction.entry(direction).or_insert_with(|| {
            self.order.push(direction);
            vec![Stream::default()]
        });
        // If the stream has data, a SYN starts a new connection on the same ports.
        if segment.syn && streams.last().is_some_and(|last| !last.bytes().is_empty()) {
            streams.push(Stream::default());
        }
        if let Some(last) = streams.last_mut() {
            last.add(packet.captured_at, segment);
        }
    }
}

/// Reads all conversations of a capture file.
pub fn read(source: impl Read) -> CaptureContents {
    let mut streams = Streams::default();
    let read_result = capture::read_packets(source, |packet| streams.add(&packet));
    let mut contents = CaptureContents { requests: Vec::new(), remarks: Vec::new(), read_result };
    for direction in &streams.order {
        let clients = streams.by_direction.get(direction);
        let servers = streams.by_direction.get(&direction.reversed());
        let (Some(clients), Some(servers)) = (clients, servers) else { continue };
        for (client, server) in clients.iter().zip(servers) {
            read_connection(*direction, client, server, &mut contents);
        }
    }
    contents.requests.sort_by_key(|request| request.captured_at);
    contents
}

/// Reads a connection if `direction` is the direction from its client and it is a `MySQL` conversation.
fn read_connection(direction: Direction, client: &Stream, server: &Stream, contents: &mut CaptureContents) {
    let Direction { from, to } = direction;
    if conversation::begins_with_greeting(server) {
        let remark = |kind| Remark { client: from, kind };
        let parsed = conversation::parse(from, client, server);
        contents.requests.extend(parsed.requests);
        contents.remarks.extend(parsed.remarks.into_iter().map(remark));
    } else if client.start_missing() && server.start_missing() && from.port() > to.port() {
        contents.remarks.push(Remark { client: from, kind: RemarkKind::StartMissing(to) });
    }
}
