//! The wire between instances: frames of a length and a body (postcard) over TCP on loopback.
//!
//! An instance that has commits to bring connects and says [`Frame::Hello`]; the other answers with
//! [`Frame::Welcome`] or [`Frame::Refused`]. From then on pushes go one way; confirmations and asks the other way.
use crate::machine::{Instance, Push, Why};
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};

/// Version of the protocol; both sides must speak the same.
pub const VERSION: u16 = 1;

/// What goes over a connection between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of whoever connects.
    Hello {
        /// [`VERSION`].
        version: u16,
        /// The cluster's name.
        cluster: String,
        /// Who connects.
        from: Instance,
        /// Its start.
        incarnation: u64,
        /// Whom it looks for.
        to: Instance,
    },
    /// Its commits are taken.
    Welcome {
        /// Of which start some are held.
        incarnation: u64,
        /// Up to which.
        holds: u64,
    },
    /// They are not.
    Refused(Why),
    /// What it brings.
    Push(Push),
    /// Commits up to this one are held.
    Confirm(u64),
    /// A lease is wanted, by the asker's clock.
    Ask(i64),
    /// Someone wants to look: the first and only frame of a connection.
    Show,
    /// What there is to see, as JSON.
    Shown(String),
}

/// Adds a frame to what goes out.
pub fn push(to: &mut Vec<u8>, frame: &Frame) -> io::Result<()> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    to.extend_from_slice(&(body.len() as u32).to_le_bytes());
    to.extend_from_slice(&body);
    Ok(())
}

/// Writes one frame.
pub fn write(mut to: impl Write, frame: &Frame) -> io::Result<()> {
    let mut bytes = Vec::new();
    push(&mut bytes, frame)?;
    to.write_all(&bytes)
}

/// Reads one frame of at most this many bytes.
pub fn read(mut from: impl Read, most: usize) -> io::Result<Frame> {
    let mut head = [0; 4];
    from.read_exact(&mut head)?;
    let length = u32::from_le_bytes(head) as usize;
    if length > most {
        return Err(io::Error::other(format!("a frame of {length} bytes, {most} at most are taken")));
    }
    // Room is made as bytes come: a length alone must not cost memory.
    let mut body = Vec::new();
    if from.take(length as u64).read_to_end(&mut body)? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&body).map_err(|e| io::Error::other(format!("a frame that can't be read: {e}")))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Key;

    #[test]
    fn frames_come_back_as_they_went_and_long_or_foreign_ones_do_not_pass() {
        let frames = [
            Frame::Hello { version: VERSION, cluster: "orders".into(), from: 1, incarnation: 9, to: 2 },
            Frame::Refused(Why::Older { newest: 3 }),
            Frame::Push(Push::Commits { first: 4, entries: vec![(Key(u64::MAX), i64::MAX)] }),
            Frame::Ask(-1),
        ];
        let mut bytes = Vec::new();
        frames.iter().for_each(|f| push(&mut bytes, f).unwrap());
        let mut rest = &bytes[..];
        for f in &frames {
            assert_eq!(read(&mut rest, 1000).unwrap(), *f);
        }
        assert_eq!(read(&mut rest, 1000).unwrap_err().kind(), io::ErrorKind::UnexpectedEof);
        assert!(read(&b"\xff\xff\xff\xff"[..], 1000).is_err());
        assert!(read(&b"\x01\0\0\0\xee"[..], 1000).is_err());
        assert!(read(&bytes[..bytes.len() - 1], 1000).is_ok());
    }
}
