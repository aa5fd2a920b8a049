//! Reads the packets of a capture file in pcap or pcapng format. Errors state the offset or the block at
//! which reading failed.
use pcap_file::pcap::PcapReader;
use pcap_file::pcapng::{Block, PcapNgReader};
use pcap_file::{DataLink, PcapError};
use std::cell::Cell;
use std::io::{self, BufReader, Read};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Length of the magic number at the start of every capture file.
const MAGIC_BYTES: usize = 4;
/// Length of the file header of a pcap file.
const PCAP_FILE_HEADER_BYTES: u64 = 24;
/// Length of the header before each packet of a pcap file.
const PCAP_PACKET_HEADER_BYTES: u64 = 16;

/// A packet read from a capture file.
pub struct Packet {
    /// Time of the capture since the Unix epoch.
    pub captured_at: Duration,
    /// Link type of the interface on which the packet was captured.
    pub link: DataLink,
    /// Bytes of the packet, starting with the link-layer header.
    pub bytes: Vec<u8>,
}

/// Reader that counts the bytes that are read through it.
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

/// Reason why a capture file could not be read to its end. Offsets are in bytes from the start of the file.
#[derive(Debug, Error)]
pub enum CaptureError {
    /// Reading the start of the file failed.
    #[error("offset {offset}: {source}")]
    Read {
        /// Number of bytes that were read before the error.
        offset: usize,
        /// Cause of the read error.
        source: io::Error,
    },
    /// The file, whose length is given, is shorter than a magic number.
    #[error("offset {0}: the file ends within its first four bytes")]
    TooShort(usize),
    /// The file is neither a pcap nor a pcapng file.
    #[error("offset 0: this is no capture file: it begins with none of their marks")]
    UnknownFormat,
    /// The file ends within a packet.
    #[error("behind offset {complete} (read up to {read}): the file is cut off within a packet")]
    Truncated {
        /// Offset of the end of the last complete packet.
        complete: u64,
        /// Number of bytes that were read.
        read: u64,
    },
    /// A packet is malformed or could not be read.
    #[error("behind offset {complete} (read up to {read}): {source}")]
    Packet {
        /// Offset of the end of the last complete packet.
        complete: u64,
        /// Number of bytes that were read.
        read: u64,
        /// Cause of the error.
        source: PcapError,
    },
    /// A block of a pcapng file is malformed or could not be read.
    #[error("after block {blocks}: {source}")]
    Block {
        /// Number of blocks that were read before that block.
        blocks: u64,
        /// Cause of the error.
        source: Box<CaptureError>,
    },
    /// A packet refers to an interface that the pcapng file does not describe.
    #[error("block {block}: interface {interface} is not described in the file")]
    UnknownInterface {
        /// Number of the block that contains the packet, counted from 1.
        block: u64,
        /// Index of the interface.
        interface: usize,
    },
}

impl CaptureError {
    fn from_pcap_error(source: PcapError, complete: u64, read: u64) -> CaptureError {
        match source {
            PcapError::IncompleteBuffer => CaptureError::Truncated { complete, read },
            PcapError::IoError(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                CaptureError::Truncated { complete, read }
            }
            source => CaptureError::Packet { complete, read, source },
        }
    }
}

/// Calls `on_packet` with each packet of a file, in order. The packets before an error are passed on as well.
///
/// # Errors
/// The file cannot be read, is not a capture file, or ends within a packet.
pub fn read_packets(source: impl Read, mut on_packet: impl FnMut(Packet)) -> Result<(), CaptureError> {
    let mut source = BufReader::new(source);
    let magic = read_magic(&mut source)?;
    let count = Rc::new(Cell::new(0));
    let inner = io::Cursor::new(magic).chain(source);
    let reader = CountingReader { inner, count: count.clone() };
    match magic {
        [0x0a, 0x0d, 0x0d, 0x0a] => read_pcapng(reader, &count, &mut on_packet),
        [0xa1, 0xb2, 0xc3, 0xd4]
        | [0xd4, 0xc3, 0xb2, 0xa1]
        | [0xa1, 0xb2, 0x3c, 0x4d]
        | [0x4d, 0x3c, 0xb2, 0xa1] => read_pcap(reader, &count, &mut on_packet),
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

fn read_pcap(
    source: impl Read,
    count: &Cell<u64>,
    on_packet: &mut impl FnMut(Packet),
) -> Result<(), CaptureError> {
    let mut reader =
        PcapReader::new(source).map_err(|error| CaptureError::from_pcap_error(error, 0, count.get()))?;
    let link = reader.header().datalink;
    let mut complete = PCAP_FILE_HEADER_BYTES;
    while let Some(packet) = reader.next_packet() {
        let packet = packet.map_err(|error| CaptureError::from_pcap_error(error, complete, count.get()))?;
        complete += PCAP_PACKET_HEADER_BYTES + packet.data.len() as u64;
        on_packet(Packet { captured_at: packet.timestamp, link, bytes: packet.data.into_owned() });
    }
    // Bytes after the last complete packet belong to a truncated packet.
    let read = count.get();
    if read > complete { Err(CaptureError::Truncated { complete, read }) } else { Ok(()) }
}

/// A packet of a pcapng file. The link type is a property of its interface.
struct PcapngPacket {
    interface: usize,
    captured_at: Duration,
    bytes: Vec<u8>,
}

impl PcapngPacket {
    /// Returns the packet of a block, if it contains one.
    fn from_block(block: Block<'_>) -> Option<PcapngPacket> {
        match block {
            Block::EnhancedPacket(packet) => Some(PcapngPacket {
                interface: packet.interface_id as usize,
                captured_at: packet.timestamp,
                bytes: packet.data.into_owned(),
            }),
            Block::SimplePacket(packet) => Some(PcapngPacket {
                interface: 0,
                captured_at: Duration::ZERO,
                bytes: packet.data.into_owned(),
            }),
            _ => None,
        }
    }
}

fn read_pcapng(
    source: impl Read,
    count: &Cell<u64>,
    on_packet: &mut impl FnMut(Packet),
) -> Result<(), CaptureError> {
    let mut reader =
        PcapNgReader::new(source).map_err(|error| CaptureError::from_pcap_error(error, 0, count.get()))?;
    let mut blocks = 0u64;
    loop {
        let links: Vec<DataLink> = reader.interfaces().iter().map(|interface| interface.linktype).collect();
        let Some(block) = reader.next_block() else { return Ok(()) };
        let packet = block.map(PcapngPacket::from_block).map_err(|error| {
            let source = Box::new(CaptureError::from_pcap_error(error, 0, count.get()));
            CaptureError::Block { blocks, source }
        })?;
        blocks += 1;
        if let Some(PcapngPacket { interface, captured_at, bytes }) = packet {
            let unknown_interface = CaptureError::UnknownInterface { block: blocks, interface };
            let link = links.get(interface).copied().ok_or(unknown_interface)?;
            on_packet(Packet { captured_at, link, bytes });
        }
    }
}
