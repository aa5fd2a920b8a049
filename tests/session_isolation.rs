//! Clients of the `MySQL` front share connections to servers, and each server keeps a session for each connection. A
//! client must never meet what another client's statement left in a session. It would if a connection were handed on
//! while a stored program, a failed procedure, a setting or a lock had changed its session: orders would be rolled back
//! after their clients were told that they are done, and answers would come from other clients' data.
mod common;

use common::TIMEOUT;
use common::environment::TestFolder;
use common::mysql_login::login;
use common::program::Program;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;
use test_servers::session_server::{SessionServer, SessionServerSettings};
use test_servers::wire;

const SOUND: SessionServerSettings = SessionServerSettings { default_autocommit: true, knows_reset: true };
const WITHOUT_RESET: SessionServerSettings = SessionServerSettings { knows_reset: false, ..SOUND };
const WITHOUT_AUTOCOMMIT: SessionServerSettings =
    SessionServerSettings { default_autocommit: false, ..SOUND };

/// A router in front of one primary.
struct Setup {
    _router: Program,
    addr: SocketAddr,
    server: SessionServer,
    _folder: TestFolder,
}

impl Setup {
    fn start(settings: SessionServerSettings) -> Setup {
        let server = SessionServer::start(settings).unwrap();
        let folder = TestFolder::new();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'router'\nserver_password = 'x'
probe = 'SELECT probe'\ndeadline_ms = 2000
[[mysql.user]]\nname = 'till'\npassword = 'secret'
[[mysql.user]]\nname = 'import'\npassword = ''
[[mysql.class]]\nname = 'check'\nfreshness = 'fresh'\neffect = 'safe'\naim_ms = 1500\ndeadline_ms = 2000
[[mysql.class]]\nname = 'order'\nfreshness = 'write'\neffect = 'unsafe'\naim_ms = 1500\ndeadline_ms = 2000
[[mysql.rule]]\nstarts = 'select'\nclass = 'check'
[[mysql.rule]]\nstarts = 'insert into orders'\nclass = 'order'
[[mysql.server]]\nid = 'stock-a'\naddr = '{}'\n",
            server.addr
        );
        let mut router = Program::serve(&folder.write("mysql.toml", &text));
        let addr = router.listening_address();
        let setup = Setup { _router: router, addr, server, _folder: folder };
        let mut client = setup.client();
        let started_at = Instant::now();
        while client.query_drop("insert into orders values ('first')").is_err() {
            assert!(started_at.elapsed() < TIMEOUT);
        }
        setup
    }

    fn client(&self) -> Conn {
        let options = OptsBuilder::new()
            .ip_or_hostname(Some("127.0.0.1"))
            .tcp_port(self.addr.port())
            .prefer_socket(false);
        Conn::new(options.user(Some("till")).pass(Some("secret")).db_name(Some("stock"))).unwrap()
    }

    /// Places orders as another client, and checks that each order that was answered as done is committed.
    fn place_orders(&self, name: &str) {
        let mut till = self.client();
        for number in 0..5 {
            let order = format!("{name}-{number}");
            till.query_drop(format!("insert into orders values ('{order}')")).unwrap();
            assert!(
                self.server.has_committed(&order),
                "{order} was answered as done: {:?}",
                self.server.log()
            );
        }
    }
}

fn error_code(result: Result<(), mysql::Error>) -> Option<u16> {
    match result {
        Ok(()) => None,
        Err(mysql::Error::MySqlError(error)) => Some(error.code),
        Err(other) => panic!("expected an error packet, got: {other}"),
    }
}

/// Guards against orders that are answered as done and rolled back, because an earlier client's procedure failed or
/// ended with its transaction open, or switched autocommit off.
#[test]
fn orders_are_committed_after_another_clients_statement() {
    for settings in [SOUND, WITHOUT_RESET, WITHOUT_AUTOCOMMIT] {
        let setup = Setup::start(settings);
        for (number, left) in [
            "call fail_in_transaction('a') /* c=order */",
            "call leave_transaction_open('b') /* c=order */",
            "call end_autocommit() /* c=order */",
            "/*!40101 SET autocommit=0 */",
            "SET autocommit=0",
            "insert into orders values ('c'); set autocommit=0",
        ]
        .into_iter()
        .enumerate()
        {
            _ = setup.client().query_drop(left);
            setup.place_orders(&format!("after-{number}"));
        }
    }
}

/// Guards against an order whose client is told that it is done, while its procedure left it in a transaction that
/// nobody can commit.
#[test]
fn call_that_leaves_its_transaction_open_is_not_answered_as_done() {
    let setup = Setup::start(SOUND);
    let mut client = setup.client();
    assert_eq!(error_code(client.query_drop("call leave_transaction_open('a') /* c=order */")), Some(1105));
    let prepared = client.prep("call leave_transaction_open('b') /* c=order */").unwrap();
    assert_eq!(error_code(client.exec_drop(&prepared, ())), Some(1105));
    assert_eq!(error_code(client.query_drop("call place_order('c') /* c=order */")), None);
    let committed = |order: &&str| setup.server.has_committed(order);
    assert_eq!(["a", "b", "c"].iter().filter(|order| committed(order)).collect::<Vec<_>>(), [&"c"]);
}

/// Guards against values of another client's session, which a stored function reads although no word of the statement
/// shows it.
#[test]
fn stored_functions_read_nothing_that_another_client_left() {
    for settings in [SOUND, WITHOUT_RESET] {
        let setup = Setup::start(settings);
        for (left, read, expected) in [
            ("insert into orders values ('x')", "select last_id()", Ok("0")),
            ("insert into orders values ('y')", "select last_warning()", Ok("none")),
            ("call remember_member('z') /* c=order */", "select remembered_member()", Ok("none")),
            ("call create_scratch() /* c=order */", "select scratch_rows()", Err(1146)),
        ] {
            setup.client().query_drop(left).unwrap();
            let value = setup.client().query_first::<String, _>(read);
            let value = value.map(Option::unwrap).map_err(|error| error_code(Err(error)).unwrap());
            assert_eq!(value.as_deref().map_err(|code| *code), expected, "{left}: {:?}", setup.server.log());
        }
    }
}

/// Guards against a lock that outlives its statement on a shared connection: the next client would hold it, and no
/// client could release it.
#[test]
fn lock_that_a_procedure_takes_ends_with_its_request() {
    let setup = Setup::start(SOUND);
    setup.client().query_drop("call lock_stock() /* c=order */").unwrap();
    // The server resets the session before it serves the next command of the connection.
    let state = setup.client().query_first::<String, _>("select stock_is_free()").unwrap();
    assert_eq!(state.as_deref(), Some("free"), "{:?}", setup.server.log());
}

/// Guards against a router that opens a connection for each request, or that resets a connection nobody has used.
#[test]
fn connection_is_reused_after_a_reset() {
    let setup = Setup::start(SOUND);
    setup.place_orders("reused");
    let sessions = setup.server.sessions_of("reused-");
    assert!(sessions.windows(2).all(|pair| pair[0] == pair[1]), "{:?}", setup.server.log());
    let session = sessions[0];
    let log = setup.server.log();
    let own: Vec<&str> = log.iter().filter(|l| l.session == session).map(|l| l.text.as_str()).collect();
    let resets = own.iter().filter(|text| text.starts_with("<reset")).count();
    let orders = own.iter().filter(|text| text.starts_with("insert")).count();
    assert!(resets <= orders, "{own:?}");
}

/// Guards against a statement that is executed in a session in which it is no longer prepared.
#[test]
fn prepared_statement_runs_after_each_reset() {
    for settings in [SOUND, WITHOUT_RESET] {
        let setup = Setup::start(settings);
        let mut client = setup.client();
        let prepared = client.prep("insert into orders values ('prepared')").unwrap();
        for _ in 0..3 {
            client.exec_drop(&prepared, ()).unwrap();
            setup.place_orders("between");
        }
        assert_eq!(setup.server.sessions_of("'prepared'").len(), 3);
        assert_eq!(error_code(client.query_drop("SET @member = 'x'")), Some(1235));
        assert!(client.prep("SET @member = 'x'").is_err());
        client.exec_drop(&prepared, ()).unwrap();
    }
}

/// Logs in with this collation ID, and returns the first payload of the response to a statement.
fn query_with_collation(addr: SocketAddr, collation: u8, statement: &[u8]) -> Vec<u8> {
    let mut socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    wire::read(&socket).unwrap();
    socket.write_all(&login("import", collation)).unwrap();
    assert_eq!(wire::read(&socket).unwrap()[0], wire::OK_HEADER);
    socket.write_all(&wire::packets(0, &[&[&[wire::COMMAND_QUERY], statement].concat()])).unwrap();
    wire::read(&socket).unwrap()
}

/// Guards against a text in another character set that is stored as if it were UTF-8: connections to servers use
/// utf8mb4 for all clients, whatever a client's handshake names.
#[test]
fn text_in_another_character_set_is_rejected() {
    const LATIN1_SWEDISH_CI: u8 = 8;
    let setup = Setup::start(SOUND);
    let both_latin1_and_utf8 = "insert into orders values ('\u{e4}')".as_bytes();
    assert_eq!(
        query_with_collation(setup.addr, wire::CHARACTER_SET, both_latin1_and_utf8)[0],
        wire::OK_HEADER
    );
    let rejected = query_with_collation(setup.addr, LATIN1_SWEDISH_CI, both_latin1_and_utf8);
    assert_eq!((rejected[0], u16::from_le_bytes([rejected[1], rejected[2]])), (wire::ERROR_HEADER, 1235));
    let ascii = query_with_collation(setup.addr, LATIN1_SWEDISH_CI, b"insert into orders values ('a')");
    assert_eq!(ascii[0], wire::OK_HEADER);
}
