//! The requests that a router recorded are replayed without `--writes`, and there is an order among them.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ORDERS: usize = 5;

struct Server {
    name: &'static str,
    is_primary: bool,
    /// How often each order ran.
    runs: Arc<Mutex<BTreeMap<String, usize>>>,
    record: Arc<Record>,
}

impl Behaviour for Server {
    fn statement(&self, session: &mut ServerSession, sent: &str) -> Reply {
        let text = effective_text(sent);
        if text.contains("read_only") {
            let row = vec![Some(u8::from(!self.is_primary).to_string()), Some(unix_ms().to_string())];
            return Reply::Rows { columns: vec!["ro".into(), "heartbeat".into()], rows: vec![row] };
        }
        self.record.line(format!("{} thread {}: runs: {sent}", self.name, session.thread));
        let is_order = text.contains("place_order(") || text.starts_with("insert into orders");
        if is_order && !self.is_primary {
            let text = "The MySQL server is running with the --read-only option".into();
            return Reply::Error { code: 1290, state: "HY000", text };
        }
        if is_order {
            let id = text.split('\'').nth(1).unwrap_or("").to_string();
            *self.runs.lock().unwrap().entry(id).or_default() += 1;
        }
        if text.starts_with("insert") { Reply::done() } else { Reply::one("value", 1) }
    }
}

fn main() {
    run_case(|record, folder| {
        let ports = free_ports(3)?;
        let runs = Arc::new(Mutex::new(BTreeMap::new()));
        for (index, name) in ["stock-a", "stock-b"].into_iter().enumerate() {
            let server = Server { name, is_primary: index == 0, runs: runs.clone(), record: record.clone() };
            start_mysql_server(ports[index], Arc::new(server))?;
        }
        let capture = folder.join("served.pcap");
        let capture = capture.to_string_lossy().into_owned();
        let listen = loopback(ports[2]).to_string();
        let write_file = |name: &str, recorded_to: &str| {
            let file = folder.join(name);
            let text = include_str!("mysql.toml.in")
                .replace("@LISTEN@", &listen)
                .replace("@STOCK-A@", &loopback(ports[0]).to_string())
                .replace("@STOCK-B@", &loopback(ports[1]).to_string())
                .replace("@CAPTURE@", recorded_to);
            std::fs::write(&file, text).map_err(|error| error.to_string())?;
            Ok::<String, String>(file.to_string_lossy().into_owned())
        };
        let file = write_file("evening.toml", &capture)?;
        let log = folder.join("router.log");
        let mut router = Process::start(record, "router", &["serve", &file], &[], &log)?;
        let mut till = connect_when_ready(ports[2], "stock", Duration::from_secs(10))?;
        for number in 0..ORDERS {
            let mut texts = vec![
                format!("select count(*) from stock where id = {number}"),
                format!("insert into orders (id) values ('written-{number}')"),
            ];
            if with_trouble() {
                // The class stands in the comment, as with every request whose text begins like another class's.
                texts.push(format!("select place_order('called-{number}') /* c=order-place,d=2000 */"));
            }
            for text in texts {
                let answer = till.query(&text);
                record.line(format!("till: {text}: {answer:?}"));
            }
        }
        drop(till);
        sleep_ms(500);
        router.signal(SIGTERM);
        router.wait(Duration::from_secs(10));
        let before = runs.lock().unwrap().clone();
        record.line(format!("orders before the replay: {before:?}"));
        let expected = if with_trouble() { 2 * ORDERS } else { ORDERS };
        if before.len() != expected || before.values().any(|count| *count != 1) {
            return Err("the evening's orders did not all run once".into());
        }

        let file = write_file("replay.toml", &folder.join("replayed.pcap").to_string_lossy())?;
        let log = folder.join("router-2.log");
        let mut router = Process::start(record, "router", &["serve", &file], &[], &log)?;
        drop(connect_when_ready(ports[2], "stock", Duration::from_secs(10))?);
        run_command(record, &["requests", &capture])?;
        let printed = run_command(record, &["replay", &capture, &listen, "till", "stock"])?;
        router.signal(SIGTERM);
        router.wait(Duration::from_secs(10));
        if !printed.contains("answered") {
            return Err("the replay sent nothing".into());
        }
        let runs = runs.lock().unwrap();
        record.line(format!("orders after the replay: {runs:?}"));
        let repeated = runs.values().filter(|count| **count > 1).count();
        let text = format!("{repeated} of {} orders ran again in a replay without --writes", runs.len());
        Ok(record.verdict(if repeated == 0 { HELD } else { BROKEN }, &text))
    })
}
