//! Samples the servers' clocks at the start and from time to time: sessions have to know how far these are from the
//! router's also while no request makes the routing core probe.
use crate::backend::Mysql;
use routing::Outcome;
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, Exchange};
use settings::Limits;
use std::io;
use std::net::SocketAddr;

/// Starts the thread. It samples whichever servers there are each time.
///
/// # Errors
/// The system has no thread.
pub fn start(
    protocol: Mysql,
    servers: impl Fn() -> Vec<SocketAddr> + Send + 'static,
    limits: &Limits,
) -> io::Result<()> {
    let (interval, retry_interval) = (limits.clock_poll_interval, limits.clock_poll_retry_delay);
    routing::spawn_needed("clocks", limits.socket_thread_stack_bytes, move || {
        loop {
            let all_sampled = sample_all(&protocol, &servers());
            std::thread::sleep(if all_sampled { interval } else { retry_interval });
        }
    })
}

/// Samples each server; `false` where there is none or any failed. A failure does not keep the others from being
/// sampled.
fn sample_all(protocol: &Mysql, servers: &[SocketAddr]) -> bool {
    let failures = servers.iter().filter(|addr| !sample(protocol, **addr)).count();
    !servers.is_empty() && failures == 0
}

/// The probe's response updates the clocks that the connection shares with its protocol.
fn sample(protocol: &Mysql, addr: SocketAddr) -> bool {
    let guard = AttemptGuard::default();
    let Ok(permit) = guard.permit_connection() else { return false };
    let Ok(mut connection) = protocol.connect(addr, permit) else { return false };
    connection.execute(Exchange::Probe, &guard).is_ok_and(|result| result.outcome == Outcome::Ok)
}
