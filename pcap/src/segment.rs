//! TCP segments in captured packets.
use crate::capture::Packet;
use etherparse::{NetSlice, SlicedPacket, TransportSlice};
use pcap_file::DataLink;
use std::net::{IpAddr, SocketAddr};

/// Bytes of the address family before a packet of the loopback link types.
const ADDRESS_FAMILY_BYTES: usize = 4;

/// One direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Direction {
    /// The sender.
    pub from: SocketAddr,
    /// The receiver.
    pub to: SocketAddr,
}

impl Direction {
    /// The other direction of the same connection.
    #[must_use]
    pub fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// A TCP segment.
pub struct Segment {
    /// Its direction.
    pub direction: Direction,
    /// The sequence number of its first byte.
    pub sequence: u32,
    /// Whether it opens its direction.
    pub syn: bool,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

impl Segment {
    /// The segment in a packet; `None` if it has none, or its link type is not supported.
    pub fn parse(packet: &Packet) -> Option<Segment> {
        let sliced = match packet.link {
            DataLink::ETHERNET => SlicedPacket::from_ethernet(&packet.bytes),
            DataLink::LINUX_SLL => SlicedPacket::from_linux_sll(&packet.bytes),
            DataLink::RAW | DataLink::IPV4 | DataLink::IPV6 => SlicedPacket::from_ip(&packet.bytes),
            DataLink::NULL | DataLink::LOOP => {
                SlicedPacket::from_ip(packet.bytes.get(ADDRESS_FAMILY_BYTES..)?)
            }
            _ => return None,
        };
        let sliced = sliced.ok()?;
        let (source, destination): (IpAddr, IpAddr) = match sliced.net? {
            NetSlice::Ipv4(ip) => (ip.header().source_addr().into(), ip.header().destination_addr().into()),
            NetSlice::Ipv6(ip) => (ip.header().source_addr().into(), ip.header().destination_addr().into()),
            _ => return None,
        };
        let Some(TransportSlice::Tcp(tcp)) = sliced.transport else { return None };
        Some(Segment {
            direction: Direction {
                from: (source, tcp.source_port()).into(),
                to: (destination, tcp.destination_port()).into(),
            },
            sequence: tcp.sequence_number(),
            syn: tcp.syn(),
            bytes: tcp.payload().to_vec(),
        })
    }
}
