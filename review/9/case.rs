//! One of three routers that share a store is killed and restarts from nothing, while the others run.
#[path = "../standins-2/common.rs"]
mod common;
use common::*;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

const NODES: usize = 3;
/// The longest time that the pages give a router to be ready.
const READY: Duration = Duration::from_secs(30);

struct Server {
    is_primary: bool,
}

impl Behaviour for Server {
    fn statement(&self, _: &mut ServerSession, sent: &str) -> Reply {
        if !sent.contains("read_only") {
            return Reply::one("n", 1);
        }
        let row = vec![Some(u8::from(!self.is_primary).to_string()), Some(unix_ms().to_string())];
        Reply::Rows { columns: vec!["ro".into(), "heartbeat".into()], rows: vec![row] }
    }
}

struct Node {
    name: String,
    port: u16,
    control: String,
    file: PathBuf,
    folder: PathBuf,
    log: PathBuf,
}

impl Node {
    fn start(&self, record: &Arc<Record>) -> Result<Process, String> {
        let file = self.file.to_string_lossy().into_owned();
        Process::start(record, &self.name, &["serve", &file], &[], &self.log)
    }

    /// Whether the router serves a read, which every other request of a client needs as well: a list of servers.
    fn serves(&self, record: &Record) -> bool {
        let answer = match MysqlClient::connect(loopback(self.port), "till", "stock") {
            Ok(mut client) => client.query("select 1 from stock"),
            Err(error) => Answer::Broken(error),
        };
        record.line(format!("client of {}: read: {answer:?}", self.name));
        matches!(answer, Answer::Rows(_))
    }
}

fn nodes(folder: &Path) -> Result<Vec<Node>, String> {
    let ports = free_ports(2 + 3 * NODES)?;
    for (index, port) in ports[..2].iter().enumerate() {
        start_mysql_server(*port, Arc::new(Server { is_primary: index == 0 }))?;
    }
    let at = |index: usize| loopback(ports[index]).to_string();
    (0..NODES)
        .map(|index| {
            let (own, name) = (2 + 3 * index, format!("router-{}", index + 1));
            let store = folder.join(&name).join("store");
            std::fs::create_dir_all(&store).map_err(|error| error.to_string())?;
            let text = include_str!("mysql.toml.in")
                .replace("@LISTEN@", &at(own))
                .replace("@CONTROL@", &at(own + 1))
                .replace("@NODE@", &(index + 1).to_string())
                .replace("@FOLDER@", &store.to_string_lossy())
                .replace("@STOCK-A@", &at(0))
                .replace("@STOCK-B@", &at(1))
                .replace("@PEER-1@", &at(4))
                .replace("@PEER-2@", &at(7))
                .replace("@PEER-3@", &at(10));
            let file = folder.join(format!("{name}.toml"));
            std::fs::write(&file, text).map_err(|error| error.to_string())?;
            let log = folder.join(format!("{name}.log"));
            Ok(Node { name, port: ports[own], control: at(own + 1), file, folder: store, log })
        })
        .collect()
}

fn main() {
    run_case(|record, folder| {
        let nodes = nodes(folder)?;
        let mut processes = Vec::new();
        for node in &nodes {
            processes.push(node.start(record)?);
        }
        for node in &nodes {
            if !wait_until(Duration::from_secs(15), || node.serves(record)) {
                return Err(format!("{} does not serve at the start", node.name));
            }
        }
        let status = run_command(record, &["ctl", &nodes[0].control, "status"])?;
        let leader = (1..=NODES).find(|node| status.contains(&format!("\"leader\":{node},")));
        let leader = leader.ok_or("the store has no leader")?;
        // The router that follows the leader in the list, so that the leader stays the same.
        let lost = leader % NODES;
        if with_trouble() {
            processes[lost].signal(SIGKILL);
            processes[lost].wait(Duration::from_secs(5));
            std::fs::remove_dir_all(&nodes[lost].folder).map_err(|error| error.to_string())?;
            sleep_ms(500);
            processes[lost] = nodes[lost].start(record)?;
        }
        let mut is_ready = wait_until(READY, || nodes[lost].serves(record));
        // It has to go on serving, and its node of the store has to take part again.
        sleep_ms(2000);
        is_ready &= nodes[lost].serves(record);
        run_command(record, &["ctl", &nodes[lost].control, "status"])?;
        let listed = run_command(record, &["ctl", &nodes[lost].control, "list", "server/"])?;
        let has_list = listed.contains("stock-a") && listed.contains("stock-b");
        let log = std::fs::read_to_string(&nodes[lost].log).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains("panicked") || line.contains("out of range")) {
            // Without the place in the source, which names the machine's folders.
            let line = line.split(" at /").next().unwrap_or("");
            record.line(format!("log of {}: {line}", nodes[lost].name));
        }
        for (node, process) in nodes.iter().zip(&mut processes) {
            if !process.is_running() {
                return Ok(record.verdict(BROKEN, &format!("{} ended by itself", node.name)));
            }
        }
        for process in &mut processes {
            process.signal(SIGTERM);
        }
        for process in &mut processes {
            process.wait(Duration::from_secs(10));
        }
        let name = &nodes[lost].name;
        if is_ready && has_list {
            return Ok(record.verdict(HELD, &format!("{name} serves, with the list of the store")));
        }
        let text = format!(
            "{name} is not ready {} s after its restart: reads served: {is_ready}, list of the store: {has_list}",
            READY.as_secs()
        );
        Ok(record.verdict(BROKEN, &text))
    })
}
