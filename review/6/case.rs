//! A stored procedure fails with its transaction open, and the router gives the server connection to the next client.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ORDERS: usize = 20;
/// The order whose procedure has to wait too long for the lock of a row.
const LOCKED: &str = "locked";

#[derive(Default)]
struct Table {
    committed: BTreeSet<String>,
}

struct Server {
    name: &'static str,
    is_primary: bool,
    table: Arc<Mutex<Table>>,
    record: Arc<Record>,
}

impl Server {
    fn commit(&self, session: &mut ServerSession) {
        let mut table = self.table.lock().unwrap();
        table.committed.extend(session.uncommitted.drain(..));
        session.in_transaction = false;
    }
}

impl Server {
    /// START TRANSACTION; INSERT the order; UPDATE the slot; COMMIT. Where the update has to wait too long for a lock it
    /// fails with 1205, which takes back this one statement; the procedure has no handler and ends there. As the manual of
    /// MySQL has it, the transaction then stays open in the session.
    fn place_order(&self, session: &mut ServerSession, text: &str) -> Reply {
        self.commit(session);
        let id = text.split('\'').nth(1).unwrap_or_default().to_string();
        session.in_transaction = true;
        if id == LOCKED {
            session.uncommitted.push(id);
            let text = "Lock wait timeout exceeded; try restarting transaction".into();
            return Reply::Error { code: 1205, state: "HY000", text };
        }
        session.uncommitted.push(id);
        self.commit(session);
        Reply::done()
    }
}

impl Behaviour for Server {
    fn statement(&self, session: &mut ServerSession, sent: &str) -> Reply {
        let text = effective_text(sent);
        let lower = text.to_lowercase();
        if lower.contains("read_only") {
            let row = vec![Some(u8::from(!self.is_primary).to_string()), Some(unix_ms().to_string())];
            return Reply::Rows { columns: vec!["ro".into(), "heartbeat".into()], rows: vec![row] };
        }
        self.record.line(format!("{} thread {}: runs: {text}", self.name, session.thread));
        match lower.as_str() {
            "commit" => {
                self.commit(session);
                return Reply::done();
            }
            "rollback" => {
                session.uncommitted.clear();
                session.in_transaction = false;
                return Reply::done();
            }
            _ => {}
        }
        if lower.starts_with("call place_order") {
            return self.place_order(session, &text);
        }
        if lower.starts_with("insert into orders") {
            if !self.is_primary {
                let text = "The MySQL server is running with the --read-only option".into();
                return Reply::Error { code: 1290, state: "HY000", text };
            }
            let id = text.split('\'').nth(1).unwrap_or("").to_string();
            session.uncommitted.push(id);
            if !session.in_transaction {
                self.commit(session);
            }
            return Reply::done();
        }
        Reply::one("n", self.table.lock().unwrap().committed.len())
    }

    fn closed(&self, session: &mut ServerSession) {
        for order in session.uncommitted.drain(..) {
            let (name, thread) = (self.name, session.thread);
            self.record.line(format!("{name} thread {thread}: session ended, rolled back: order {order}"));
        }
    }
}

fn main() {
    run_case(|record, folder| {
        let ports = free_ports(3)?;
        let table = Arc::new(Mutex::new(Table::default()));
        for (index, name) in ["stock-a", "stock-b"].into_iter().enumerate() {
            let server =
                Server { name, is_primary: index == 0, table: table.clone(), record: record.clone() };
            start_mysql_server(ports[index], Arc::new(server))?;
        }
        let file = folder.join("mysql.toml");
        let text = include_str!("mysql.toml.in")
            .replace("@LISTEN@", &loopback(ports[2]).to_string())
            .replace("@STOCK-A@", &loopback(ports[0]).to_string())
            .replace("@STOCK-B@", &loopback(ports[1]).to_string());
        std::fs::write(&file, text).map_err(|error| error.to_string())?;
        let file = file.to_string_lossy().into_owned();
        let log = folder.join("router.log");
        let mut router = Process::start(record, "router", &["serve", &file], &[], &log)?;

        let mut app = connect_when_ready(ports[2], "stock", Duration::from_secs(10))?;
        for id in ["first", if with_trouble() { LOCKED } else { "second" }] {
            let answer = app.query(&format!("call place_order('{id}') /* c=order-place */"));
            record.line(format!("app: call for order {id}: {answer:?}"));
        }
        if with_trouble() {
            // A client that is told of an error in a procedure ends the transaction.
            let answer = app.query("rollback");
            record.line(format!("app: rollback: {answer:?}"));
        }
        drop(app);

        let mut till = connect_when_ready(ports[2], "stock", Duration::from_secs(2))?;
        let mut accepted = Vec::new();
        for number in 0..ORDERS {
            let id = format!("order-{number}");
            let answer = till.query(&format!("insert into orders (id) values ('{id}')"));
            record.line(format!("till: {id}: {answer:?}"));
            if matches!(answer, Answer::Ok { .. }) {
                accepted.push(id);
            }
            sleep_ms(20);
        }
        drop(till);
        // The router closes its idle connections, and is then ended as at a planned restart.
        sleep_ms(3000);
        router.signal(SIGTERM);
        router.wait(Duration::from_secs(10));
        sleep_ms(500);

        if accepted.len() < ORDERS / 2 {
            return Ok(record.verdict(CANNOT_RUN, "fewer than half of the orders were answered as done"));
        }
        let table = table.lock().unwrap();
        let lost: Vec<&String> = accepted.iter().filter(|id| !table.committed.contains(*id)).collect();
        let text = format!(
            "{} orders of the second client answered as done, {} of them are not in the table",
            accepted.len(),
            lost.len()
        );
        Ok(record.verdict(if lost.is_empty() { HELD } else { BROKEN }, &text))
    })
}
