//! Starts and ends faults on the routers of `serve` and in their environment.
use super::run::{Edge, REPLICATION_LAG, Run};
use crate::fault::{FaultKind, PlannedFault};
use crate::history::AbsenceReason;
use crate::time::SECOND;
use fault_control::{ControlFile, Fault, FaultRate};
use nix::sys::signal::Signal;
use std::io;
use std::time::Duration;
use test_servers::proxy::Proxy;

/// The replication lag of a replica under the fault `server_lag`.
const DELAYED_REPLICATION_LAG: Duration = Duration::from_millis(800);
/// The delay of a slow link.
const LINK_DELAY: Duration = Duration::from_millis(100);
/// The failure rates of system calls, per million calls.
const SYSCALL_RATES: [FaultRate; 3] = [
    FaultRate::per_million(Fault::Interrupt, 20_000),
    FaultRate::per_million(Fault::ShortTransfer, 100_000),
    FaultRate::per_million(Fault::Connect, 50_000),
];
/// The failure rates of file writes and syncs, per million calls.
const DISK_RATES: [FaultRate; 2] =
    [FaultRate::per_million(Fault::FileWrite, 300_000), FaultRate::per_million(Fault::FileSync, 300_000)];

impl Run<'_> {
    /// Starts or ends a fault. Kinds that are not drawn for `serve` have no effect.
    pub(super) fn apply(&mut self, fault: &PlannedFault, edge: Edge) -> io::Result<()> {
        let router = fault.router;
        let server = fault.server % self.routers[router].proxies.len();
        match (fault.kind, edge) {
            (FaultKind::Term, Edge::Begin) => {
                self.end_router(router, Signal::SIGTERM, AbsenceReason::ShutDown);
            }
            (FaultKind::Kill, Edge::Begin) => self.end_router(router, Signal::SIGKILL, AbsenceReason::Killed),
            (FaultKind::PauseShort | FaultKind::PauseLong, Edge::Begin) => self.pause(router),
            (FaultKind::PauseShort | FaultKind::PauseLong, Edge::End) => self.resume(router),
            (FaultKind::ServerLag, Edge::Begin) => self.set_lag(server, DELAYED_REPLICATION_LAG),
            (FaultKind::ServerLag, Edge::End) => self.set_lag(server, REPLICATION_LAG),
            (FaultKind::LinkCut, Edge::Begin) => self.proxy(router, server).cut(),
            (FaultKind::LinkDelay, Edge::Begin) => {
                self.proxy(router, server).update_faults(|faults| faults.delay = LINK_DELAY);
            }
            (FaultKind::LinkCut | FaultKind::LinkDelay, Edge::End) => self.proxy(router, server).heal(),
            (FaultKind::ClockOne, Edge::Begin) => {
                self.control(router).set_clock_offset(fault.clock_step_seconds * SECOND)?;
            }
            (FaultKind::ClockOne, Edge::End) => self.control(router).set_clock_offset(0)?,
            (FaultKind::Syscalls, Edge::Begin) => self.control(router).set_fault_rates(&SYSCALL_RATES)?,
            (FaultKind::Disk, Edge::Begin) => self.control(router).set_fault_rates(&DISK_RATES)?,
            (FaultKind::Syscalls | FaultKind::Disk, Edge::End) => self.control(router).clear_faults()?,
            _ => {}
        }
        Ok(())
    }

    fn control(&self, router: usize) -> &ControlFile {
        self.routers[router].instance.control()
    }

    fn proxy(&self, router: usize, server: usize) -> &Proxy {
        &self.routers[router].proxies[server]
    }

    fn pause(&mut self, router: usize) {
        let router_state = &mut self.routers[router];
        router_state.instance.set_absent(AbsenceReason::Paused);
        router_state.instance.signal(Signal::SIGSTOP);
    }

    fn resume(&mut self, router: usize) {
        let router_state = &mut self.routers[router];
        router_state.instance.signal(Signal::SIGCONT);
        if !router_state.is_ending() {
            router_state.instance.set_present();
        }
    }

    /// Sets the replication lag of a replica. The first server is the primary and has none.
    fn set_lag(&self, server: usize, lag: Duration) {
        if server > 0 {
            self.replication_group.set_lag(server, lag);
        }
    }
}
