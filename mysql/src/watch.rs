//! Asks the servers for their clocks, at the start and now and then: sessions have to know how far these are from the
//! router's also while no request makes the module probe.
use crate::link::Mysql;
use routing::Outcome;
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, Exchange};
use settings::Limits;
use std::io;
use std::net::SocketAddr;

/// Starts the thread that asks whichever servers there are each time.
pub fn start(
    wire: Mysql,
    servers: impl Fn() -> Vec<SocketAddr> + Send + 'static,
    limits: &Limits,
) -> io::Result<()> {
    let (pause, retry) = (limits.clock_poll_interval, limits.clock_poll_retry_delay);
    routing::spawn_needed("clocks", limits.socket_thread_stack_bytes, move || {
        loop {
            // A server that can't be asked leaves the others' clocks, and is asked again soon.
            let servers = servers();
            let all = !servers.is_empty() && servers.iter().filter(|addr| !asked(&wire, **addr)).count() == 0;
            std::thread::sleep(if all { pause } else { retry });
        }
    })
}

fn asked(wire: &Mysql, addr: SocketAddr) -> bool {
    let guard = AttemptGuard::default();
    let Ok(permit) = guard.permit_connection() else { return false };
    let Ok(mut link) = wire.connect(addr, permit) else { return false };
    link.execute(Exchange::Probe, &guard).is_ok_and(|r| r.outcome == Outcome::Ok)
}
