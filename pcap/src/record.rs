//! Records served conversations to a capture file that common tools can open. Recording never delays a
//! conversation: data that arrives faster than it can be written to disk is omitted, and recording ends when
//! the file reaches its capacity.
use crate::packet_writer::{PacketWriter, Side, WriteError};
use crossbeam_channel::{Receiver, Sender, bounded};
use mysql_wire::tap::Tap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Maximum number of events in the queue of the writer thread.
const MAX_QUEUED_EVENTS: usize = 1024;
const THREAD_NAME: &str = "record";
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Error for a recording that could not be started.
#[derive(Debug, Error)]
#[error("record: cannot write {}: {source}; check that its folder exists and is writable", .path.display())]
pub struct RecordError {
    /// Path of the capture file.
    path: PathBuf,
    source: WriteError,
}

/// An event on a client connection.
enum Event {
    Bytes { connection: u64, client: SocketAddr, sender: Side, captured_at: Duration, bytes: Vec<u8> },
    Closed { connection: u64, captured_at: Duration },
}

/// Sends the traffic of connections to the writer thread.
pub struct Recorder {
    sender: Sender<Event>,
}

impl Recorder {
    /// Creates a capture file of at most `capacity` bytes and starts the writer thread. `server` is the
    /// address of the front in the recorded packets. The thread ends when the recorder is dropped.
    ///
    /// # Errors
    /// The file could not be created, or the thread could not be started.
    pub fn start(path: &Path, capacity: u64, server: SocketAddr) -> Result<Recorder, RecordError> {
        let to_error = |source| RecordError { path: path.into(), source };
        let writer = PacketWriter::create(path, capacity, server).map_err(to_error)?;
        let (sender, receiver) = bounded(MAX_QUEUED_EVENTS);
        std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || write_events(writer, &receiver))
            .map_err(|error| to_error(error.into()))?;
        Ok(Recorder { sender })
    }
}

fn unix_time_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Tap for Recorder {
    fn on_bytes(&self, connection: u64, client: SocketAddr, from_client: bool, bytes: &[u8]) {
        let sender = if from_client { Side::Client } else { Side::Server };
        let event =
            Event::Bytes { connection, client, sender, captured_at: unix_time_now(), bytes: bytes.to_vec() };
        // If the queue is full, the conversation ends in the recording, so that a reader can detect the gap.
        if self.sender.try_send(event).is_err() {
            self.on_closed(connection);
        }
    }

    fn on_closed(&self, connection: u64) {
        _ = self.sender.try_send(Event::Closed { connection, captured_at: unix_time_now() });
    }
}

/// Writes events until the recorder is dropped or a write fails.
fn write_events(mut writer: PacketWriter, events: &Receiver<Event>) {
    for event in events {
        let written = match event {
            Event::Bytes { connection, client, sender, captured_at, bytes } => {
                writer.write_bytes(connection, client, sender, captured_at, &bytes)
            }
            Event::Closed { connection, captured_at } => writer.end_conversation(connection, captured_at),
        };
        if let Err(error) = written {
            tracing::error!(%error, "recording write failed, nothing more is recorded");
            return;
        }
    }
}
