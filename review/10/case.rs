//! A client asks for what its own last statement left in its session, after another client's statement.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const ROUNDS: u64 = 10;

struct Server {
    name: &'static str,
    is_primary: bool,
    last_id: AtomicU64,
    record: Arc<Record>,
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
        let compact = lower.replace(' ', "");
        if compact == "select@@identity" || compact == "selectlast_insert_id()" {
            return Reply::one("id", session.last_insert_id);
        }
        if lower == "show warnings" {
            let row = |warning: &String| {
                vec![Some("Warning".into()), Some("1265".into()), Some(warning.clone())]
            };
            let columns = ["Level", "Code", "Message"].map(String::from).to_vec();
            return Reply::Rows { columns, rows: session.warnings.iter().map(row).collect() };
        }
        session.warnings.clear();
        if lower.starts_with("insert") {
            if !self.is_primary {
                let text = "The MySQL server is running with the --read-only option".into();
                return Reply::Error { code: 1290, state: "HY000", text };
            }
            session.last_insert_id = self.last_id.fetch_add(1, Ordering::SeqCst) + 1;
            let member = text.split('\'').nth(1).unwrap_or("").to_string();
            session.warnings.push(format!("Data truncated for column 'note' of {member}"));
            return Reply::Ok { last_insert_id: session.last_insert_id };
        }
        Reply::one("n", 1)
    }
}

fn insert(record: &Record, client: &mut MysqlClient, name: &str) -> Result<u64, String> {
    let answer = client.query(&format!("insert into orders (member) values ('{name}')"));
    record.line(format!("{name}: insert: {answer:?}"));
    match answer {
        Answer::Ok { last_insert_id } => Ok(last_insert_id),
        other => Err(format!("an insert was not served: {other:?}")),
    }
}

fn main() {
    run_case(|record, folder| {
        let ports = free_ports(3)?;
        for (index, name) in ["stock-a", "stock-b"].into_iter().enumerate() {
            let last_id = AtomicU64::new(0);
            let server = Server { name, is_primary: index == 0, last_id, record: record.clone() };
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
        let mut member_1 = connect_when_ready(ports[2], "stock", Duration::from_secs(10))?;
        let mut member_2 = connect_when_ready(ports[2], "stock", Duration::from_secs(2))?;

        let (mut wrong, mut answered) = (0, 0);
        for _ in 0..ROUNDS {
            for question in ["select @@identity", "select last_insert_id ()", "show warnings"] {
                let own = insert(record, &mut member_1, "member-1")?;
                sleep_ms(20);
                if with_trouble() {
                    insert(record, &mut member_2, "member-2")?;
                    sleep_ms(20);
                }
                let answer = member_1.query(question);
                let Answer::Rows(rows) = &answer else {
                    // A refusal is no wrong data.
                    record.line(format!("member-1: {question}: {answer:?}"));
                    continue;
                };
                answered += 1;
                let is_own = match question {
                    "show warnings" => rows.iter().flatten().flatten().all(|cell| !cell.contains("member-2")),
                    _ => rows.first().and_then(|row| row[0].clone()) == Some(own.to_string()),
                };
                wrong += usize::from(!is_own);
                let verdict = if is_own { "its own" } else { "WRONG: another client's" };
                record.line(format!("member-1: {question}: {answer:?}: {verdict}"));
                sleep_ms(20);
            }
        }
        router.signal(SIGTERM);
        router.wait(Duration::from_secs(10));
        let text = format!("{answered} questions answered, {wrong} of them with what another client left");
        Ok(record.verdict(if wrong == 0 { HELD } else { BROKEN }, &text))
    })
}
