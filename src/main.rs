//! One router: reads its configuration, starts the core, the list and a front, and ends on SIGTERM.
//!
//! Without arguments it is one of the platform's routers; with the path of an operator's file it serves MySQL.
use routing::{Entry, GroupId, ListNews, MemberState};
use settings::operator::Operator;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;

fn run() -> Result<(), String> {
    let mut arguments = std::env::args().skip(1);
    match (arguments.next(), arguments.next()) {
        (None, _) => platform(),
        (Some(path), None) => {
            let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: cannot be read: {e}"))?;
            mysql(settings::operator::read(&text).map_err(|e| format!("{path}: {e}"))?)
        }
        _ => Err("usage: damsonvale [FILE.toml]".to_string()),
    }
}

fn listen(name: &str, at: &str) -> Result<TcpListener, String> {
    let failed = |e| format!("listen: {at}: {e}");
    let listener = TcpListener::bind(at).map_err(failed)?;
    eprintln!("{name}: listening on {}", listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// Serves MySQL as an operator's file says.
fn mysql(operator: Operator) -> Result<(), String> {
    let Operator { mysql, settings, limits } = operator;
    let (mysql, limits) = (Arc::new(mysql), Arc::new(limits));
    let stop = signals().map_err(|e| format!("no signals: {e}"))?;
    let seed = u64::from(std::process::id()) ^ routing::Clock::new().now().0 as u64;
    let wire = mysql_wire::link::Mysql::new(mysql.clone(), limits.clone());
    let core = routing::Start { wire, settings, seed, limits: limits.clone() };
    let (handle, list) = core.run().map_err(|e| format!("the core does not start: {e}"))?;
    let entry = |s: &settings::operator::Server| Entry {
        id: s.id.clone(),
        addr: s.addr,
        group: GroupId(s.group),
        zone: 0,
        state: MemberState::Ready,
        // Who is primary, the servers say themselves when they are probed.
        primary: false,
        weight: s.weight,
        started: None,
    };
    let entries = mysql.servers.iter().map(entry).collect();
    list.tell(ListNews { version: 1, complete: true, entries });
    let listener = listen("mysql", &mysql.listen)?;
    let front = mysql_wire::front::Front::new(handle, mysql, limits.clone(), None);
    clients::Clients::new(front, limits).serve(listener, &stop).map_err(|e| format!("the front ended: {e}"))
}

/// Serves the platform.
fn platform() -> Result<(), String> {
    let env = |name: &str| std::env::var(name).ok();
    let path = env("BALANCER_CONFIG").ok_or("BALANCER_CONFIG: expected the path of the configuration")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: cannot be read: {e}"))?;
    let start = settings::start::read(&text, &env).map_err(|e| format!("{path}: {e}"))?;
    let limits = Arc::new(start.limits);
    let addr = start.discovery.parse();
    let addr = addr.map_err(|_| format!("discovery: expected ip:port, found '{}'", start.discovery))?;
    let stop = signals().map_err(|e| format!("no signals: {e}"))?;

    let core = routing::Start {
        wire: postgres::link::Postgres::new(limits.clone()),
        settings: start.settings,
        seed: start.seed,
        limits: limits.clone(),
    };
    let (handle, list) = core.run().map_err(|e| format!("the core does not start: {e}"))?;
    let mut reader = discovery::entries::Reader::new(start.names.zones.clone());
    if !start.known.is_null() {
        let mut known = reader.news(&start.known).map_err(|e| format!("{path}: known: {e}"))?;
        known.complete = true;
        list.tell(known);
    }
    discovery::watch(addr, start.names.zones, limits.clone(), list).map_err(|e| format!("no watch: {e}"))?;
    let listener = listen(&start.name, &start.listen)?;
    let front = postgres::front::Front::new(handle, limits.clone(), &start.names.classes);
    clients::Clients::new(front, limits).serve(listener, &stop).map_err(|e| format!("the front ended: {e}"))
}

/// A channel that gets a message when the program is asked to end.
fn signals() -> std::io::Result<crossbeam_channel::Receiver<()>> {
    let (to, stop) = crossbeam_channel::bounded(1);
    let mut signals =
        signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    routing::spawn("signals", 64 * 1024, move || {
        for _ in signals.forever() {
            _ = to.try_send(());
        }
    })?;
    Ok(stop)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("damsonvale: {e}");
            ExitCode::FAILURE
        }
    }
}
