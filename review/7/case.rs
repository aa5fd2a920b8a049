//! A session setting of one client stays on a server connection that the router gives to the next client.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ORDERS: usize = 20;
/// A session setting, in the form in which dump files of MySQL hold their settings.
const SETTING: &str = "/*!40101 SET autocommit=0 */";

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
        match lower.replace(' ', "").as_str() {
            "setautocommit=0" => {
                session.autocommit = false;
                return Reply::done();
            }
            "setautocommit=1" => {
                session.autocommit = true;
                self.commit(session);
                return Reply::done();
            }
            "commit" => {
                self.commit(session);
                return Reply::done();
            }
            "rollback" => {
                session.uncommitted.clear();
                return Reply::done();
            }
            _ => {}
        }
        if lower.starts_with("insert into orders") {
            if !self.is_primary {
                let text = "The MySQL server is running with the --read-only option".into();
                return Reply::Error { code: 1290, state: "HY000", text };
            }
            let id = text.split('\'').nth(1).unwrap_or("").to_string();
            session.uncommitted.push(id);
            if session.autocommit {
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

        let mut import = connect_when_ready(ports[2], "stock", Duration::from_secs(10))?;
        let answer = import.query("insert into orders (id) values ('first')");
        record.line(format!("import: first order: {answer:?}"));
        if with_trouble() {
            let answer = import.query(SETTING);
            record.line(format!("import: {SETTING}: {answer:?}"));
        }
        drop(import);

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
