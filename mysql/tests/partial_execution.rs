//! Errors that mean "nothing ran": which responses prove it. A statement that may have run in part must never count
//! as one that did not run, because it would be sent to another server and run twice.
use client_listener::memory::{ClientMemory, MemoryPool};
use mysql_wire::backend::Mysql;
use mysql_wire::request::{AccountedRequest, Request};
use mysql_wire::results::{MORE_RESULTS, encode_eof};
use routing::protocol::{AttemptGuard, BackendProtocol, Connection, Exchange};
use routing::{Clock, ExchangeResult, Outcome};
use settings::operator;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_servers::wire::{EOF, OK, column, greet, packets, read, text};

const TIMEOUT: Duration = Duration::from_secs(20);
const CALL: &str = "/* c=order-place */ CALL place_order('7')";
const INSERT: &str = "/* c=order-place */ INSERT INTO orders VALUES (7)";
const READ_ONLY: u16 = 1290;
const UNKNOWN_STATEMENT: u16 = 1243;
/// Errors of a server that has not begun the statement, and the outcome that each has as the whole response.
const NOTHING_RAN: [(u16, Outcome); 5] = [
    (READ_ONLY, Outcome::NotEligible),
    (1836, Outcome::NotEligible),
    (1040, Outcome::Rejected),
    (1203, Outcome::Rejected),
    (1226, Outcome::Rejected),
];

fn error(number: u16) -> Vec<u8> {
    [&[0xff][..], &number.to_le_bytes(), b"#HY000no"].concat()
}

/// One complete result with a row, after which another result follows.
fn result_with_more() -> Vec<Vec<u8>> {
    let end = encode_eof(MORE_RESULTS).to_vec();
    vec![vec![1], column("id"), EOF.to_vec(), text("7"), end]
}

/// Starts a server that answers the commands of one connection with these payloads, one list each.
fn start_server(responses: Vec<Vec<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || serve(&listener.accept().unwrap().0, &responses));
    addr
}

fn serve(mut socket: &TcpStream, responses: &[Vec<Vec<u8>>]) {
    greet(socket).unwrap();
    for response in responses {
        read(socket).unwrap();
        let payloads: Vec<&[u8]> = response.iter().map(Vec::as_slice).collect();
        socket.write_all(&packets(1, &payloads)).unwrap();
    }
    // Keeps the connection open until the router closes it.
    _ = read(socket);
}

/// Runs a request at a server that sends these responses.
fn run(request: Request, responses: Vec<Vec<Vec<u8>>>) -> ExchangeResult<Vec<Vec<u8>>> {
    let operator = operator::read(include_str!("../../deploy/mysql.toml")).unwrap();
    let protocol = Mysql::new(Arc::new(operator.mysql), Arc::new(operator.limits), Clock::new());
    let guard = AttemptGuard::default();
    let permit = guard.permit_connection().unwrap();
    let mut connection = protocol.connect(start_server(responses), permit).ok().unwrap();
    let memory = ClientMemory::new(&MemoryPool::new(1 << 20));
    let request = AccountedRequest { request, memory };
    let attempt = Exchange::Attempt(&request, Instant::now() + TIMEOUT);
    connection.execute(attempt, &guard).ok().unwrap().map_response(|response| response.payloads)
}

fn query(statement: &str) -> Request {
    Request::Query(statement.as_bytes().to_vec())
}

fn execution(statement: &str) -> Request {
    let text = statement.as_bytes().into();
    Request::Execute { text, body: vec![0, 1, 0, 0, 0], long_parameters: Default::default() }
}

/// The response to a prepare of a statement without parameters and columns.
fn prepared() -> Vec<Vec<u8>> {
    vec![[&[0][..], &9_u32.to_le_bytes(), &[0; 7]].concat()]
}

/// Guards against an order that is placed by CALL and runs twice, because its primary hands over between two of its
/// statements and answers with an error that usually means that nothing ran.
#[test]
fn error_behind_a_result_means_that_the_statement_may_have_run() {
    for (number, _) in NOTHING_RAN {
        for statement in [CALL, INSERT] {
            let partial = [result_with_more(), vec![error(number)]].concat();
            assert_eq!(run(query(statement), vec![partial.clone()]).outcome, Outcome::Error, "{number}");
            let executed = run(execution(statement), vec![prepared(), partial]);
            assert_eq!(executed.outcome, Outcome::Error, "{number}");
            let after_ok = vec![[&OK[..3], &[MORE_RESULTS as u8], &OK[4..]].concat(), error(number)];
            assert_eq!(run(query(statement), vec![after_ok]).outcome, Outcome::Error, "{number}");
            let in_rows = vec![vec![1], column("id"), EOF.to_vec(), text("7"), error(number)];
            assert_eq!(run(query(statement), vec![in_rows]).outcome, Outcome::Error, "{number}");
        }
    }
}

/// Guards against the same order if its procedure returns no result before the statement that fails: on the wire it
/// looks like one that never began.
#[test]
fn error_of_a_procedure_never_proves_that_nothing_ran() {
    for statement in
        [CALL, "call`place_order`(7)", "CALL\tplace_order(7)", "if 1 then insert into a values (1)"]
    {
        for (number, _) in NOTHING_RAN {
            assert_eq!(
                run(query(statement), vec![vec![error(number)]]).outcome,
                Outcome::Error,
                "{statement}"
            );
            let executed = run(execution(statement), vec![prepared(), vec![error(number)]]);
            assert_eq!(executed.outcome, Outcome::Error, "{statement}");
        }
    }
}

#[test]
fn error_alone_proves_that_an_atomic_statement_did_not_run() {
    for (number, outcome) in NOTHING_RAN {
        assert_eq!(run(query(INSERT), vec![vec![error(number)]]).outcome, outcome);
        assert_eq!(run(execution(INSERT), vec![prepared(), vec![error(number)]]).outcome, outcome);
    }
}

#[test]
fn error_of_a_prepare_proves_that_nothing_ran() {
    for (number, outcome) in NOTHING_RAN {
        assert_eq!(run(execution(CALL), vec![vec![error(number)]]).outcome, outcome);
        assert_eq!(run(Request::Prepare(CALL.as_bytes().into()), vec![vec![error(number)]]).outcome, outcome);
    }
}

/// Guards against writes that keep going to a server which has handed over its role in the middle of a statement.
#[test]
fn read_only_error_reports_the_role_although_the_statement_may_have_run() {
    let partial = [result_with_more(), vec![error(READ_ONLY)]].concat();
    assert_eq!(run(query(CALL), vec![partial]).response_report.primary, Some(false));
    let overloaded = run(query(CALL), vec![vec![error(1040)]]);
    assert_eq!(overloaded.response_report.primary, None);
}

/// Guards against a procedure that runs twice, because one of its own statements names an unknown prepared
/// statement and the router takes that for its own one.
#[test]
fn unknown_statement_within_a_procedure_is_not_executed_again() {
    let unknown = || vec![error(UNKNOWN_STATEMENT)];
    let responses = || vec![prepared(), unknown(), prepared(), vec![OK.to_vec()]];
    assert_eq!(run(execution(CALL), responses()).outcome, Outcome::Error);
    assert_eq!(
        run(execution(INSERT), responses()).outcome,
        Outcome::Ok,
        "an atomic statement is prepared again"
    );
}
