//! TCP's bytes in order: segments that come twice, early or overlapping are put where they belong.
use crate::capture::Packet;
use etherparse::{NetSlice, SlicedPacket, TransportSlice};
use pcap_file::DataLink;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Bytes that may wait for a gap before them to close.
const EARLY: usize = 8 << 20;

/// A segment of TCP.
pub struct Segment {
    /// Who sent it.
    pub from: SocketAddr,
    /// To whom.
    pub to: SocketAddr,
    /// The number of its first byte.
    pub sequence: u32,
    /// It opens its direction.
    pub syn: bool,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The segment in a packet, if it is one.
pub fn segment(packet: &Packet) -> Option<Segment> {
    let sliced = match packet.link {
        DataLink::ETHERNET => SlicedPacket::from_ethernet(&packet.bytes),
        DataLink::LINUX_SLL => SlicedPacket::from_linux_sll(&packet.bytes),
        DataLink::RAW | DataLink::IPV4 | DataLink::IPV6 => SlicedPacket::from_ip(&packet.bytes),
        // Four bytes of address family before the packet.
        DataLink::NULL | DataLink::LOOP => SlicedPacket::from_ip(packet.bytes.get(4..)?),
        _ => return None,
    };
    let sliced = sliced.ok()?;
    let (from, to): (IpAddr, IpAddr) = match sliced.net? {
        NetSlice::Ipv4(ip) => (ip.header().source_addr().into(), ip.header().destination_addr().into()),
        NetSlice::Ipv6(ip) => (ip.header().source_addr().into(), ip.header().destination_addr().into()),
        _ => return None,
    };
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else { return None };
    Some(Segment {
        from: (from, tcp.source_port()).into(),
        to: (to, tcp.destination_port()).into(),
        sequence: tcp.sequence_number(),
        syn: tcp.syn(),
        bytes: tcp.payload().to_vec(),
    })
}

/// One direction of a connection.
#[derive(Default)]
pub struct Stream {
    /// The number of the next byte in order; `None` before the first.
    next: Option<u32>,
    early: BTreeMap<u32, (Duration, Vec<u8>)>,
    waiting: usize,
    /// The bytes in order.
    pub bytes: Vec<u8>,
    /// Up to which length the bytes had come when.
    pub times: Vec<(usize, Duration)>,
    /// The capture began behind its beginning.
    pub late: bool,
}

impl Stream {
    /// Takes a segment.
    pub fn take(&mut self, at: Duration, segment: Segment) {
        if segment.syn {
            self.next = Some(segment.sequence.wrapping_add(1));
            return;
        }
        if segment.bytes.is_empty() {
            return;
        }
        let next = *self.next.get_or_insert_with(|| {
            self.late = true;
            segment.sequence
        });
        self.waiting += segment.bytes.len();
        // Kept by the distance from the first byte missing; numbers wrap.
        let ahead = segment.sequence.wrapping_sub(next);
        if ahead as usize > EARLY && (ahead as i32) > 0 || self.waiting > EARLY {
            self.waiting -= segment.bytes.len();
            return;
        }
        self.early.insert(segment.sequence, (at, segment.bytes));
        self.settle();
    }

    /// Moves what has become due into order.
    fn settle(&mut self) {
        while let Some(next) = self.next {
            let due = self.early.keys().copied().find(|s| next.wrapping_sub(*s) as i32 >= 0);
            let Some(sequence) = due else { return };
            let Some((at, bytes)) = self.early.remove(&sequence) else { return };
            self.waiting -= bytes.len();
            // What is there already is passed over.
            let known = next.wrapping_sub(sequence) as usize;
            if let Some(new) = bytes.get(known..).filter(|n| !n.is_empty()) {
                self.bytes.extend_from_slice(new);
                self.times.push((self.bytes.len(), at));
                self.next = Some(next.wrapping_add(new.len() as u32));
            }
        }
    }

    /// When the byte at this place had come.
    pub fn at(&self, place: usize) -> Duration {
        let i = self.times.partition_point(|(end, _)| *end < place);
        self.times.get(i).or(self.times.last()).map_or(Duration::ZERO, |t| t.1)
    }

    /// A segment is missing, and bytes behind it were captured.
    pub fn gap(&self) -> bool {
        !self.early.is_empty()
    }
}
