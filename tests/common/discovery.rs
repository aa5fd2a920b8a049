//! A stand-in for the platform's discovery service.
use super::TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// A discovery service that accepts watches and sends the lines that the test passes to each watch.
pub(crate) struct Discovery {
    pub(crate) addr: SocketAddr,
    /// For each watch, the index that it requested and the sender of its lines. Dropping the sender ends the
    /// watch.
    pub(crate) watches: Receiver<(String, Sender<String>)>,
}

impl Discovery {
    pub(crate) fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (watch_sender, watches) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let mut socket = socket.unwrap();
                let mut request_line = String::new();
                let mut reader = BufReader::new(socket.try_clone().unwrap());
                _ = reader.read_line(&mut request_line);
                let index =
                    request_line.split("index=").nth(1).and_then(|r| r.split(' ').next()).unwrap_or("");
                let (lines, line_receiver) = channel::<String>();
                _ = watch_sender.send((index.to_string(), lines));
                std::thread::spawn(move || {
                    _ = socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let mut next = Ok(String::new());
                    loop {
                        // An empty line is a heartbeat: one at the start and one after each 2 s without an
                        // update.
                        let line = match next {
                            Ok(line) => line,
                            Err(RecvTimeoutError::Timeout) => String::new(),
                            Err(RecvTimeoutError::Disconnected) => break,
                        };
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        if socket.write_all(chunk.as_bytes()).is_err() {
                            return;
                        }
                        next = line_receiver.recv_timeout(Duration::from_secs(2));
                    }
                    _ = socket.write_all(b"0\r\n\r\n");
                });
            }
        });
        Discovery { addr, watches }
    }

    pub(crate) fn next_watch(&self) -> (String, Sender<String>) {
        self.watches.recv_timeout(TIMEOUT).expect("no watch within the timeout")
    }
}
