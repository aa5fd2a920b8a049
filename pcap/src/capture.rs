//! Packets of a capture file. What can't be read ends in a message with the place in the file.
use pcap_file::pcap::PcapReader;
use pcap_file::pcapng::{Block, PcapNgReader};
use pcap_file::{DataLink, PcapError};
use std::cell::Cell;
use std::io::{self, BufReader, Read};
use std::rc::Rc;
use std::time::Duration;

/// A packet as it was captured.
pub struct Packet {
    /// When, as Unix time.
    pub at: Duration,
    /// What kind of link it was captured on.
    pub link: DataLink,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Counts what has been read.
struct Counted<R> {
    from: R,
    count: Rc<Cell<u64>>,
}

impl<R: Read> Read for Counted<R> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let n = self.from.read(to)?;
        self.count.set(self.count.get() + n as u64);
        Ok(n)
    }
}

fn message(error: &PcapError, whole: u64, read: u64) -> String {
    let what = match error {
        PcapError::IncompleteBuffer => "the file is cut off within a packet".to_string(),
        PcapError::IoError(e) if e.kind() == io::ErrorKind::UnexpectedEof => {
            "the file is cut off within a packet".to_string()
        }
        other => other.to_string(),
    };
    format!("behind offset {whole} (read up to {read}): {what}")
}

/// Hands each packet of a file to `take`, in order. An error comes behind the packets before it.
pub fn packets(from: impl Read, mut take: impl FnMut(Packet)) -> Result<(), String> {
    let mut from = BufReader::new(from);
    let mut magic = [0; 4];
    let mut got = 0;
    while got < 4 {
        match from.read(&mut magic[got..]).map_err(|e| format!("offset {got}: {e}"))? {
            0 => return Err(format!("offset {got}: the file ends within its first four bytes")),
            n => got += n,
        }
    }
    let count = Rc::new(Cell::new(0));
    let all = Counted { from: io::Cursor::new(magic).chain(from), count: count.clone() };
    match magic {
        [0x0a, 0x0d, 0x0d, 0x0a] => ng(all, &count, &mut take),
        [0xa1, 0xb2, 0xc3, 0xd4]
        | [0xd4, 0xc3, 0xb2, 0xa1]
        | [0xa1, 0xb2, 0x3c, 0x4d]
        | [0x4d, 0x3c, 0xb2, 0xa1] => classic(all, &count, &mut take),
        _ => Err("offset 0: this is no capture file: it begins with none of their marks".to_string()),
    }
}

fn classic(from: impl Read, count: &Cell<u64>, take: &mut impl FnMut(Packet)) -> Result<(), String> {
    let mut reader = PcapReader::new(from).map_err(|e| message(&e, 0, count.get()))?;
    let (link, mut whole) = (reader.header().datalink, 24);
    while let Some(next) = reader.next_packet() {
        let p = next.map_err(|e| message(&e, whole, count.get()))?;
        whole += 16 + p.data.len() as u64;
        take(Packet { at: p.timestamp, link, bytes: p.data.into_owned() });
    }
    ended(whole, count.get())
}

/// Bytes behind the last whole packet are a packet that was cut off.
fn ended(whole: u64, read: u64) -> Result<(), String> {
    if read > whole {
        return Err(format!(
            "behind offset {whole} (read up to {read}): the file is cut off within a packet"
        ));
    }
    Ok(())
}

fn ng(from: impl Read, count: &Cell<u64>, take: &mut impl FnMut(Packet)) -> Result<(), String> {
    let mut reader = PcapNgReader::new(from).map_err(|e| message(&e, 0, count.get()))?;
    let mut blocks = 0u64;
    loop {
        let links: Vec<DataLink> = reader.interfaces().iter().map(|i| i.linktype).collect();
        let at = |e: &PcapError| format!("behind block {blocks}, {}", message(e, 0, count.get()));
        let packet = match reader.next_block() {
            None => return Ok(()),
            Some(Err(e)) => return Err(at(&e)),
            Some(Ok(Block::EnhancedPacket(p))) => {
                Some((p.interface_id as usize, p.timestamp, p.data.into_owned()))
            }
            Some(Ok(Block::SimplePacket(p))) => Some((0, Duration::ZERO, p.data.into_owned())),
            Some(Ok(_)) => None,
        };
        blocks += 1;
        if let Some((interface, at, bytes)) = packet {
            let link = links.get(interface).copied();
            let link =
                link.ok_or_else(|| format!("block {blocks}: it names the unknown interface {interface}"))?;
            take(Packet { at, link, bytes });
        }
    }
}
