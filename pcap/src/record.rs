//! A recording of served conversations, as a capture file that the usual tools open. It never holds a
//! conversation up: what comes faster than the disk is left out, and the file ends at its capacity.
use crossbeam_channel::{Receiver, Sender, bounded};
use etherparse::PacketBuilder;
use etherparse::err::packet::BuildWriteError;
use mysql_wire::tap::Tap;
use pcap_file::pcap::{PcapHeader, PcapPacket, PcapWriter};
use pcap_file::{DataLink, Endianness, PcapError, TsResolution};
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Pieces that wait for the file.
const WAITING: usize = 1024;
/// Bytes of a conversation in one packet.
const PIECE: usize = 16 * 1024;
/// What a packet of the file costs beside its bytes: its head, and those of Ethernet, IP and TCP.
const HEADS: u64 = 16 + 14 + 20 + 20;

/// Why no recording begins.
#[derive(Debug, Error)]
#[error("record: {}: {source}; see that its folder exists and is this user's", .path.display())]
pub struct RecordError {
    /// The file.
    path: PathBuf,
    source: WriteError,
}

/// Why the file can't be written, or no longer.
#[derive(Debug, Error)]
enum WriteError {
    #[error("{0}")]
    File(#[from] std::io::Error),
    #[error("{0}")]
    Format(#[from] PcapError),
    #[error("{0}")]
    Packet(#[from] BuildWriteError),
}

enum Event {
    Bytes { connection: u64, client: SocketAddr, from_client: bool, at: Duration, bytes: Vec<u8> },
    Ended(u64, Duration),
}

/// Hands conversations to the file's thread.
pub struct Recorder {
    to: Sender<Event>,
}

struct Conversation {
    client: SocketAddr,
    /// The next sequence numbers, the client's first.
    next: [u32; 2],
}

struct Recording {
    writer: PcapWriter<Buffered>,
    file: Buffered,
    server: SocketAddr,
    left: u64,
    full: bool,
    conversations: HashMap<u64, Conversation>,
}

/// The file, shared with the library's writer, which does not flush.
#[derive(Clone)]
struct Buffered(Arc<Mutex<BufWriter<File>>>);

impl Buffered {
    fn held(&self) -> std::sync::MutexGuard<'_, BufWriter<File>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Write for Buffered {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.held().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.held().flush()
    }
}

fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Recorder {
    /// Begins a file of at most `capacity` bytes for conversations with the front at `server`.
    pub fn start(path: &Path, capacity: u64, server: SocketAddr) -> Result<Recorder, RecordError> {
        let begin = || Recorder::begin(path, capacity, server);
        begin().map_err(|source| RecordError { path: path.into(), source })
    }

    fn begin(path: &Path, capacity: u64, server: SocketAddr) -> Result<Recorder, WriteError> {
        let file = File::create(path)?;
        let header = PcapHeader {
            datalink: DataLink::ETHERNET,
            endianness: Endianness::Little,
            ts_resolution: TsResolution::MicroSecond,
            snaplen: 256 * 1024,
            ..PcapHeader::default()
        };
        let file = Buffered(Arc::new(Mutex::new(BufWriter::new(file))));
        let writer = PcapWriter::with_header(file.clone(), header)?;
        let left = capacity.saturating_sub(24);
        let mut recording =
            Recording { writer, file, server, left, full: false, conversations: HashMap::new() };
        let (to, events) = bounded(WAITING);
        let run = move || recording.run(&events);
        let thread = std::thread::Builder::new().name("record".into()).stack_size(256 * 1024);
        thread.spawn(run)?;
        Ok(Recorder { to })
    }
}

impl Tap for Recorder {
    fn bytes(&self, connection: u64, client: SocketAddr, from_client: bool, bytes: &[u8]) {
        let bytes = bytes.to_vec();
        // A full mailbox leaves a gap that a reader sees: the conversation ends there in the file.
        if self.to.try_send(Event::Bytes { connection, client, from_client, at: now(), bytes }).is_err() {
            _ = self.to.try_send(Event::Ended(connection, now()));
        }
    }

    fn ended(&self, connection: u64) {
        _ = self.to.try_send(Event::Ended(connection, now()));
    }
}

impl Recording {
    fn run(&mut self, events: &Receiver<Event>) {
        for event in events {
            let written = match event {
                Event::Bytes { connection, client, from_client, at, bytes } => {
                    self.bytes(connection, client, from_client, at, &bytes)
                }
                Event::Ended(connection, at) => self.end(connection, at),
            };
            if let Err(e) = written {
                tracing::error!("record: stopped: {e}");
                return;
            }
        }
    }

    fn bytes(
        &mut self,
        id: u64,
        client: SocketAddr,
        from_client: bool,
        at: Duration,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        if !self.conversations.contains_key(&id) {
            if self.full {
                return Ok(());
            }
            self.conversations.insert(id, Conversation { client, next: [1000, 5000] });
            self.packet(id, true, at, Flags::Syn, &[])?;
            self.packet(id, false, at, Flags::Syn, &[])?;
            self.packet(id, true, at, Flags::None, &[])?;
        }
        bytes.chunks(PIECE).try_for_each(|piece| self.packet(id, from_client, at, Flags::None, piece))
    }

    fn end(&mut self, id: u64, at: Duration) -> Result<(), WriteError> {
        if self.conversations.contains_key(&id) {
            self.packet(id, true, at, Flags::Fin, &[])?;
            self.packet(id, false, at, Flags::Fin, &[])?;
            self.conversations.remove(&id);
        }
        // A reader that looks now finds whole conversations.
        Ok(self.file.flush()?)
    }

    fn packet(
        &mut self,
        id: u64,
        from_client: bool,
        at: Duration,
        flags: Flags,
        bytes: &[u8],
    ) -> Result<(), WriteError> {
        let Some(c) = self.conversations.get_mut(&id) else { return Ok(()) };
        let cost = HEADS + bytes.len() as u64;
        if self.full || cost > self.left {
            if !self.full {
                self.full = true;
                tracing::warn!("record: the file is full, nothing more is recorded");
                return Ok(self.file.flush()?);
            }
            return Ok(());
        }
        self.left -= cost;
        let (own, other) = if from_client { (0, 1) } else { (1, 0) };
        let (from, to) = if from_client { (c.client, self.server) } else { (self.server, c.client) };
        let v4 = |a: SocketAddr| match a.ip() {
            IpAddr::V4(ip) => ip.octets(),
            IpAddr::V6(_) => Ipv4Addr::LOCALHOST.octets(),
        };
        let builder =
            PacketBuilder::ethernet2([2, 0, 0, 0, 0, 1], [2, 0, 0, 0, 0, 2]).ipv4(v4(from), v4(to), 64);
        let builder = builder.tcp(from.port(), to.port(), c.next[own], 65_535);
        let builder = match flags {
            Flags::Syn if from_client => builder.syn(),
            Flags::Syn => builder.syn().ack(c.next[other]),
            Flags::Fin => builder.fin().ack(c.next[other]),
            Flags::None if bytes.is_empty() => builder.ack(c.next[other]),
            Flags::None => builder.psh().ack(c.next[other]),
        };
        let opens = u32::from(!matches!(flags, Flags::None));
        c.next[own] = c.next[own].wrapping_add(bytes.len() as u32 + opens);
        let mut packet = Vec::with_capacity(cost as usize);
        builder.write(&mut packet, bytes)?;
        let length = packet.len() as u32;
        let packet = PcapPacket::new(at, length, &packet);
        self.writer.write_packet(&packet)?;
        Ok(())
    }
}

enum Flags {
    None,
    Syn,
    Fin,
}
