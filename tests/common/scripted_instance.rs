//! A stand-in database instance whose behavior the test sets.
use super::wire::{message, read_bytes, read_message, row_response};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// How an instance responds to a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Behavior {
    Serve,
    Error(&'static str),
    /// Closes the connection after the complete request has been received.
    Reset,
    /// Closes the connection in the middle of the response's row.
    TruncatedRow,
    Silent,
    /// Sends the malformed response with this index in [`malformed_responses`].
    Malformed(usize),
    /// Sends a valid response followed by a second one.
    ExtraResponse,
}

/// Malformed or incomplete responses. The router must not forward any of them as a served request.
pub(crate) fn malformed_responses() -> Vec<Vec<u8>> {
    let complete = row_response("a");
    let (columns, value) = (&complete[..complete.len() - 26], message(b'D', b"\0\x01\0\0\0\x01a"));
    vec![
        b"\x15\x07 noise that is no message at all, and some more of it".to_vec(),
        [columns, b"D\xbb\0\0\0\0\x01\xba\xff\xff\xf6".as_slice(), &vec![b'a'; 1 << 20]].concat(),
        [columns, message(b'D', b"\0\x01\0\0\0\x05a").as_slice()].concat(),
        [columns, message(b'D', b"\0\x02\0\0\0\x01a\0\0\0\x01b").as_slice()].concat(),
        [columns, value.as_slice(), value.as_slice(), message(b'C', b"SELECT 2\0").as_slice()].concat(),
        [value.as_slice(), message(b'C', b"SELECT 1\0").as_slice()].concat(),
        [columns, value.as_slice(), message(b'C', b"").as_slice()].concat(),
        [columns, message(b'E', b"C53300\0\0").as_slice()].concat(),
        message(b'E', b"C53300"),
        message(b'Z', b"I"),
        message(b'S', b"mode\0read-write\0more\0"),
        message(b'S', &[b'x'; 1 << 20]),
    ]
}

/// A stand-in instance. `executed` lists the statements that it received completely, in order.
#[derive(Clone)]
pub(crate) struct ScriptedInstance {
    pub(crate) addr: SocketAddr,
    pub(crate) name: &'static str,
    pub(crate) behavior: Arc<Mutex<Behavior>>,
    pub(crate) executed: Arc<Mutex<Vec<String>>>,
    /// Passes each received statement to the test.
    pub(crate) executed_sender: Sender<String>,
    pub(crate) connections: Arc<AtomicU32>,
    /// Number of probes received.
    pub(crate) probes: Arc<AtomicU32>,
    /// Replication lag that the instance reports to probes, in milliseconds.
    pub(crate) lag_ms: Arc<AtomicU32>,
    /// Whether to close each connection after one response.
    pub(crate) closes_after_response: Arc<AtomicBool>,
    pub(crate) primary: bool,
}

impl ScriptedInstance {
    pub(crate) fn start(name: &'static str, primary: bool) -> (ScriptedInstance, Receiver<String>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (executed_sender, executed) = channel();
        let instance = ScriptedInstance {
            addr: listener.local_addr().unwrap(),
            name,
            behavior: Arc::new(Mutex::new(Behavior::Serve)),
            executed: Arc::default(),
            executed_sender,
            connections: Arc::default(),
            probes: Arc::default(),
            lag_ms: Arc::default(),
            closes_after_response: Arc::default(),
            primary,
        };
        let instance_handle = instance.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                instance_handle.connections.fetch_add(1, Ordering::SeqCst);
                let (instance_handle, socket) = (instance_handle.clone(), socket.unwrap());
                std::thread::spawn(move || instance_handle.serve_connection(&socket));
            }
        });
        (instance, executed)
    }

    pub(crate) fn entry(&self, state: &str) -> Value {
        json!({"id": self.name, "addr": self.addr.to_string(), "zone": "a", "kind": "k", "cell": 3,
            "state": state, "weight": 1.0, "started_ms": 0,
            "mode": if self.primary { "read-write" } else { "read-only" }})
    }

    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    pub(crate) fn executions_of(&self, id: &str) -> usize {
        self.executed.lock().unwrap().iter().filter(|s| s.contains(&format!("id={id},"))).count()
    }

    pub(crate) fn serve_connection(&self, socket: &TcpStream) -> Option<()> {
        let length = read_bytes(socket, 4).ok()?;
        read_bytes(socket, u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize - 4)
            .ok()?;
        let ready = message(b'Z', b"I");
        let mut stream = socket;
        stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
        loop {
            let (_, body) = read_message(socket).ok()?;
            let sql = String::from_utf8(body).unwrap();
            let sql = sql.trim_end_matches('\0');
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
            let mode: &[u8] = if self.primary { b"mode\0read-write\0" } else { b"mode\0read-only\0" };
            let parameter_statuses =
                [message(b'S', mode), message(b'S', format!("wal_time\0{now}\0").as_bytes())].concat();
            if sql == "SHOW stats" {
                self.probes.fetch_add(1, Ordering::SeqCst);
                let position = (now - u128::from(self.lag_ms.load(Ordering::SeqCst))) as f64 / 1000.0;
                let stats = format!("x0={position},x1={},util=0.1,queue=0", u8::from(self.primary));
                stream.write_all(&[row_response(&stats), ready.clone()].concat()).ok()?;
                continue;
            }
            self.executed.lock().unwrap().push(sql.to_string());
            let mut behavior = *self.behavior.lock().unwrap();
            if behavior == Behavior::Serve && !self.primary && sql.starts_with("INSERT") {
                behavior = Behavior::Error("25006");
            }
            _ = self.executed_sender.send(sql.to_string());
            let response = match behavior {
                Behavior::Serve => row_response(self.name),
                Behavior::Error(code) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
                Behavior::Reset => return None,
                Behavior::TruncatedRow => {
                    let complete = row_response("a value that will not arrive whole");
                    stream.write_all(&complete[..complete.len() - 30]).ok()?;
                    return None;
                }
                Behavior::Silent => continue,
                Behavior::Malformed(n) => {
                    // The connection stays open and nothing more is sent, so a router that waits for more
                    // would wait forever.
                    _ = stream.write_all(&malformed_responses()[n]);
                    continue;
                }
                Behavior::ExtraResponse => row_response(&format!("{} for {sql}", self.name)),
            };
            let extra_response = [row_response("nobody's"), ready.clone()].concat();
            let extra_response = if behavior == Behavior::ExtraResponse { &extra_response[..] } else { &[] };
            stream
                .write_all(&[response, parameter_statuses, ready.clone(), extra_response.to_vec()].concat())
                .ok()?;
            if self.closes_after_response.load(Ordering::SeqCst) {
                _ = socket.shutdown(Shutdown::Both);
                _ = self.executed_sender.send("closed".to_string());
                return None;
            }
        }
    }
}
