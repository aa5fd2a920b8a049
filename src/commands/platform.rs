//! One of the platform's routers, told by the environment.
use super::Error;
use crate::signals;
use admin::{AdminLimits, AdminServer, AdminService, ServiceDependencies};
use clients::{ClientListener, ClientServer, ServerCommand};
use crossbeam_channel::{Sender, bounded};
use routing::{Clock, EndpointsHandle, Metrics, RouterHandle};
use settings::operator::Log;
use settings::start::Start;
use std::path::PathBuf;
use std::sync::Arc;

/// Orders to the clients that wait: few come at a time.
const ORDERS: usize = 64;

/// The operators' door, bound before anything else: a second process that can't have it must not come to serve.
struct Operated {
    door: AdminServer,
    figures: Arc<Metrics>,
}

impl Operated {
    fn open(start: &Start) -> Result<Option<Operated>, Error> {
        let Some(at) = start.admin else { return Ok(None) };
        let l = &start.limits;
        let bounds = AdminLimits {
            max_connections: l.door_callers,
            max_line_bytes: l.door_line_bytes,
            io_timeout: l.door_patience,
            thread_stack_bytes: l.stack_bytes,
        };
        let door = AdminServer::bind(at, bounds)?;
        let figures = Metrics::new(&start.names.classes).map_err(|e| Error::Figures(e.into()))?;
        Ok(Some(Operated { door, figures }))
    }

    /// The desk behind the door; calls are answered from now on.
    fn serve(
        self,
        start: &Start,
        list: &EndpointsHandle,
        front: Arc<postgres::front::Front>,
        handle: RouterHandle<postgres::link::Postgres>,
        orders: Sender<ServerCommand>,
        clients: &Arc<ClientServer<postgres::front::Front>>,
    ) -> Result<Arc<AdminService>, Error> {
        let (shared, drained) = (clients.clone(), clients.clone());
        let parts = ServiceDependencies {
            metrics: self.figures,
            endpoints: list.clone(),
            client_orders: orders,
            set_draining: Box::new(move |yes| drained.set_draining(yes)),
            accepting: clients.accepting(),
            set_process_count: Box::new(move |n| {
                shared.set_process_count(n as usize);
                handle.set_process_count(n);
                front.sharing(n);
            }),
            clock: Clock::new(),
            limits: Arc::new(start.limits.clone()),
        };
        // What outlives a process, in a folder of this router's own: several may share one $TMPDIR.
        let name: String =
            start.name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        let folder = std::env::var_os("TMPDIR").map(|t| PathBuf::from(t).join(format!("damsonvale-{name}")));
        let desk = Arc::new(AdminService::open(parts, folder.as_deref()));
        self.door.serve(desk.clone())?;
        Ok(desk)
    }
}

/// Serves the platform until SIGTERM.
pub fn run() -> Result<(), Error> {
    let env = |name: &str| std::env::var(name).ok();
    // Unset, the log is as it always was: lines for the pager, nothing for each request.
    let level = env("DAMSONVALE_LOG").unwrap_or_else(|| Log::default().level);
    crate::log::start(&Log { level, ..Log::default() });
    let path = env("BALANCER_CONFIG").ok_or(Error::NoConfig)?;
    let file = PathBuf::from(&path);
    let signals = signals::note()?;
    let faulty = |source| Error::Settings { path: PathBuf::from(&path), source };
    let start = settings::start::read(&super::read(&file)?, &env).map_err(faulty)?;
    let limits = Arc::new(start.limits.clone());
    tracing::debug!("settings {:?}", start.settings);
    tracing::debug!("said {}", start.said);
    let passed = env("BALANCER_PASSED_SOCKET").filter(|x| !x.is_empty());
    let passed = passed.map(|fd| ClientListener::from_inherited_descriptor(&fd)).transpose()?;
    let operated = Operated::open(&start)?;

    let core = routing::RouterBuilder {
        protocol: postgres::link::Postgres::new(limits.clone()),
        settings: start.settings.clone(),
        seed: start.seed,
        limits: limits.clone(),
        clock: Clock::new(),
        responded: None,
        metrics: operated.as_ref().map(|o| o.figures.clone()),
        placement: None,
    };
    let (handle, list) = core.start().map_err(Error::Core)?;
    let front =
        postgres::front::Front::new(handle.clone(), limits.clone(), &start.names.classes, &start.settings);
    let clients = ClientServer::new(front.clone(), limits.clone());
    let (to, orders) = bounded(ORDERS);
    // What is held by hand stands before the first list does.
    let desk = operated.map(|o| o.serve(&start, &list, front, handle, to.clone(), &clients)).transpose()?;
    let mut reader = discovery::entries::Reader::new(start.names.zones.clone());
    if !start.known.is_null() {
        let mut known = reader.news(&start.known).map_err(|e| faulty(e.at("known")))?;
        known.complete = true;
        list.notify(known);
    }
    let watch = discovery::Watch::new(start.names.zones.clone(), limits.clone(), list.clone());
    watch.follow(start.discovery).map_err(Error::Watch)?;
    // What the agent has binds from the first moment, whatever `known` says; one that is silent is not waited for long.
    if !watch.first(limits.watch_first) {
        tracing::warn!("discovery: nothing heard yet, starting with the list known from before");
    }
    // Where the machine is that busy, it starts all the same.
    if !list.wait_until_applied(limits.watch_first) {
        tracing::warn!("list: not taken yet, starting without it");
    }
    let listening = match passed {
        Some(passed) => {
            let at = passed.local_addr().map_err(Error::PassedAddress)?;
            tracing::info!("{}: listening on {at}", start.name);
            passed
        }
        None => ClientListener::Exclusive(super::listen(&start.name, &start.listen)?),
    };
    let mut at = start.discovery;
    let reload = move || {
        let reload = settings::start::reload(&super::read(&file)?, &start)
            .map_err(|source| Error::Settings { path: file.clone(), source })?;
        if reload.discovery != at {
            watch.follow(reload.discovery).map_err(Error::Watch)?;
            at = reload.discovery;
            tracing::info!("discovery: the watch moves to {at}");
        }
        Ok(reload.restart)
    };
    let leaves = desk.clone();
    let end = move || {
        leaves.iter().for_each(|desk| desk.announce_shutdown());
        // Operators' orders may fill the queue while the program still starts: the end must not be lost with them.
        _ = to.send(ServerCommand::Shutdown);
    };
    signals::obey(signals, limits.module_stack_bytes, reload, end)?;
    if let Some(desk) = desk {
        desk.start_sync().map_err(|source| Error::Thread { what: "holds", source })?;
    }
    clients.serve(listening, &orders).map_err(Error::Front)
}
