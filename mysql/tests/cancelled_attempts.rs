//! Checks which commands a server receives if an attempt is cancelled before its execution. The tests use
//! loopback sockets.
use client_listener::memory::{ClientMemory, MemoryPool};
use mysql_wire::backend::{Mysql, MysqlConnection};
use mysql_wire::command;
use mysql_wire::request::{AccountedRequest, Request};
use routing::Denial;
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, ConnectionPermit, Exchange, NotSent};
use routing::{Clock, Outcome};
use settings::operator;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use test_servers::wire::{OK, greet, packets, read};

/// Timeout of an attempt; longer than any test takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Opens a connection to a server that responds to each command. The channel yields the commands that the
/// server receives.
fn connect() -> (MysqlConnection, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, received) = channel();
    std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        greet(&socket).unwrap();
        while let Ok(payload) = read(&socket) {
            let response: &[u8] = match payload[0] {
                // Response to a prepare: statement ID 1 without columns and without parameter definitions.
                command::STMT_PREPARE => &[0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
                command::STMT_EXECUTE => OK,
                _ => &[],
            };
            sender.send(payload).unwrap();
            if !response.is_empty() {
                socket.write_all(&packets(1, &[response])).unwrap();
            }
        }
    });
    let operator = operator::read(include_str!("../../deploy/mysql.toml")).unwrap();
    let protocol = Mysql::new(Arc::new(operator.mysql), Arc::new(operator.limits), Clock::new());
    (protocol.connect(addr, connection_permit()).ok().unwrap(), received)
}

fn execution(long_parameter: &[u8]) -> Request {
    Request::Execute {
        text: Arc::from(&b"SELECT 1"[..]),
        body: b"x".to_vec(),
        long_parameters: BTreeMap::from([(0, long_parameter.to_vec())]),
    }
}

fn execute(
    connection: &mut MysqlConnection,
    long_parameter: &[u8],
    guard: &AttemptGuard,
) -> Result<Outcome, NotSent> {
    let request = execution(long_parameter);
    let memory = ClientMemory::new(&MemoryPool::new(1 << 20));
    let request = AccountedRequest { request, memory };
    let attempt = Exchange::Attempt(&request, Instant::now() + TIMEOUT);
    connection.execute(attempt, guard).map(|result| result.outcome)
}

fn cancelled_guard() -> AttemptGuard {
    let guard = AttemptGuard::default();
    guard.cancel_if_unstarted(Denial::ClientDisconnected);
    guard
}

#[test]
fn cancelled_execution_sends_no_long_parameters() {
    let (mut connection, received) = connect();
    assert_eq!(execute(&mut connection, b"first", &AttemptGuard::default()), Ok(Outcome::Ok));
    assert_eq!(execute(&mut connection, b"cancelled", &cancelled_guard()), Err(NotSent::Cancelled));
    assert_eq!(execute(&mut connection, b"third", &AttemptGuard::default()), Ok(Outcome::Ok));
    drop(connection);
    let is_long_data = |command: &Vec<u8>| command[0] == command::STMT_SEND_LONG_DATA;
    // Skips the command code, the statement ID and the parameter index.
    let sent: Vec<Vec<u8>> =
        received.into_iter().filter(is_long_data).map(|command| command[7..].to_vec()).collect();
    assert_eq!(sent, [b"first", b"third"]);
}

#[test]
fn cancelled_execution_sends_no_prepare_command() {
    let (mut connection, received) = connect();
    assert_eq!(execute(&mut connection, b"cancelled", &cancelled_guard()), Err(NotSent::Cancelled));
    drop(connection);
    assert_eq!(received.into_iter().count(), 0);
}

fn connection_permit() -> ConnectionPermit {
    AttemptGuard::default().permit_connection().unwrap()
}
