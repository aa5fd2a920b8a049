//! Packets of a capture file. An error names the place in the file.
use pcap_file::pcap::PcapReader;
use pcap_file::pcapng::{Block, PcapNgReader};
use pcap_file::{DataLink, PcapError};
use std::cell::Cell;
use std::io::{self, BufReader, Read};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Bytes of the number that every capture begins with.
const MAGIC_BYTES: usize = 4;
/// Bytes before the first packet of a classic capture.
const CLASSIC_HEADER_BYTES: u64 = 24;
/// Bytes before each packet of a classic capture.
const CLASSIC_PACKET_HEADER_BYTES: u64 = 16;

/// A captured packet.
pub struct Packet {
    /// When it was captured, as Unix time.
    pub captured_at: Duration,
    /// The type of the link that it was captured on.
    pub link: DataLink,
    /// Its bytes from the link's header on.
    pub bytes: Vec<u8>,
}

/// Counts the bytes that are read.
struct CountingReader<R> {
    inner: R,
    count: Rc<Cell<u64>>,
}

impl<R: Read> Read for CountingReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.inner.read(buffer)?;
        self.count.set(self.count.get() + count as u64);
        Ok(count)
    }
}

/// Why a capture could not be read to its end; offsets are in bytes from its beginning.
#[derive(Debug, Error)]
pub enum CaptureError {
    /// The file can't be read.
    #[error("offset {offset}: {source}")]
    Read {
        /// Bytes read before.
        offset: usize,
        /// The cause.
        source: io::Error,
    },
    /// The file, of so many bytes, is shorter than the number that every capture begins with.
    #[error("offset {0}: the file ends within its first four bytes")]
    TooShort(usize),
    /// The file has another format.
    #[error("offset 0: this is no capture file: it begins with none of their marks")]
    UnknownFormat,
    /// The file ends within a packet.
    #[error("behind offset {complete} (read up to {read}): the file is cut off within a packet")]
    Truncated {
        /// Where the last complete packet ends.
        complete: u64,
        /// Bytes read.
        read: u64,
    },
    /// A packet can't be read.
    #[error("behind offset {complete} (read up to {read}): {source}")]
    Packet {
        /// Where the last complete packet ends.
        complete: u64,
        /// Bytes read.
        read: u64,
        /// The cause.
        source: PcapError,
    },
    /// A block of the ng format can't be read.
    #[error("behind block {blocks}, {source}")]
    Block {
        /// Blocks before it.
        blocks: u64,
        /// The cause.
        source: Box<CaptureError>,
    },
    /// A packet names an interface that the file does not describe.
    #[error("block {block}: it names the unknown interface {interface}")]
    UnknownInterface {
        /// The packet's block, counted from 1.
        block: u64,
        /// The interface.
        interface: usize,
    },
}

impl CaptureError {
    fn new(source: PcapError, complete: u64, read: u64) -> CaptureError {
        match source {
            PcapError::IncompleteBuffer => CaptureError::Truncated { complete, read },
            PcapError::IoError(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                CaptureError::Truncated { complete, read }
            }
            source => CaptureError::Packet { complete, read, source },
        }
    }
}

/// Calls `handle` with each packet of a file, in order. An error is returned after the packets before it.
///
/// # Errors
/// The file can't be read, is no capture, or ends within a packet.
pub fn read_packets(source: impl Read, mut handle: impl FnMut(Packet)) -> Result<(), CaptureError> {
    let mut source = BufReader::new(source);
    let magic = read_magic(&mut source)?;
    let count = Rc::new(Cell::new(0));
    let inner = io::Cursor::new(magic).chain(source);
    let reader = CountingReader { inner, count: count.clone() };
    match magic {
        [0x0a, 0x0d, 0x0d, 0x0a] => read_ng(reader, &count, &mut handle),
        [0xa1, 0xb2, 0xc3, 0xd4]
        | [0xd4, 0xc3, 0xb2, 0xa1]
        | [0xa1, 0xb2, 0x3c, 0x4d]
        | [0x4d, 0x3c, 0xb2, 0xa1] => read_classic(reader, &count, &mut handle),
        _ => Err(CaptureError::UnknownFormat),
    }
}

fn read_magic(source: &mut impl Read) -> Result<[u8; MAGIC_BYTES], CaptureError> {
    let mut magic = [0; MAGIC_BYTES];
    let mut offset = 0;
    while offset < MAGIC_BYTES {
        match source.read(&mut magic[offset..]).map_err(|source| CaptureError::Read { offset, source })? {
            0 => return Err(CaptureError::TooShort(offset)),
            count => offset += count,
        }
    }
    Ok(magic)
}

fn read_classic(
    source: impl Read,
    count: &Cell<u64>,
    handle: &mut impl FnMut(Packet),
) -> Result<(), CaptureError> {
    let mut reader = PcapReader::new(source).map_err(|error| CaptureError::new(error, 0, count.get()))?;
    let link = reader.header().datalink;
    let mut complete = CLASSIC_HEADER_BYTES;
    while let Some(packet) = reader.next_packet() {
        let packet = packet.map_err(|error| CaptureError::new(error, complete, count.get()))?;
        complete += CLASSIC_PACKET_HEADER_BYTES + packet.data.len() as u64;
        handle(Packet { captured_at: packet.timestamp, link, bytes: packet.data.into_owned() });
    }
    // Bytes after the last complete packet are a packet that was cut off.
    let read = count.get();
    if read > complete { Err(CaptureError::Truncated { complete, read }) } else { Ok(()) }
}

/// A packet of the ng format, whose interface says what link it was captured on.
struct NgPacket {
    interface: usize,
    captured_at: Duration,
    bytes: Vec<u8>,
}

impl NgPacket {
    /// The packet in a block, if it has one.
    fn in_block(block: Block<'_>) -> Option<NgPacket> {
        match block {
            Block::EnhancedPacket(packet) => Some(NgPacket {
                interface: packet.interface_id as usize,
                captured_at: packet.timestamp,
                bytes: packet.data.into_owned(),
            }),
            Block::SimplePacket(packet) => {
                Some(NgPacket { interface: 0, captured_at: Duration::ZERO, bytes: packet.data.into_owned() })
            }
            _ => None,
        }
    }
}

fn read_ng(
    source: impl Read,
    count: &Cell<u64>,
    handle: &mut impl FnMut(Packet),
) -> Result<(), CaptureError> {
    let mut reader = PcapNgReader::new(source).map_err(|error| CaptureError::new(error, 0, count.get()))?;
    let mut blocks = 0u64;
    loop {
        let links: Vec<DataLink> = reader.interfaces().iter().map(|interface| interface.linktype).collect();
        let Some(block) = reader.next_block() else { return Ok(()) };
        let packet = block.map(NgPacket::in_block).map_err(|error| {
            let source = Box::new(CaptureError::new(error, 0, count.get()));
            CaptureError::Block { blocks, source }
        })?;
        blocks += 1;
        if let Some(NgPacket { interface, captured_at, bytes }) = packet {
            let unknown = CaptureError::UnknownInterface { block: blocks, interface };
            let link = links.get(interface).copied().ok_or(unknown)?;
            handle(Packet { captured_at, link, bytes });
        }
    }
}
