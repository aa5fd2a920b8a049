//! The `MySQL` front: the program between the `mysql` client library or a raw socket, and stand-in servers
//! that count the statements that they execute.
mod common;
use common::TIMEOUT;
use common::environment::TestFolder;
use common::program::Program;
use common::wire::read_bytes;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder, Value};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use test_servers::wire::{self, EOF, OK, column, packets, text};

/// How a server responds to statements from now on.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Behavior {
    Serve,
    Error(u16),
    /// Closes the connection after the statement has run.
    Reset,
    /// Sends only the beginning of the response.
    TruncatedResponse,
    /// Sends a response whose first packet has the wrong sequence number, as a packet of another command
    /// would.
    OutOfSequence,
    /// Sends the response twice.
    DuplicateResponse,
    Silent,
    /// Closes the connection after a statement has been prepared on it, before it is executed.
    CloseAfterPrepare,
    /// Reports the next executed statement as unknown, as if it had not been prepared, then serves again.
    UnknownStatement,
}

/// A stand-in server that counts the executions of each statement by its text.
#[derive(Clone)]
struct Server {
    addr: SocketAddr,
    name: &'static str,
    state: Arc<Mutex<ServerState>>,
    executed_sender: Sender<String>,
}

struct ServerState {
    behavior: Behavior,
    read_only: bool,
    /// Replication lag of the heartbeat that probes read.
    lag_ms: u128,
    /// Number of executions of each statement.
    executions: HashMap<String, usize>,
    /// The last execution's packet after the statement's id: flags, iteration count and parameters.
    last_execution: Vec<u8>,
    /// Data received for long parameters.
    long_data: Vec<u8>,
    is_stopped: bool,
    connections: Vec<TcpStream>,
}

fn read_packet(socket: &TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let head = read_bytes(socket, 4)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
    Ok((head[3], read_bytes(socket, length)?))
}

impl Server {
    fn start(name: &'static str, read_only: bool) -> (Server, Receiver<String>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (executed_sender, executed) = channel();
        let state = ServerState {
            behavior: Behavior::Serve,
            read_only,
            lag_ms: 0,
            executions: HashMap::new(),
            last_execution: vec![],
            long_data: vec![],
            is_stopped: false,
            connections: vec![],
        };
        let addr = listener.local_addr().unwrap();
        let server = Server { addr, name, state: Arc::new(Mutex::new(state)), executed_sender };
        let server_handle = server.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let (server_handle, socket) = (server_handle.clone(), socket.unwrap());
                let mut state = server_handle.state.lock().unwrap();
                if state.is_stopped {
                    continue;
                }
                state.connections.push(socket.try_clone().unwrap());
                drop(state);
                std::thread::spawn(move || {
                    server_handle.serve_connection(&socket);
                    _ = socket.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        (server, executed)
    }

    /// Simulates the end of the server process: open connections are closed, and new ones get no greeting.
    fn stop(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_stopped = true;
        state.connections.drain(..).for_each(|s| _ = s.shutdown(std::net::Shutdown::Both));
    }

    fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().unwrap().behavior = behavior;
    }

    fn executions_of(&self, text: &str) -> usize {
        self.state.lock().unwrap().executions.get(text).copied().unwrap_or(0)
    }

    fn serve_connection(&self, socket: &TcpStream) -> Option<()> {
        let mut stream = socket;
        wire::greet(socket).ok()?;
        let mut prepared: HashMap<u32, String> = HashMap::new();
        loop {
            let (_, body) = read_packet(socket).ok()?;
            let id = body.get(1..5).map(|b| u32::from_le_bytes(b.try_into().unwrap()));
            let response = match body[0] {
                3 => self.run(std::str::from_utf8(&body[1..]).unwrap(), false)?,
                22 => {
                    let sql = String::from_utf8(body[1..].to_vec()).unwrap();
                    let (id, parameter_count) = (prepared.len() as u32 + 50, sql.matches('?').count() as u8);
                    let returns_rows = sql.starts_with("SELECT");
                    prepared.insert(id, sql);
                    let head = [
                        &[0][..],
                        &id.to_le_bytes(),
                        &[u8::from(returns_rows), 0, parameter_count, 0, 0, 0, 0],
                    ]
                    .concat();
                    let (parameter_column, name) = (column("?"), column("who"));
                    let mut payloads: Vec<&[u8]> = vec![&head];
                    payloads.extend(
                        (0..parameter_count)
                            .map(|_| &parameter_column[..])
                            .chain((parameter_count > 0).then_some(EOF)),
                    );
                    payloads.extend(returns_rows.then_some([&name[..], EOF]).into_iter().flatten());
                    stream.write_all(&packets(1, &payloads)).ok()?;
                    if self.state.lock().unwrap().behavior == Behavior::CloseAfterPrepare {
                        return None;
                    }
                    continue;
                }
                23 => match prepared.get(&id.unwrap()) {
                    _ if self.state.lock().unwrap().behavior == Behavior::UnknownStatement => {
                        self.set_behavior(Behavior::Serve);
                        packets(1, &[b"\xff\xdb\x04#HY000forgotten"])
                    }
                    Some(sql) => {
                        self.state.lock().unwrap().last_execution = body[5..].to_vec();
                        self.run(sql, true)?
                    }
                    None => packets(1, &[b"\xff\xdb\x04#HY000unknown"]),
                },
                24 => {
                    self.state.lock().unwrap().long_data.extend_from_slice(&body[7..]);
                    continue;
                }
                25 => continue,
                _ => packets(1, &[OK]),
            };
            stream.write_all(&response).ok()?;
            if response.len() == 10 {
                return None;
            }
        }
    }

    /// Executes a statement and returns the packets of its response; on `None` the connection is closed.
    fn run(&self, sql: &str, binary: bool) -> Option<Vec<u8>> {
        if sql == wire::SET_DEFAULTS {
            return Some(packets(1, &[OK]));
        }
        let mut state = self.state.lock().unwrap();
        if sql == "SELECT probe" {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() - state.lag_ms;
            let row = [text(if state.read_only { "1" } else { "0" }), text(&now.to_string())].concat();
            return Some(packets(1, &[&[2], &column("ro"), &column("ts"), EOF, &row, EOF]));
        }
        let is_write = !sql.starts_with("SELECT");
        if is_write && state.read_only {
            return Some(packets(1, &[b"\xff\x0a\x05#HY000read-only"]));
        }
        *state.executions.entry(sql.to_string()).or_default() += 1;
        let behavior = state.behavior;
        drop(state);
        _ = self.executed_sender.send(sql.to_string());
        let row = if binary { [&[0, 0][..], &text(self.name)].concat() } else { text(self.name) };
        let complete = if is_write {
            packets(1, &[OK])
        } else {
            packets(1, &[&[1], &column("who"), EOF, &row, &row, &row, EOF])
        };
        match behavior {
            Behavior::Error(code) => {
                Some(packets(1, &[&[&[0xff][..], &code.to_le_bytes(), b"#HY000no"].concat()]))
            }
            Behavior::Reset => None,
            Behavior::TruncatedResponse => Some(complete[..10].to_vec()),
            Behavior::OutOfSequence => Some([&complete[..3], &[7], &complete[4..]].concat()),
            Behavior::DuplicateResponse => Some([&complete[..], &complete].concat()),
            Behavior::Silent => {
                // Blocks this thread until the test process ends; the router closes its side of the
                // connection.
                loop {
                    std::thread::park();
                }
            }
            _ => Some(complete),
        }
    }
}

/// A router with a primary and a replica.
struct Setup {
    router: Program,
    addr: SocketAddr,
    primary: (Server, Receiver<String>),
    replica: (Server, Receiver<String>),
    folder: TestFolder,
}

const INSERT_ORDER: &str = "INSERT INTO orders VALUES (?) /* c=order-place,d=1500,s=till */";
const SELECT_STOCK: &str = "SELECT who FROM stock /* c=any-read,d=1500 */";

fn config_text(servers: &str) -> String {
    format!(
        "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'router'\nserver_password = 'x'
probe = 'SELECT probe'\ndeadline_ms = 1500\nmessage_bytes = 100000
[[mysql.user]]\nname = 'till'\npassword = 'secret'
[[mysql.class]]\nname = 'any-read'\nfreshness = 'any'\neffect = 'safe'\naim_ms = 1500\ndeadline_ms = 1500
[[mysql.class]]\nname = 'session-read'\nfreshness = 'session'\neffect = 'safe'\naim_ms = 1500\ndeadline_ms = 1500
[[mysql.class]]\nname = 'order-place'\nfreshness = 'write'\neffect = 'unsafe'\naim_ms = 1500\ndeadline_ms = 1500
[[mysql.rule]]\nstarts = 'select who from basket'\nclass = 'session-read'\n{servers}"
    )
}

impl Setup {
    fn start() -> Setup {
        Setup::start_with(|_| String::new())
    }

    /// Starts a router with additional text in its configuration file.
    fn start_with(more: impl Fn(&TestFolder) -> String) -> Setup {
        let (primary, replica) = (Server::start("primary", false), Server::start("replica", true));
        let server_table = |s: &Server| format!("[[mysql.server]]\nid = '{}'\naddr = '{}'\n", s.name, s.addr);
        let folder = TestFolder::new();
        let path = folder.write(
            "mysql.toml",
            &(config_text(&(server_table(&primary.0) + &server_table(&replica.0))) + &more(&folder)),
        );
        let mut router = Program::start(&[path.to_str().unwrap()], &[]);
        let addr = router.listening_address();
        let setup = Setup { router, addr, primary, replica, folder };
        // The router sends reads to the replica once it has probed it.
        let mut client = setup.client();
        let started_at = Instant::now();
        while client.query_first::<String, _>(SELECT_STOCK).unwrap().unwrap() != "replica" {
            assert!(started_at.elapsed() < TIMEOUT);
        }
        while setup.primary.1.try_recv().is_ok() || setup.replica.1.try_recv().is_ok() {}
        setup
    }

    fn options(&self) -> OptsBuilder {
        let options = OptsBuilder::new()
            .ip_or_hostname(Some("127.0.0.1"))
            .tcp_port(self.addr.port())
            .prefer_socket(false);
        options.user(Some("till")).pass(Some("secret")).db_name(Some("stock"))
    }

    fn client(&self) -> Conn {
        Conn::new(self.options()).unwrap()
    }

    fn total_executions(&self, sql: &str) -> usize {
        self.primary.0.executions_of(sql) + self.replica.0.executions_of(sql)
    }
}

/// Code and SQLSTATE of an error packet.
fn code(e: mysql::Error) -> (u16, String) {
    match e {
        mysql::Error::MySqlError(e) => (e.code, e.state),
        other => panic!("expected an error packet of the server, got: {other}"),
    }
}

#[test]
fn statements_are_split_between_primary_and_replica() {
    let setup = Setup::start();
    let mut client = setup.client();
    assert_eq!(client.query::<String, _>(SELECT_STOCK).unwrap(), ["replica"; 3]);
    client.query_drop("INSERT INTO orders VALUES (1)").unwrap();
    assert_eq!(client.affected_rows(), 1);
    assert_eq!(setup.primary.0.executions_of("INSERT INTO orders VALUES (1)"), 1);
    // A statement without a class, even a SELECT, is treated as a write that must not run twice.
    assert_eq!(client.query_first::<String, _>("SELECT who FROM else").unwrap().unwrap(), "primary");
    assert!(client.ping().is_ok());
    assert!(client.select_db("stock").is_ok());
    assert_eq!(code(client.select_db("other").unwrap_err()), (1049, "42000".into()));
    // An error of the statement itself is forwarded unchanged.
    setup.primary.0.set_behavior(Behavior::Error(1062));
    assert_eq!(code(client.query_drop("INSERT INTO orders VALUES (2)").unwrap_err()), (1062, "HY000".into()));
}

#[test]
fn prepared_statements_go_to_any_server_connection() {
    let setup = Setup::start();
    let mut client = setup.client();
    let insert_order = client.prep(INSERT_ORDER).unwrap();
    assert_eq!(insert_order.num_params(), 1);
    for n in 1..=3 {
        client.exec_drop(&insert_order, (n,)).unwrap();
    }
    assert_eq!(setup.primary.0.executions_of(INSERT_ORDER), 3);
    let sent = setup.primary.0.state.lock().unwrap().last_execution.clone();
    assert_eq!(
        sent[..7],
        [0, 1, 0, 0, 0, 0, 1],
        "expected flags 0, iteration count 1, no NULL, and parameter types"
    );
    let select_stock = client.prep("SELECT who FROM stock WHERE id = ? /* c=any-read */").unwrap();
    let rows: Vec<String> = client.exec(&select_stock, (Value::Bytes(vec![b'x'; 300]),)).unwrap();
    assert_eq!(rows, ["replica"; 3]);
    // A server that does not know the prepared statement did not execute it, so the router prepares and sends
    // it again.
    setup.primary.0.set_behavior(Behavior::UnknownStatement);
    client.exec_drop(&insert_order, (4,)).unwrap();
    assert_eq!(setup.primary.0.executions_of(INSERT_ORDER), 4);
    client.close(insert_order).unwrap();
    client.reset().unwrap();
    let again = client.prep(INSERT_ORDER).unwrap();
    client.exec_drop(&again, (5,)).unwrap();
}

#[test]
fn server_lost_between_prepare_and_execute_runs_nothing() {
    let setup = Setup::start();
    let mut client = setup.client();
    let insert_order = client.prep(INSERT_ORDER).unwrap();
    client.exec_drop(&insert_order, (1,)).unwrap();
    // The primary's connections and the statements prepared on them are lost, and the replica takes over as
    // primary.
    setup.replica.0.state.lock().unwrap().read_only = false;
    setup.primary.0.stop();
    client.exec_drop(&insert_order, (2,)).unwrap();
    assert_eq!(
        (setup.primary.0.executions_of(INSERT_ORDER), setup.replica.0.executions_of(INSERT_ORDER)),
        (1, 1)
    );
}

#[test]
fn server_lost_during_prepare_gives_one_outcome_and_at_most_one_execution() {
    let setup = Setup::start();
    let mut client = setup.client();
    let insert_order = client.prep(INSERT_ORDER).unwrap();
    setup.replica.0.state.lock().unwrap().read_only = false;
    setup.primary.0.set_behavior(Behavior::CloseAfterPrepare);
    // The server closes the connection right after its response to the prepare. If the execution was already
    // sent, the router can't know whether it ran.
    match client.exec_drop(&insert_order, (1,)) {
        Ok(()) => assert_eq!(setup.total_executions(INSERT_ORDER), 1),
        Err(e) => assert_eq!((code(e).0, setup.total_executions(INSERT_ORDER)), (1158, 0)),
    }
}

#[test]
fn duplicate_response_is_not_used_for_next_statement() {
    let setup = Setup::start();
    let mut client = setup.client();
    setup.primary.0.set_behavior(Behavior::DuplicateResponse);
    for n in 0..10 {
        // If the router reused the connection, it would take the copy for the next statement's response.
        let sql = format!("INSERT INTO orders VALUES ({n})");
        client.query_drop(&sql).unwrap();
        assert_eq!(setup.total_executions(&sql), 1);
    }
}

#[test]
fn write_that_may_have_run_fails_and_is_not_resent() {
    let cases = [
        (Behavior::TruncatedResponse, 1158, "08S01"),
        (Behavior::Reset, 1158, "08S01"),
        (Behavior::Error(1105), 1105, "HY000"),
        (Behavior::OutOfSequence, 1105, "HY000"),
    ];
    for (behavior, expected, state) in cases {
        for prepared in [false, true] {
            let setup = Setup::start();
            let mut client = setup.client();
            setup.primary.0.set_behavior(behavior);
            let statement = "INSERT INTO orders VALUES (7)";
            let (sql, result) = if prepared {
                let insert_order = client.prep(INSERT_ORDER).unwrap();
                (INSERT_ORDER, client.exec_drop(&insert_order, (1,)))
            } else {
                (statement, client.query_drop(statement))
            };
            assert_eq!(code(result.unwrap_err()), (expected, state.to_string()), "{behavior:?}");
            assert_eq!(setup.total_executions(sql), 1, "{behavior:?}");
            // The client's connection stays usable.
            assert!(client.ping().is_ok());
        }
    }
}

#[test]
fn request_to_silent_server_fails_at_the_deadline() {
    let setup = Setup::start();
    let mut client = setup.client();
    setup.primary.0.set_behavior(Behavior::Silent);
    let started_at = Instant::now();
    let result = client.query_drop("INSERT INTO orders VALUES (8) /* c=order-place,d=400 */");
    assert_eq!(code(result.unwrap_err()), (3024, "HY000".into()));
    assert!(started_at.elapsed().as_millis() >= 390 && started_at.elapsed() < TIMEOUT);
    assert_eq!(setup.total_executions("INSERT INTO orders VALUES (8) /* c=order-place,d=400 */"), 1);
}

#[test]
fn session_reads_its_own_writes() {
    let setup = Setup::start();
    let mut client = setup.client();
    setup.replica.0.state.lock().unwrap().lag_ms = 60_000;
    client.query_drop("INSERT INTO basket VALUES (1)").unwrap();
    // The replica's heartbeat is older than the commit, so the read goes to the primary. A session without
    // commits reads from the replica.
    assert_eq!(client.query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap(), "primary");
    assert_eq!(
        setup.client().query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap(),
        "replica"
    );
    // Once the heartbeat is newer than the commit, the replica may serve the read.
    setup.replica.0.state.lock().unwrap().lag_ms = 0;
    let started_at = Instant::now();
    while client.query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap() != "replica" {
        assert!(started_at.elapsed() < TIMEOUT);
    }
}

#[test]
fn replica_response_does_not_confirm_the_commit_is_applied() {
    let setup = Setup::start();
    let (mut client, mut other) = (setup.client(), setup.client());
    setup.replica.0.state.lock().unwrap().lag_ms = 60_000;
    client.query_drop("INSERT INTO basket VALUES (1)").unwrap();
    // The replica serves another client after the commit; this response does not prove that the replica has
    // applied the commit.
    assert_eq!(other.query_first::<String, _>(SELECT_STOCK).unwrap().unwrap(), "replica");
    assert_eq!(client.query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap(), "primary");
}

#[test]
fn statements_that_need_a_dedicated_connection_are_rejected() {
    let setup = Setup::start();
    let mut client = setup.client();
    for sql in [
        "START TRANSACTION",
        "begin",
        "COMMIT",
        "SET sql_mode = ''",
        "/* x */ LOCK TABLES a WRITE",
        "SELECT @a := 1",
        "SELECT last_insert_id()",
        "CREATE TEMPORARY TABLE t (a INT)",
        "PREPARE s FROM 'x'",
        "/*!40101 SET autocommit=0 */",
        "SELECT @@identity",
        "SELECT LAST_INSERT_ID ()",
        "SHOW WARNINGS",
        "KILL QUERY 1",
        "INSERT INTO orders VALUES (9); SET autocommit=0",
        "INSERT INTO orders VALUES (9) /* c=any-read */",
    ] {
        assert_eq!(code(client.query_drop(sql).unwrap_err()), (1235, "42000".into()), "{sql}");
    }
    // SET is accepted if every connection already has the value, and keywords in quoted text are ignored.
    client.query_drop("SET NAMES utf8mb4").unwrap();
    client.query_drop("INSERT INTO notes VALUES ('SET @a := 1 /* c=any-read */ ?')").unwrap();
    assert_eq!(code(client.query_drop("").unwrap_err()).0, 1065);
}

#[test]
fn invalid_bytes_close_only_their_connection() {
    let setup = Setup::start();
    let wrong_password = Conn::new(setup.options().pass(Some("wrong"))).unwrap_err();
    assert_eq!(code(wrong_password), (1045, "28000".into()));
    let wrong_database = Conn::new(setup.options().db_name(Some("other"))).unwrap_err();
    assert_eq!(code(wrong_database), (1049, "42000".into()));
    for bytes in
        [&b"\xff\xff\xff\x01"[..], b"\x01\0\0\x01\0", b"\x04\0\0\x01\0\0\0\0", b"GET / HTTP/1.1\r\n\r\n"]
    {
        let socket = TcpStream::connect(setup.addr).unwrap();
        (&socket).write_all(bytes).unwrap();
        _ = socket.shutdown(std::net::Shutdown::Write);
        while read_bytes(&socket, 1).is_ok() {}
    }
    assert_eq!(setup.client().query_first::<String, _>(SELECT_STOCK).unwrap().unwrap(), "replica");
}

/// A client on a raw socket, for what the client library can't send.
struct RawClient(TcpStream);

impl RawClient {
    fn connect(addr: SocketAddr) -> RawClient {
        let socket = TcpStream::connect(addr).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        read_packet(&socket).unwrap();
        // An unknown authentication plugin, so that the router switches to the native password.
        let flags: u32 = 1 << 9 | 1 << 15 | 1 << 19;
        let login = [&flags.to_le_bytes()[..], &[0; 28], b"till\0\0odd_plugin\0"].concat();
        (&socket).write_all(&packets(1, &[&login])).unwrap();
        let (_, switch) = read_packet(&socket).unwrap();
        let nonce = switch[switch.len() - 21..switch.len() - 1].to_vec();
        let proof = mysql_wire::auth::scramble(mysql_wire::auth::NATIVE_PASSWORD, "secret", &nonce).unwrap();
        (&socket).write_all(&packets(3, &[&proof])).unwrap();
        assert_eq!(read_packet(&socket).unwrap().1[0], 0);
        RawClient(socket)
    }

    /// Sends a command and reads this many payloads in response.
    fn exchange(&self, command: &[u8], payload_count: usize) -> Vec<Vec<u8>> {
        (&self.0).write_all(&packets(0, &[command])).unwrap();
        let response = |i| {
            let (sequence, payload) = read_packet(&self.0).unwrap();
            assert_eq!(sequence as usize, i + 1);
            payload
        };
        (0..payload_count).map(response).collect()
    }

    /// Sends a command that has to fail; returns the error code.
    fn error(&self, command: &[u8]) -> u16 {
        let response = &self.exchange(command, 1)[0];
        assert_eq!(response[0], 0xff, "{response:?}");
        u16::from_le_bytes([response[1], response[2]])
    }
}

#[test]
fn complete_commands_before_an_incomplete_one_get_responses() {
    // A client that stops in the middle of a command has not disconnected: its complete commands get
    // responses.
    let setup = Setup::start();
    let raw_client = RawClient::connect(setup.addr);
    setup.primary.0.set_behavior(Behavior::Silent);
    let incomplete_command = &packets(0, &[b"\x03SELECT"])[..6];
    (&raw_client.0)
        .write_all(
            &[&packets(0, &[&[&[3][..], INSERT_ORDER.as_bytes()].concat()]), incomplete_command].concat(),
        )
        .unwrap();
    // The pending request outlasts the timeout for incomplete commands, and fails at its own deadline.
    let (_, response) = read_packet(&raw_client.0).unwrap();
    assert_eq!((response[0], u16::from_le_bytes([response[1], response[2]])), (0xff, 3024), "{response:?}");
    assert!(read_packet(&raw_client.0).is_err(), "the connection must be closed after the response");
}

#[test]
fn disconnect_is_noticed_while_command_queue_is_full() {
    let mut setup = Setup::start_with(|_| "[log]\nlevel = 'debug'\n".to_string());
    let raw_client = RawClient::connect(setup.addr);
    setup.primary.0.set_behavior(Behavior::Silent);
    let pings: Vec<u8> = (0..200).flat_map(|_| packets(0, &[&[14]])).collect();
    let insert_order = packets(0, &[&[&[3][..], INSERT_ORDER.as_bytes()].concat()]);
    (&raw_client.0).write_all(&[insert_order, pings].concat()).unwrap();
    setup.primary.1.recv_timeout(TIMEOUT).unwrap();
    // The reader waits for space in the full queue of commands and does not read further.
    drop(raw_client);
    setup.router.wait_for_log("client disconnected requests=1 ");
}

#[test]
fn long_data_cursors_reset_and_command_errors_are_supported() {
    let setup = Setup::start();
    let raw_client = RawClient::connect(setup.addr);
    let sql = "SELECT who FROM stock WHERE note = ? /* c=any-read */";
    let prepared = raw_client.exchange(&[&[22][..], sql.as_bytes()].concat(), 5);
    let id = prepared[0][1..5].to_vec();
    // A long parameter in two parts; each packet is written in fragments of 3 bytes.
    for part in [b"abc", b"def"] {
        let bytes = packets(0, &[&[&[24][..], &id, &[0, 0], part].concat()]);
        bytes.chunks(3).for_each(|c| (&raw_client.0).write_all(c).unwrap());
    }
    // With a cursor, the response to the execution has the columns, and each fetch returns rows.
    let execute = [&[23][..], &id, &[1, 1, 0, 0, 0, 0, 1, 0xfc, 0]].concat();
    let head = raw_client.exchange(&execute, 3);
    assert_eq!(head[2], [0xfe, 0, 0, 66, 0]);
    assert_eq!(setup.replica.0.state.lock().unwrap().long_data, b"abcdef");
    let fetch = |n: u8| [&[28][..], &id, &[n, 0, 0, 0]].concat();
    assert_eq!(raw_client.exchange(&fetch(2), 3)[2], [0xfe, 0, 0, 66, 0]);
    assert_eq!(raw_client.exchange(&fetch(2), 2)[1], [0xfe, 0, 0, 130, 0]);
    assert_eq!(raw_client.exchange(&[&[26][..], &id].concat(), 1)[0][0], 0);
    assert_eq!(raw_client.error(&fetch(1)), 1421);
    // Missing parameter types, unknown statement ids and unsupported commands are rejected.
    assert_eq!(raw_client.error(&[&[23][..], &id, &[0, 1, 0, 0, 0]].concat()), 1210);
    assert_eq!(raw_client.error(&[23, 9, 9, 0, 0, 0, 1, 0, 0, 0]), 1243);
    assert_eq!(raw_client.error(&[23, 9]), 1835);
    assert_eq!(raw_client.error(&[17]), 1047);
    assert_eq!(raw_client.error(&[27, 0, 0]), 1235);
    assert_eq!(raw_client.exchange(&[27, 1, 0], 1)[0], EOF);
    (&raw_client.0).write_all(&packets(0, &[&[&[25][..], &id].concat()])).unwrap();
    assert_eq!(raw_client.error(&execute), 1243);
    assert_eq!(raw_client.exchange(&[31], 1)[0][0], 0);
    // A command that is too long gets an error, then the connection is closed.
    let second_client = RawClient::connect(setup.addr);
    assert_eq!(second_client.error(&[3; 200_000]), 1153);
    // A packet out of sequence gets an error, then the connection is closed.
    (&raw_client.0).write_all(&packets(5, &[&[14]])).unwrap();
    assert_eq!(read_packet(&raw_client.0).unwrap().1[1..3], 1156u16.to_le_bytes());
    assert!(read_packet(&raw_client.0).is_err());
}

#[test]
fn sigterm_completes_accepted_requests() {
    let setup = Setup::start();
    let mut client = setup.client();
    setup.primary.0.set_behavior(Behavior::Silent);
    let pending_write =
        std::thread::spawn(move || client.query_drop("INSERT INTO orders VALUES (3)").unwrap_err());
    setup.primary.1.recv_timeout(TIMEOUT).unwrap();
    setup.router.terminate();
    assert_eq!(code(pending_write.join().unwrap()).0, 3024);
    assert_eq!(setup.router.wait_for_exit().0, Some(0));
}

/// Guards against a request that was read before the shutdown, and whose deadline lies beyond the end of the
/// process: it has to get its final response before the process exits.
#[test]
fn request_with_deadline_beyond_the_shutdown_is_answered_before_the_process_exits() {
    let setup = Setup::start();
    let mut client = setup.client();
    setup.primary.0.set_behavior(Behavior::Silent);
    let pending_write = std::thread::spawn(move || {
        client.query_drop("INSERT INTO orders VALUES (4) /* c=order-place,d=60000 */").unwrap_err()
    });
    setup.primary.1.recv_timeout(TIMEOUT).unwrap();
    setup.router.terminate();
    assert_eq!(code(pending_write.join().unwrap()).0, 3024);
    assert_eq!(setup.router.wait_for_exit().0, Some(0));
}

/// Guards against a command that was read before the end of the shutdown but waits behind another one of its
/// connection: it has to get its response too, before the connection is closed.
#[test]
fn commands_queued_behind_a_slow_one_get_responses_before_the_process_exits() {
    const COMMANDS: usize = 4;
    let setup = Setup::start();
    let client = RawClient::connect(setup.addr);
    setup.primary.0.set_behavior(Behavior::Silent);
    let order = |n: usize| format!("\x03INSERT INTO orders VALUES ({n}) /* c=order-place,d=1400 */");
    let commands: Vec<u8> = (0..COMMANDS).flat_map(|n| packets(0, &[order(n).as_bytes()])).collect();
    (&client.0).write_all(&commands).unwrap();
    setup.primary.1.recv_timeout(TIMEOUT).unwrap();
    setup.router.terminate();
    for n in 0..COMMANDS {
        let response = read_packet(&client.0).unwrap_or_else(|e| panic!("no response to command {n}: {e}")).1;
        assert_eq!(response[0], 0xff, "command {n}");
    }
    assert!(read_packet(&client.0).is_err(), "the connection stays open");
    assert_eq!(setup.router.wait_for_exit().0, Some(0));
}

#[test]
fn invalid_configuration_is_named_and_ends_startup() {
    let folder = TestFolder::new();
    let cases = [
        ("[mysql", "expected TOML"),
        ("[other]\n", "'other'"),
        (&config_text("").replace("database", "databases"), "'databases'"),
        (&config_text("").replace("'any'", "'old'"), "class[0]: expected write, fresh"),
        (&config_text("[[mysql.rule]]\nstarts = 'x'\nclass = 'none'\n"), "rule[1]: expected a listed class"),
        (&config_text("[[mysql.server]]\nid = 'a'\naddr = 'b'\n"), "server[0]: expected ip:port in 'addr'"),
    ];
    for (text, expected) in cases {
        let path = folder.write("bad.toml", text);
        let mut router = Program::start(&[path.to_str().unwrap()], &[]);
        router.wait_for_log(expected);
        assert_eq!(router.wait_for_exit().0, Some(1));
    }
}

/// Runs a command of the program to its end; returns exit code, standard output and log.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut program = Program::start(arguments, &[("DAMSONVALE_PASSWORD", "secret")]);
    let log = std::mem::replace(&mut program.log, channel().1);
    let (code, out) = program.wait_for_exit();
    (code, out, log.iter().collect::<Vec<_>>().join("\n"))
}

/// The packets of a classic pcap file in little-endian byte order: record header and bytes of each.
fn packets_of_pcap(file: &[u8]) -> Vec<([u32; 4], Vec<u8>)> {
    let (mut offset, mut records) = (24, Vec::new());
    while offset < file.len() {
        let head =
            [0, 4, 8, 12].map(|n| u32::from_le_bytes(file[offset + n..offset + n + 4].try_into().unwrap()));
        let end = offset + 16 + head[2] as usize;
        records.push((head, file[offset + 16..end].to_vec()));
        offset = end;
    }
    records
}

/// A block of a pcapng file in big-endian byte order.
fn pcapng_block(kind: u32, body: &[u8]) -> Vec<u8> {
    let body = [body, &vec![0; body.len().next_multiple_of(4) - body.len()]].concat();
    let length = (body.len() as u32 + 12).to_be_bytes();
    [&kind.to_be_bytes()[..], &length, &body, &length].concat()
}

#[test]
fn recording_is_listed_and_replayed() {
    let record = |f: &TestFolder| {
        format!("[record]\nfile = '{}'\ncapacity_mb = 1\n", f.path().join("served.pcap").display())
    };
    let setup = Setup::start_with(record);
    let path = setup.folder.path().join("served.pcap");
    let path = path.to_str().unwrap();
    let mut client = setup.client();
    let by_note = client.prep("SELECT who FROM stock WHERE note = ? /* c=any-read */").unwrap();
    let _: Vec<String> = client.exec(&by_note, ("n".repeat(40_000),)).unwrap();
    let insert_order = client.prep(INSERT_ORDER).unwrap();
    client.exec_drop(&insert_order, (7,)).unwrap();
    client.exec_drop(&insert_order, (8,)).unwrap();
    setup.primary.0.set_behavior(Behavior::Error(1062));
    client.query_drop("INSERT INTO orders VALUES (1)").unwrap_err();
    setup.primary.0.set_behavior(Behavior::Serve);
    drop(client);
    // The recording never delays a client, so it may be written to disk after the client has disconnected.
    let started_at = Instant::now();
    let listed = loop {
        let (_, out, _) = run(&["requests", path]);
        if out.contains("VALUES (1)") {
            break out;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{out}");
    };
    let writes: Vec<&str> = listed.lines().filter(|l| !l.contains("SELECT")).collect();
    assert_eq!(writes.len(), 3, "{listed}");
    assert!(
        writes[0].contains("Answered")
            && writes[0].contains(INSERT_ORDER)
            && writes[2].contains("Error(1062)")
    );
    assert_eq!(listed.lines().filter(|l| l.contains("WHERE note = ?")).count(), 1);

    // A replay through the router sends only reads, and also writes with `--writes`.
    let file = std::fs::read(path).unwrap();
    let copy = setup.folder.path().join("kept.pcap");
    std::fs::write(&copy, &file).unwrap();
    let copy = copy.to_str().unwrap();
    let router = setup.addr.to_string();
    let (before, reads) =
        (setup.total_executions(INSERT_ORDER), listed.lines().filter(|l| l.contains("SELECT")).count());
    let (code, out, log) = run(&["replay", copy, &router, "till", "stock"]);
    assert_eq!(code, Some(0), "{log}");
    assert!(out.ends_with(&format!("{reads} answered, 0 errors, 3 writes left out\n")), "{out}");
    assert_eq!(setup.total_executions(INSERT_ORDER), before);
    let (_, out, _) = run(&["replay", copy, &router, "till", "stock", "--writes"]);
    assert!(out.ends_with(&format!("{} answered, 0 errors, 0 writes left out\n", reads + 3)), "{out}");
    assert_eq!(setup.total_executions(INSERT_ORDER), before + 2);

    // The same packets in the other byte order, in a pcapng file, and reordered with duplicates have to give
    // the same requests.
    let packets = packets_of_pcap(&file);
    let swapped = |words: &[u32]| words.iter().flat_map(|w| w.to_be_bytes()).collect::<Vec<u8>>();
    let mut big_endian = swapped(&[0xa1b2_c3d4, 0x0002_0004, 0, 0, 262_144, 1]);
    let mut pcapng = [
        pcapng_block(0x0a0d_0d0a, &[&swapped(&[0x1a2b_3c4d, 0x0001_0000])[..], &[0xff; 8]].concat()),
        pcapng_block(1, &[0, 1, 0, 0, 0, 4, 0, 0]),
    ]
    .concat();
    for (head, bytes) in &packets {
        big_endian.extend([swapped(head), bytes.clone()].concat());
        let timestamp_us = u64::from(head[0]) * 1_000_000 + u64::from(head[1]);
        pcapng.extend(pcapng_block(
            6,
            &[
                swapped(&[0, (timestamp_us >> 32) as u32, timestamp_us as u32, head[2], head[3]]),
                bytes.clone(),
            ]
            .concat(),
        ));
    }
    let mut reordered = file[..24].to_vec();
    for pair in packets.chunks(2) {
        for (head, bytes) in pair.iter().rev().chain(pair.first()) {
            head.iter().for_each(|w| reordered.extend(w.to_le_bytes()));
            reordered.extend(bytes);
        }
    }
    let expected = run(&["requests", copy]).1;
    for bytes in [big_endian, pcapng, reordered] {
        let other = setup.folder.path().join("other.pcap");
        std::fs::write(&other, bytes).unwrap();
        let (code, out, log) = run(&["requests", other.to_str().unwrap()]);
        let sorted = |s: &str| {
            let mut lines: Vec<String> =
                s.lines().map(|l| l.split_once('\t').unwrap().1.to_string()).collect();
            lines.sort();
            lines
        };
        assert_eq!((code, sorted(&out)), (Some(0), sorted(&expected)), "{log}");
    }

    // If the file is truncated within its last packet, the requests before that packet are listed, and the
    // error message has the offset.
    let truncated = setup.folder.path().join("cut.pcap");
    std::fs::write(&truncated, &file[..file.len() - 5]).unwrap();
    let (code, out, log) = run(&["requests", truncated.to_str().unwrap()]);
    assert_eq!(code, Some(1));
    assert!(log.contains("behind offset") && log.contains("cut off"), "{log}");
    assert!(out.contains(INSERT_ORDER));
    for invalid in [&b""[..], b"abc", b"a text that is no capture", &[0x0a, 0x0d, 0x0d, 0x0a, 9], &file[..20]]
    {
        std::fs::write(&truncated, invalid).unwrap();
        let (code, _, log) = run(&["requests", truncated.to_str().unwrap()]);
        assert_eq!(code, Some(1));
        assert!(log.contains("offset") && !log.contains("panic"), "{log}");
    }
}

#[test]
fn recording_ends_at_its_capacity() {
    let record = |f: &TestFolder| {
        format!("[record]\nfile = '{}'\ncapacity_mb = 0.01\n", f.path().join("small.pcap").display())
    };
    let mut setup = Setup::start_with(record);
    let mut client = setup.client();
    for _ in 0..200 {
        client.query_drop(SELECT_STOCK).unwrap();
    }
    setup.router.wait_for_log("recording file full");
    drop(client);
    assert!(std::fs::metadata(setup.folder.path().join("small.pcap")).unwrap().len() <= 10_000);
}
