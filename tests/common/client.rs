//! A client of the platform's `PostgreSQL` front, and the statements that it sends.
use super::TIMEOUT;
use super::wire::{message, read_message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A client connection after its startup.
pub(crate) struct Client(pub(crate) TcpStream);

#[derive(Debug, PartialEq)]
pub(crate) enum Response {
    Row(String),
    /// SQLSTATE code, and the detail field (`D`).
    Error(String, Option<String>),
    Empty,
}

impl Client {
    pub(crate) fn connect(addr: SocketAddr) -> Client {
        let socket = TcpStream::connect(addr).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
        let startup = [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat();
        (&socket).write_all(&startup).unwrap();
        while read_message(&socket).unwrap().0 != b'Z' {}
        Client(socket)
    }

    pub(crate) fn send(&self, sql: &str) {
        (&self.0).write_all(&message(b'Q', format!("{sql}\0").as_bytes())).unwrap();
    }

    pub(crate) fn response(&self) -> Response {
        let mut response = Response::Empty;
        loop {
            let (tag, body) = read_message(&self.0).expect("no response");
            match tag {
                b'D' => response = Response::Row(String::from_utf8(body[6..].to_vec()).unwrap()),
                b'E' => {
                    let text = String::from_utf8(body).unwrap();
                    let field =
                        |f: char| text.split('\0').find_map(|p| p.strip_prefix(f)).map(str::to_string);
                    response = Response::Error(field('C').unwrap(), field('D'));
                }
                b'Z' => return response,
                _ => {}
            }
        }
    }

    /// Repeats the query until the named instance has served it: the instance may be ejected or not yet
    /// probed.
    pub(crate) fn query_until_served_by(&self, sql: &str, by: &str) {
        let started_at = Instant::now();
        loop {
            let response = self.query(sql);
            if response == served(by) {
                return;
            }
            assert!(started_at.elapsed() < TIMEOUT, "{response:?}");
        }
    }

    pub(crate) fn query(&self, sql: &str) -> Response {
        self.send(sql);
        self.response()
    }
}

pub(crate) fn select(id: &str, deadline_ms: u32) -> String {
    format!("SELECT body FROM objects WHERE oid = 'k1' /* id={id},c=read,d={deadline_ms},cluster=3 */")
}

pub(crate) fn insert(id: &str, deadline_ms: u32) -> String {
    format!(
        "INSERT INTO objects (oid, body) VALUES ('k1', '\\x9f') RETURNING body /* id={id},c=order,d={deadline_ms},cluster=3 */"
    )
}

pub(crate) fn served(by: &str) -> Response {
    Response::Row(by.to_string())
}
