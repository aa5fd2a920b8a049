//! Watches the list of servers: one HTTP request whose chunked answer stays open and carries a line of JSON for
//! each change. A watch that breaks or falls silent is opened anew where it ended.
mod body;
pub mod entries;

use body::Body;
use routing::{ListHandle, spawn};
use settings::Limits;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Starts the watch. News goes to the list's actor, which holds the version to resume at.
pub fn watch(addr: SocketAddr, zones: Vec<String>, limits: Arc<Limits>, list: ListHandle) -> io::Result<()> {
    spawn("discovery", limits.stack_bytes, move || {
        let mut reader = entries::Reader::new(zones);
        let mut pause = limits.watch_retry.0;
        loop {
            let mut heard = false;
            let ended = follow(addr, &mut reader, &limits, &list, &mut heard);
            if heard {
                pause = limits.watch_retry.0;
            }
            match ended {
                Ok(false) => return,
                Ok(true) => eprintln!("discovery: the watch ended"),
                Err(e) => eprintln!("discovery: the watch broke: {e}"),
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(limits.watch_retry.1);
        }
    })
}

/// Follows one watch to its end; `Ok(false)` when nobody takes the news any more.
fn follow(
    addr: SocketAddr,
    reader: &mut entries::Reader,
    limits: &Limits,
    list: &ListHandle,
    heard: &mut bool,
) -> io::Result<bool> {
    let mut socket = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(limits.watch_silent))?;
    let version = list.version();
    write!(socket, "GET /v1/servers?stream=1&index={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n")?;
    let mut body = Body::open(socket, limits.list_bytes)?;
    let mut line = Vec::new();
    while body.line(&mut line)? {
        *heard = true;
        if line.trim_ascii().is_empty() {
            continue;
        }
        let news = reader.read(&line).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        if !list.tell(news) {
            return Ok(false);
        }
    }
    Ok(true)
}
