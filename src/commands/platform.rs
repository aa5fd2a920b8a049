//! One of the platform's routers, told by the environment.
use crate::signals;
use settings::operator::Log;
use std::path::PathBuf;
use std::sync::Arc;

/// Serves the platform until SIGTERM.
pub fn run() -> Result<(), String> {
    let env = |name: &str| std::env::var(name).ok();
    // Unset, the log is as it always was: lines for the pager, nothing for each request.
    let level = env("DAMSONVALE_LOG").unwrap_or_else(|| Log::default().level);
    crate::log::start(&Log { level, ..Log::default() });
    let path = env("BALANCER_CONFIG").ok_or("BALANCER_CONFIG: expected the path of the configuration")?;
    let file = PathBuf::from(&path);
    let signals = signals::note()?;
    let start = settings::start::read(&super::read(&file)?, &env).map_err(|e| format!("{path}: {e}"))?;
    let limits = Arc::new(start.limits.clone());
    tracing::debug!("settings {:?}", start.settings);
    tracing::debug!("said {}", start.said);

    let core = routing::Start {
        wire: postgres::link::Postgres::new(limits.clone()),
        settings: start.settings.clone(),
        seed: start.seed,
        limits: limits.clone(),
        clock: routing::Clock::new(),
        answered: None,
    };
    let (handle, list) = core.run().map_err(|e| format!("the core does not start: {e}"))?;
    let mut reader = discovery::entries::Reader::new(start.names.zones.clone());
    if !start.known.is_null() {
        let mut known = reader.news(&start.known).map_err(|e| format!("{path}: known: {e}"))?;
        known.complete = true;
        list.tell(known);
    }
    let watch = discovery::Watch::new(start.names.zones.clone(), limits.clone(), list);
    watch.follow(start.discovery).map_err(|e| format!("no watch: {e}"))?;
    let listener = super::listen(&start.name, &start.listen)?;
    let front = postgres::front::Front::new(handle, limits.clone(), &start.names.classes, &start.settings);
    let mut at = start.discovery;
    let stop = signals::obey(signals, limits.module_stack_bytes, move || {
        let reload =
            settings::start::reload(&super::read(&file)?, &start).map_err(|e| format!("{path}: {e}"))?;
        if reload.discovery != at {
            watch.follow(reload.discovery).map_err(|e| format!("no watch: {e}"))?;
            at = reload.discovery;
            tracing::info!("discovery: the watch moves to {at}");
        }
        Ok(reload.restart)
    })?;
    clients::Clients::new(front, limits).serve(listener, &stop).map_err(|e| format!("the front ended: {e}"))
}
