//! The admin listener and the components on which its commands act.
use super::Router;
use crate::commands::Error;
use ::admin::{AdminLimits, AdminServer, AdminService, ServiceDependencies};
use client_listener::ServerCommand;
use crossbeam_channel::Sender;
use routing::{Clock, Metrics};
use settings::start::PlatformConfig;
use std::path::PathBuf;
use std::sync::Arc;

/// The admin listener. It is bound before anything else is started, so that a second process of the same
/// router that cannot bind the address does not serve clients.
pub(super) struct AdminListener {
    server: AdminServer,
    /// The router's metrics, which the admin listener serves.
    pub(super) metrics: Arc<Metrics>,
}

impl AdminListener {
    /// Binds the configured admin address; returns `None` if none is configured.
    pub(super) fn bind(start: &PlatformConfig) -> Result<Option<AdminListener>, Error> {
        let Some(address) = start.admin_address else { return Ok(None) };
        let limits = &start.limits;
        let limits = AdminLimits {
            max_connections: limits.max_admin_connections,
            max_line_bytes: limits.max_admin_line_bytes,
            io_timeout: limits.admin_io_timeout,
            thread_stack_bytes: limits.socket_thread_stack_bytes,
        };
        let server = AdminServer::bind(address, limits)?;
        let metrics = Metrics::new(&start.names.classes).map_err(|e| Error::Metrics(e.into()))?;
        Ok(Some(AdminListener { server, metrics }))
    }

    /// Starts to serve admin commands. Commands for the client listener are sent to `client_commands`.
    pub(super) fn serve(
        self,
        start: &PlatformConfig,
        router: &Router,
        client_commands: Sender<ServerCommand>,
    ) -> Result<Arc<AdminService>, Error> {
        let draining_clients = router.clients.clone();
        let (clients, front, handle) = (router.clients.clone(), router.front.clone(), router.handle.clone());
        let dependencies = ServiceDependencies {
            metrics: self.metrics,
            endpoints: router.endpoints.clone(),
            client_commands,
            set_draining: Box::new(move |draining| draining_clients.set_draining(draining)),
            accepting: router.clients.accepting(),
            set_process_count: Box::new(move |count| {
                clients.set_process_count(count as usize);
                handle.set_process_count(count);
                front.set_process_count(count);
            }),
            commits: router.commits.clone(),
            clock: Clock::new(),
            limits: router.limits.clone(),
        };
        let service = Arc::new(AdminService::open(dependencies, state_folder(&start.name).as_deref()));
        self.server.serve(service.clone())?;
        Ok(service)
    }
}

/// Returns the folder for state that is retained across restarts. Its name contains the router's name, since
/// several routers may share one `$TMPDIR`. `None` if `$TMPDIR` is not set.
fn state_folder(router_name: &str) -> Option<PathBuf> {
    let safe = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = router_name.chars().map(safe).collect();
    Some(PathBuf::from(std::env::var_os("TMPDIR")?).join(format!("damsonvale-{name}")))
}
