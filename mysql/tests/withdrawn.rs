//! What a server gets of an execution that was withdrawn, over real loopback sockets.
use mysql_wire::command;
use mysql_wire::link::{Mysql, MysqlLink, Payload};
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

const PATIENCE: Duration = Duration::from_secs(20);

/// A link to a server that answers everything it should, and what that hears.
fn link() -> (MysqlLink, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (heard, hears) = channel();
    std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        greet(&socket).unwrap();
        while let Ok(payload) = read(&socket) {
            let answer: &[u8] = match payload[0] {
                // The statement 1, without columns and with no parameters that are described.
                command::STMT_PREPARE => &[0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
                command::STMT_EXECUTE => OK,
                _ => &[],
            };
            heard.send(payload).unwrap();
            if !answer.is_empty() {
                socket.write_all(&packets(1, &[answer])).unwrap();
            }
        }
    });
    let operator = operator::read(include_str!("../../deploy/mysql.toml")).unwrap();
    let wire = Mysql::new(Arc::new(operator.mysql), Arc::new(operator.limits), Clock::new());
    (wire.connect(addr, permit()).ok().unwrap(), hears)
}

fn execution(long: &[u8]) -> Payload {
    Payload::Execute {
        text: Arc::from(&b"SELECT 1"[..]),
        body: b"x".to_vec(),
        long: BTreeMap::from([(0, long.to_vec())]),
    }
}

fn carry(link: &mut MysqlLink, long: &[u8], stop: &AttemptGuard) -> Result<Outcome, NotSent> {
    let payload = execution(long);
    link.execute(Exchange::Attempt(&payload, Instant::now() + PATIENCE), stop).map(|reply| reply.outcome)
}

fn withdrawn() -> AttemptGuard {
    let stop = AttemptGuard::default();
    stop.cancel_if_unstarted(Denial::ClientDisconnected);
    stop
}

#[test]
fn a_withdrawn_execution_leaves_no_long_parameters_to_the_next_on_its_link() {
    let (mut link, hears) = link();
    assert_eq!(carry(&mut link, b"first", &AttemptGuard::default()), Ok(Outcome::Ok));
    assert_eq!(carry(&mut link, b"withdrawn", &withdrawn()), Err(NotSent::Cancelled));
    assert_eq!(carry(&mut link, b"third", &AttemptGuard::default()), Ok(Outcome::Ok));
    drop(link);
    let long = |c: &Vec<u8>| c[0] == command::STMT_SEND_LONG_DATA;
    let sent: Vec<Vec<u8>> = hears.into_iter().filter(long).map(|c| c[7..].to_vec()).collect();
    assert_eq!(sent, [b"first", b"third"]);
}

#[test]
fn nothing_is_prepared_for_a_withdrawn_execution() {
    let (mut link, hears) = link();
    assert_eq!(carry(&mut link, b"withdrawn", &withdrawn()), Err(NotSent::Cancelled));
    drop(link);
    assert_eq!(hears.into_iter().count(), 0);
}

/// A permit to open a connection.
fn permit() -> ConnectionPermit {
    AttemptGuard::default().permit_connection().unwrap()
}
