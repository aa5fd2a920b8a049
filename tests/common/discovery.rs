//! The platform's discovery service, played by the test.
use super::TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// Discovery: each watch gets the lines that the test sends, from the first on.
pub(crate) struct Discovery {
    pub(crate) addr: SocketAddr,
    /// The index that each watch asked for, with the sender of its lines; dropping that ends the watch.
    pub(crate) watches: Receiver<(String, Sender<String>)>,
}

impl Discovery {
    pub(crate) fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (to, watches) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let mut socket = socket.unwrap();
                let mut line = String::new();
                let mut reader = BufReader::new(socket.try_clone().unwrap());
                _ = reader.read_line(&mut line);
                let index = line.split("index=").nth(1).and_then(|r| r.split(' ').next()).unwrap_or("");
                let (lines, pushed) = channel::<String>();
                _ = to.send((index.to_string(), lines));
                std::thread::spawn(move || {
                    _ = socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let mut next = Ok(String::new());
                    loop {
                        // Nothing new is said by an empty line, at first and then each 2 s.
                        let l = match next {
                            Ok(l) => l,
                            Err(RecvTimeoutError::Timeout) => String::new(),
                            Err(RecvTimeoutError::Disconnected) => break,
                        };
                        let chunk = format!("{:x}\r\n{l}\n\r\n", l.len() + 1);
                        if socket.write_all(chunk.as_bytes()).is_err() {
                            return;
                        }
                        next = pushed.recv_timeout(Duration::from_secs(2));
                    }
                    _ = socket.write_all(b"0\r\n\r\n");
                });
            }
        });
        Discovery { addr, watches }
    }

    pub(crate) fn next_watch(&self) -> (String, Sender<String>) {
        self.watches.recv_timeout(TIMEOUT).expect("a watch")
    }
}
