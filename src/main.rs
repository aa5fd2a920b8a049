//! One router: reads its configuration, starts the core, the watch and the front, and ends on SIGTERM.
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;

fn run() -> Result<(), String> {
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
    let listener = TcpListener::bind(&start.listen).map_err(|e| format!("listen: {}: {e}", start.listen))?;
    eprintln!("{}: listening on {}", start.name, start.listen);
    let front = postgres::front::Front::new(handle, limits, &start.names.classes);
    front.serve(listener, &stop).map_err(|e| format!("the front ended: {e}"))
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
