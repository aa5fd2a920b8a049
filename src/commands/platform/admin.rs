//! The operators' address, and what its commands act on.
use super::Router;
use crate::commands::Error;
use ::admin::{AdminLimits, AdminServer, AdminService, ServiceDependencies};
use client_listener::ServerCommand;
use crossbeam_channel::Sender;
use routing::{Clock, Metrics};
use settings::start::PlatformConfig;
use std::path::PathBuf;
use std::sync::Arc;

/// The operators' address, bound before anything else is started: a second process of the same router that can't have
/// it must not come to serve clients.
pub(super) struct AdminListener {
    server: AdminServer,
    /// What the router counts, for its operators to ask.
    pub(super) metrics: Arc<Metrics>,
}

impl AdminListener {
    /// Binds the address that the configuration gives; `None` where it gives none.
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

    /// Answers operators' commands from now on. Commands to the client listener go to `client_commands`.
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
            clock: Clock::new(),
            limits: router.limits.clone(),
        };
        let service = Arc::new(AdminService::open(dependencies, state_folder(&start.name).as_deref()));
        self.server.serve(service.clone())?;
        Ok(service)
    }
}

/// Where state that outlives the process is kept: a folder of this router's own, since several may share one
/// `$TMPDIR`. `None` where there is no `$TMPDIR`.
fn state_folder(router_name: &str) -> Option<PathBuf> {
    let safe = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = router_name.chars().map(safe).collect();
    Some(PathBuf::from(std::env::var_os("TMPDIR")?).join(format!("damsonvale-{name}")))
}
