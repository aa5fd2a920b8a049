//! Extracts TCP segments from captured packets.
use crate::capture::Packet;
use etherparse::{NetSlice, SlicedPacket, TransportSlice};
use pcap_file::DataLink;
use std::net::{IpAddr, SocketAddr};

/// Length of the address family field that precedes a packet of the loopback link types.
const ADDRESS_FAMILY_BYTES: usize = 4;

/// One direction of a TCP connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Direction {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Address of the receiver.
    pub to: SocketAddr,
}

impl Direction {
    /// Returns the opposite direction of the same connection.
    #[must_use]
    pub fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// A TCP segment of a captured packet.
pub struct Segment {
    /// Direction of the segment.
    pub direction: Direction,
    /// Sequence number of the segment's first byte.
    pub sequence: u32,
    /// Whether the SYN flag is set.
    pub syn: bool,
    /// Payload bytes of the segment.
    pub bytes: Vec<u8>,
}

impl Segment {
    /// Parses the TCP segment of a packet. Returns `None` if the packet contains no TCP segment or its link
    /// type is not supported.
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
