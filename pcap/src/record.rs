//! A recording of served conversations, as a capture file that the usual tools open. It never delays a conversation:
//! what comes faster than the disk is left out, and the file ends at its capacity.
use crate::packet_writer::{PacketWriter, Side, WriteError};
use crossbeam_channel::{Receiver, Sender, bounded};
use mysql_wire::tap::Tap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Events that wait for the file's thread.
const MAX_WAITING_EVENTS: usize = 1024;
const THREAD_NAME: &str = "record";
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Why a recording could not be started.
#[derive(Debug, Error)]
#[error("record: {}: {source}; see that its folder exists and is this user's", .path.display())]
pub struct RecordError {
    /// The file.
    path: PathBuf,
    source: WriteError,
}

/// What happened on a connection.
enum Event {
    Bytes { connection: u64, client: SocketAddr, sender: Side, captured_at: Duration, bytes: Vec<u8> },
    Ended { connection: u64, captured_at: Duration },
}

/// Passes conversations on to the file's thread.
pub struct Recorder {
    sender: Sender<Event>,
}

impl Recorder {
    /// Starts a file of at most `capacity` bytes for conversations with the front at `server`, and its thread. The
    /// thread ends when the recorder is dropped.
    ///
    /// # Errors
    /// The file can't be created, or the thread can't be started.
    pub fn start(path: &Path, capacity: u64, server: SocketAddr) -> Result<Recorder, RecordError> {
        let failed = |source| RecordError { path: path.into(), source };
        let writer = PacketWriter::create(path, capacity, server).map_err(failed)?;
        let (sender, receiver) = bounded(MAX_WAITING_EVENTS);
        std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || write_events(writer, &receiver))
            .map_err(|error| failed(error.into()))?;
        Ok(Recorder { sender })
    }
}

fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Tap for Recorder {
    fn bytes(&self, connection: u64, client: SocketAddr, from_client: bool, bytes: &[u8]) {
        let sender = if from_client { Side::Client } else { Side::Server };
        let event = Event::Bytes { connection, client, sender, captured_at: now(), bytes: bytes.to_vec() };
        // A full channel leaves a gap that a reader notices: the conversation ends there in the file.
        if self.sender.try_send(event).is_err() {
            self.ended(connection);
        }
    }

    fn ended(&self, connection: u64) {
        _ = self.sender.try_send(Event::Ended { connection, captured_at: now() });
    }
}

/// Writes events until the recorder is dropped or the disk refuses a write.
fn write_events(mut writer: PacketWriter, events: &Receiver<Event>) {
    for event in events {
        let written = match event {
            Event::Bytes { connection, client, sender, captured_at, bytes } => {
                writer.write_bytes(connection, client, sender, captured_at, &bytes)
            }
            Event::Ended { connection, captured_at } => writer.end_conversation(connection, captured_at),
        };
        if let Err(error) = written {
            tracing::error!(%error, "recording stopped");
            return;
        }
    }
}
