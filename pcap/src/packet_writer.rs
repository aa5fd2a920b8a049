//! Writes conversations to a capture file as TCP packets.
use etherparse::PacketBuilder;
use etherparse::err::packet::BuildWriteError;
use pcap_file::pcap::{PcapHeader, PcapPacket, PcapWriter};
use pcap_file::{DataLink, Endianness, PcapError, TsResolution};
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of payload bytes in one TCP segment.
const MAX_SEGMENT_BYTES: usize = 16 * 1024;
/// Length of the file header.
const FILE_HEADER_BYTES: u64 = 24;
/// Length of all headers of a packet: the packet header of the file format and the Ethernet, IPv4 and TCP
/// headers.
const PACKET_HEADERS_BYTES: u64 = 16 + 14 + 20 + 20;
/// Maximum packet length that the file header announces.
const SNAP_LENGTH: u32 = 256 * 1024;
const CLIENT_MAC: [u8; 6] = [2, 0, 0, 0, 0, 1];
const SERVER_MAC: [u8; 6] = [2, 0, 0, 0, 0, 2];
const TIME_TO_LIVE: u8 = 64;
const TCP_WINDOW: u16 = 65_535;
/// Initial TCP sequence numbers of each conversation.
const FIRST_CLIENT_SEQUENCE: u32 = 1000;
const FIRST_SERVER_SEQUENCE: u32 = 5000;

/// Reason why writing to the file failed.
#[derive(Debug, Error)]
pub(crate) enum WriteError {
    #[error("{0}")]
    File(#[from] io::Error),
    #[error("{0}")]
    Format(#[from] PcapError),
    #[error("{0}")]
    Packet(#[from] BuildWriteError),
}

/// Side of a conversation that sends a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Client,
    Server,
}

/// Effect of a packet on its direction of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PacketKind {
    Open,
    /// Carries payload bytes. A packet without any acknowledges the payload of the conversation's other side.
    Data,
    Close,
}

/// A conversation in the file, with the next sequence number of each side.
struct Conversation {
    client: SocketAddr,
    client_sequence: u32,
    server_sequence: u32,
}

impl Conversation {
    fn new(client: SocketAddr) -> Conversation {
        let (client_sequence, server_sequence) = (FIRST_CLIENT_SEQUENCE, FIRST_SERVER_SEQUENCE);
        Conversation { client, client_sequence, server_sequence }
    }

    fn sequence(&self, side: Side) -> u32 {
        match side {
            Side::Client => self.client_sequence,
            Side::Server => self.server_sequence,
        }
    }

    fn acknowledgement(&self, side: Side) -> u32 {
        match side {
            Side::Client => self.server_sequence,
            Side::Server => self.client_sequence,
        }
    }

    /// Advances the sequence number of `side` after it has sent a packet. A SYN or FIN counts as one byte.
    fn advance(&mut self, side: Side, kind: PacketKind, bytes: usize) {
        let sequence = match side {
            Side::Client => &mut self.client_sequence,
            Side::Server => &mut self.server_sequence,
        };
        *sequence = sequence.wrapping_add(bytes as u32 + u32::from(kind != PacketKind::Data));
    }
}

/// File handle that is shared with the pcap library's writer, because that writer cannot flush.
#[derive(Clone)]
struct SharedFile(Arc<Mutex<BufWriter<File>>>);

impl SharedFile {
    fn lock(&self) -> MutexGuard<'_, BufWriter<File>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for SharedFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lock().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.lock().flush()
    }
}

/// Writes a capture file of limited size.
pub(crate) struct PacketWriter {
    writer: PcapWriter<SharedFile>,
    file: SharedFile,
    server: SocketAddr,
    remaining_capacity: u64,
    is_full: bool,
    /// Open conversations by connection ID.
    conversations: HashMap<u64, Conversation>,
}

impl PacketWriter {
    /// Creates a file of at most `capacity` bytes.
    pub(crate) fn create(path: &Path, capacity: u64, server: SocketAddr) -> Result<Self, WriteError> {
        let file = SharedFile(Arc::new(Mutex::new(BufWriter::new(File::create(path)?))));
        let header = PcapHeader {
            datalink: DataLink::ETHERNET,
            endianness: Endianness::Little,
            ts_resolution: TsResolution::MicroSecond,
            snaplen: SNAP_LENGTH,
            ..PcapHeader::default()
        };
        Ok(PacketWriter {
            writer: PcapWriter::with_header(file.clone(), header)?,
            file,
            server,
            remaining_capacity: capacity.saturating_sub(FILE_HEADER_BYTES),
            is_full: false,
            conversations: HashMap::new(),
        })
    }

    /// Writes payload bytes of a conversation. The first bytes of a connection start its conversation.
    pub(crate) fn write_bytes(
        &mut self,
        connection: u64,
        client: SocketAddr,
        sender: Side,
        captured_at: Duration,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        if !self.conversations.contains_key(&connection) {
            if self.is_full {
                return Ok(());
            }
            self.begin_conversation(connection, client, captured_at)?;
        }
        bytes
            .chunks(MAX_SEGMENT_BYTES)
            .try_for_each(|chunk| self.write_packet(connection, sender, captured_at, PacketKind::Data, chunk))
    }

    fn begin_conversation(
        &mut self,
        connection: u64,
        client: SocketAddr,
        captured_at: Duration,
    ) -> Result<(), WriteError> {
        self.conversations.insert(connection, Conversation::new(client));
        self.write_packet(connection, Side::Client, captured_at, PacketKind::Open, &[])?;
        self.write_packet(connection, Side::Server, captured_at, PacketKind::Open, &[])?;
        self.write_packet(connection, Side::Client, captured_at, PacketKind::Data, &[])
    }

    /// Ends a conversation and flushes the file, so that the file contains complete conversations.
    pub(crate) fn end_conversation(
        &mut self,
        connection: u64,
        captured_at: Duration,
    ) -> Result<(), WriteError> {
        if self.conversations.contains_key(&connection) {
            self.write_packet(connection, Side::Client, captured_at, PacketKind::Close, &[])?;
            self.write_packet(connection, Side::Server, captured_at, PacketKind::Close, &[])?;
            self.conversations.remove(&connection);
        }
        Ok(self.file.flush()?)
    }

    /// Reserves space in the file for a packet. Returns false if the file is full.
    fn reserve(&mut self, packet_bytes: u64) -> Result<bool, WriteError> {
        if self.is_full {
            return Ok(false);
        }
        if packet_bytes > self.remaining_capacity {
            self.is_full = true;
            tracing::warn!("recording file full, nothing more is recorded");
            self.file.flush()?;
            return Ok(false);
        }
        self.remaining_capacity -= packet_bytes;
        Ok(true)
    }

    fn write_packet(
        &mut self,
        connection: u64,
        sender: Side,
        captured_at: Duration,
        kind: PacketKind,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        let packet_bytes = PACKET_HEADERS_BYTES + bytes.len() as u64;
        if !self.conversations.contains_key(&connection) || !self.reserve(packet_bytes)? {
            return Ok(());
        }
        let Some(conversation) = self.conversations.get_mut(&connection) else { return Ok(()) };
        let (sequence, acknowledgement) =
            (conversation.sequence(sender), conversation.acknowledgement(sender));
        let (from, to) = match sender {
            Side::Client => (conversation.client, self.server),
            Side::Server => (self.server, conversation.client),
        };
        conversation.advance(sender, kind, bytes.len());
        let builder = PacketBuilder::ethernet2(CLIENT_MAC, SERVER_MAC)
            .ipv4(ipv4_octets(from), ipv4_octets(to), TIME_TO_LIVE)
            .tcp(from.port(), to.port(), sequence, TCP_WINDOW);
        let builder = match kind {
            PacketKind::Open if sender == Side::Client => builder.syn(),
            PacketKind::Open => builder.syn().ack(acknowledgement),
            PacketKind::Close => builder.fin().ack(acknowledgement),
            PacketKind::Data if bytes.is_empty() => builder.ack(acknowledgement),
            PacketKind::Data => builder.psh().ack(acknowledgement),
        };
        let mut packet = Vec::with_capacity(packet_bytes as usize);
        builder.write(&mut packet, bytes)?;
        self.writer.write_packet(&PcapPacket::new(captured_at, packet.len() as u32, &packet))?;
        Ok(())
    }
}

/// Returns the address to write to the file. An IPv6 address is replaced by the IPv4 loopback address.
fn ipv4_octets(address: SocketAddr) -> [u8; 4] {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => Ipv4Addr::LOCALHOST.octets(),
    }
}
