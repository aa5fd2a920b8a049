//! Measures the offsets of the servers' clocks at startup and then periodically. Sessions need these offsets
//! even if the routing core sends no probes because there are no requests.
use crate::backend::Mysql;
use routing::Outcome;
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, Exchange};
use settings::Limits;
use std::io;
use std::net::SocketAddr;

/// Starts the sampling thread. Each round samples the servers that `servers` returns at that time.
///
/// # Errors
/// The thread could not be started.
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

/// Samples the clock of each server, also after the sample of another server has failed. Returns `false` if
/// there are no servers or a sample failed.
fn sample_all(protocol: &Mysql, servers: &[SocketAddr]) -> bool {
    let failures = servers.iter().filter(|addr| !sample(protocol, **addr)).count();
    !servers.is_empty() && failures == 0
}

/// Sends a probe. Reading its response updates the clock offsets that the connection shares with the
/// protocol.
fn sample(protocol: &Mysql, addr: SocketAddr) -> bool {
    let guard = AttemptGuard::default();
    let Ok(permit) = guard.permit_connection() else { return false };
    let Ok(mut connection) = protocol.connect(addr, permit) else { return false };
    connection.execute(Exchange::Probe, &guard).is_ok_and(|result| result.outcome == Outcome::Ok)
}
