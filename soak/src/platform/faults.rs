//! Starts and ends faults on the platform's routers and in their environment.
use super::run::{Run, server_id};
use super::schedule::{DelayedEffect, Schedule, Step};
use crate::environment::clients::ClientFaults;
use crate::environment::discovery::{ADDRESSES_PER_AGENT, AgentFault, Endpoint, EndpointState};
use crate::environment::link::{LinkFault, LinkId};
use crate::environment::servers::ServerFaults;
use crate::fault::{FaultKind, PlannedFault};
use crate::history::{AbsenceReason, DiscoveryOutage, Withdrawal};
use crate::time::{MILLISECOND, Micros, SECOND};
use fault_control::{ControlFile, Fault, FaultRate};
use nix::sys::signal::Signal;
use std::io;

/// How long after the end of a discovery fault a router may still not know a change.
const OUTAGE_AFTER_FAULT: Micros = 6 * SECOND;
/// How long a router may not know a change after a new configuration has switched it to the next address of
/// its discovery agent.
const OUTAGE_AFTER_ADDRESS_CHANGE: Micros = 4 * SECOND;
/// The delay between the start of a server process and the updated start time in the endpoint list.
const LISTING_DELAY: Micros = 200 * MILLISECOND;
/// The delay between a primary's hang and the election of a replica.
const ELECTION_DELAY: Micros = 700 * MILLISECOND;
/// The interval between two configuration reloads of one fault.
const RELOAD_INTERVAL: Micros = 30 * MILLISECOND;
/// The index of the last reload of a fault, counted from 0.
const LAST_RELOAD_ROUND: u8 = 5;
/// A configuration with invalid JSON.
const INVALID_CONFIG: &str = "{\"name\": \"n";
/// The delay of each line of a slow discovery agent.
const LINE_WAIT: Micros = 400 * MILLISECOND;
/// The delay of requests on a slow link.
const LINK_DELAY: Micros = 120 * MILLISECOND;
/// The number of response bytes after which a link resets a connection.
const LINK_RESET_AFTER: usize = 37;
/// The number of requests that clients pipeline.
const PIPELINED_REQUESTS: usize = 4;
/// The number of additional clients in a flood.
const FLOOD_CLIENTS: usize = 80;
/// The delay between a client's connect and its first request: almost as long as a router that shuts down waits for
/// the first request of a new connection.
const FIRST_REQUEST_DELAY: Micros = 285 * MILLISECOND;
/// The probability, per thousand requests, that a client disconnects before the response.
const DISCONNECT_PROBABILITY: u32 = 150;
/// The probability, per thousand requests, that a client cancels the request.
const CANCEL_PROBABILITY: u32 = 50;
/// The probability, per thousand requests, that a client stalls in the middle of a message.
const STALL_PROBABILITY: u32 = 60;
/// The failure rates of system calls, per million calls.
const SYSCALL_RATES: [FaultRate; 6] = [
    FaultRate::per_million(Fault::Accept, 50_000),
    FaultRate::per_million(Fault::Socket, 50_000),
    FaultRate::per_million(Fault::Connect, 50_000),
    FaultRate::per_million(Fault::Interrupt, 20_000),
    FaultRate::per_million(Fault::ShortTransfer, 100_000),
    FaultRate::per_million(Fault::ConnectionLoss, 5_000),
];
/// The failure rate of thread starts, per million calls.
const THREAD_RATE: u64 = 600_000;
/// The failure rate of file writes, per million calls.
const DISK_RATE: u64 = 500_000;

impl Run<'_> {
    /// Executes a step of the schedule.
    pub(super) fn execute_step(&mut self, step: &Step, schedule: &mut Schedule) -> io::Result<()> {
        match step {
            Step::Begin(fault) => self.begin(fault, schedule),
            Step::End(fault) => self.end(fault, schedule),
            Step::DelayedEffect(effect, fault) => self.apply_effect(*effect, fault, schedule),
        }
    }

    fn begin(&mut self, fault: &PlannedFault, schedule: &mut Schedule) -> io::Result<()> {
        let PlannedFault { router, server, .. } = *fault;
        let now = self.clock.now();
        match fault.kind {
            FaultKind::Term => self.end_router(router, Signal::SIGTERM, AbsenceReason::ShutDown),
            FaultKind::Kill => self.end_router(router, Signal::SIGKILL, AbsenceReason::Killed),
            FaultKind::PauseShort | FaultKind::PauseLong => self.pause(router),
            FaultKind::Reload => self.reload(0, fault, schedule)?,
            FaultKind::DiscoverySilent => {
                self.set_agent_fault(fault, AgentFault::SilentBefore(now), now + OUTAGE_AFTER_FAULT);
            }
            FaultKind::DiscoveryDown => self.set_agent_fault(fault, AgentFault::Down, Micros::MAX),
            FaultKind::DiscoverySlow => self.set_agent_fault(fault, AgentFault::Slow(LINE_WAIT), Micros::MAX),
            FaultKind::Drain => self.withdraw_server(server),
            FaultKind::ServerRestart => self.servers.crash(server, now),
            FaultKind::ServerHang => self.change_server(server, |faults| faults.hangs = true),
            FaultKind::ServerReset => self.change_server(server, |faults| faults.resets_connections = true),
            FaultKind::ServerGarbage => self.change_server(server, |faults| faults.sends_garbage = true),
            FaultKind::ServerLag => self.change_server(server, |faults| faults.replication_stopped = true),
            FaultKind::Failover => {
                self.change_server(server, |faults| faults.hangs = true);
                schedule.add(now + ELECTION_DELAY, Step::DelayedEffect(DelayedEffect::ElectPrimary, *fault));
            }
            FaultKind::LinkCut => self.change_links(fault, |link| {
                link.blocks_requests = true;
                link.blocks_responses = true;
            }),
            FaultKind::LinkDeaf => self.change_links(fault, |link| link.blocks_responses = true),
            FaultKind::LinkDelay => self.change_links(fault, |link| link.request_delay = LINK_DELAY),
            FaultKind::LinkReset => {
                self.change_links(fault, |link| link.reset_after = Some(LINK_RESET_AFTER));
            }
            FaultKind::LinkTrickle => self.change_links(fault, |link| link.trickles = true),
            FaultKind::LinkForget => self.forget_connections(fault),
            FaultKind::ClientsLeave => self.change_clients(|clients| {
                clients.disconnect = DISCONNECT_PROBABILITY;
                clients.cancel = CANCEL_PROBABILITY;
            }),
            FaultKind::ClientsStall => self.change_clients(|clients| clients.stall = STALL_PROBABILITY),
            FaultKind::ClientsPipeline => {
                self.change_clients(|clients| clients.pipelined = PIPELINED_REQUESTS);
            }
            FaultKind::ClientsFlood => self.change_clients(|clients| clients.flood = FLOOD_CLIENTS),
            FaultKind::ClientsHesitate => {
                self.change_clients(|clients| clients.first_request_delay = Some(FIRST_REQUEST_DELAY));
            }
            FaultKind::ClockAll => self.step_all_clocks(fault.clock_step_seconds * SECOND)?,
            FaultKind::ClockOne => {
                self.control(router).set_clock_offset(fault.clock_step_seconds * SECOND)?;
            }
            FaultKind::Syscalls => self.control(router).set_fault_rates(&SYSCALL_RATES)?,
            FaultKind::Threads => self.control(router).set_fault_rate(Fault::ThreadStart, THREAD_RATE)?,
            FaultKind::Disk => self.control(router).set_fault_rate(Fault::FileWrite, DISK_RATE)?,
            FaultKind::Maintenance => self.put_in_maintenance(fault),
        }
        Ok(())
    }

    fn end(&mut self, fault: &PlannedFault, schedule: &mut Schedule) -> io::Result<()> {
        let PlannedFault { router, server, .. } = *fault;
        let now = self.clock.now();
        match fault.kind {
            FaultKind::PauseShort | FaultKind::PauseLong => self.resume(router),
            FaultKind::DiscoveryDown | FaultKind::DiscoverySlow => {
                self.set_agent_fault(fault, AgentFault::None, now + OUTAGE_AFTER_FAULT);
            }
            FaultKind::Drain => self.replace_server(server),
            FaultKind::ServerRestart => {
                self.servers.restart(server);
                self.record_server_start(server);
                schedule.add(now + LISTING_DELAY, Step::DelayedEffect(DelayedEffect::ListStart, *fault));
            }
            FaultKind::ServerHang | FaultKind::Failover => {
                self.change_server(server, |faults| faults.hangs = false);
            }
            FaultKind::ServerReset => self.change_server(server, |faults| faults.resets_connections = false),
            FaultKind::ServerGarbage => self.change_server(server, |faults| faults.sends_garbage = false),
            FaultKind::ServerLag => self.change_server(server, |faults| faults.replication_stopped = false),
            FaultKind::LinkCut
            | FaultKind::LinkDeaf
            | FaultKind::LinkDelay
            | FaultKind::LinkReset
            | FaultKind::LinkTrickle => self.change_links(fault, |link| *link = LinkFault::default()),
            FaultKind::ClientsLeave => self.change_clients(|clients| {
                clients.disconnect = 0;
                clients.cancel = 0;
            }),
            FaultKind::ClientsStall => self.change_clients(|clients| clients.stall = 0),
            FaultKind::ClientsPipeline => self.change_clients(|clients| clients.pipelined = 0),
            FaultKind::ClientsFlood => self.change_clients(|clients| clients.flood = 0),
            FaultKind::ClientsHesitate => self.change_clients(|clients| clients.first_request_delay = None),
            FaultKind::ClockAll => self.step_all_clocks(0)?,
            FaultKind::ClockOne => self.control(router).set_clock_offset(0)?,
            FaultKind::Syscalls | FaultKind::Threads | FaultKind::Disk => {
                self.control(router).clear_faults()?;
            }
            FaultKind::Maintenance => self.end_maintenance(fault),
            // Nothing to undo. Connections of a silent agent stay silent, so the router has to open new ones.
            FaultKind::Term
            | FaultKind::Kill
            | FaultKind::Reload
            | FaultKind::LinkForget
            | FaultKind::DiscoverySilent => {}
        }
        Ok(())
    }

    fn apply_effect(
        &mut self,
        effect: DelayedEffect,
        fault: &PlannedFault,
        schedule: &mut Schedule,
    ) -> io::Result<()> {
        match effect {
            DelayedEffect::ListStart => self.update_listed_start(fault.server),
            DelayedEffect::ElectPrimary => {
                self.servers.fail_over(fault.server, self.clock.now());
                self.update_listed_roles(fault.server);
            }
            DelayedEffect::ReloadAgain { reload_round } => self.reload(reload_round, fault, schedule)?,
        }
        Ok(())
    }

    fn control(&self, router: usize) -> &ControlFile {
        self.routers[router].instance.control()
    }

    fn pause(&mut self, router: usize) {
        let router_state = &mut self.routers[router];
        if router_state.is_running() {
            router_state.instance.set_absent(AbsenceReason::Paused);
            router_state.instance.signal(Signal::SIGSTOP);
        }
    }

    fn resume(&mut self, router: usize) {
        let router_state = &mut self.routers[router];
        router_state.instance.signal(Signal::SIGCONT);
        if router_state.is_running() {
            router_state.instance.set_present();
        }
    }

    /// Returns the routers that a fault of links or agents affects.
    fn affected_routers(&self, fault: &PlannedFault) -> Vec<usize> {
        if fault.affects_all_routers() { (0..self.routers.len()).collect() } else { vec![fault.router] }
    }

    /// Sets the fault of the affected agents and records the resulting discovery outage of their routers.
    fn set_agent_fault(&self, fault: &PlannedFault, agent_fault: AgentFault, outage_to: Micros) {
        let now = self.clock.now();
        for router in self.affected_routers(fault) {
            self.agents.set_fault(router, agent_fault);
            let mut history = self.recorder.lock();
            let outages = history.discovery_outages.iter_mut();
            let lasting_outages =
                outages.filter(|outage| outage.router == router && outage.to == Micros::MAX);
            lasting_outages.for_each(|outage| outage.to = now + OUTAGE_AFTER_FAULT);
            history.discovery_outages.push(DiscoveryOutage { router, from: now, to: outage_to });
        }
    }

    fn change_server(&self, server: usize, change: impl FnOnce(&mut ServerFaults)) {
        change(&mut self.servers.lock().servers[server].faults);
    }

    fn change_links(&self, fault: &PlannedFault, change: impl Fn(&mut LinkFault)) {
        let mut state = self.servers.lock();
        for router in self.affected_routers(fault) {
            change(state.link_fault_mut(LinkId { router, server: fault.server }));
        }
    }

    fn forget_connections(&self, fault: &PlannedFault) {
        let now = self.clock.now();
        for router in self.affected_routers(fault) {
            self.servers.lock().forget_connections(router, now);
        }
    }

    fn change_clients(&self, change: impl FnOnce(&mut ClientFaults)) {
        if let Some(clients) = &self.clients {
            clients.change_faults(change);
        }
    }

    fn step_all_clocks(&self, offset: Micros) -> io::Result<()> {
        self.clock.set_offset(offset);
        self.routers.iter().try_for_each(|router| router.instance.control().set_clock_offset(offset))
    }

    /// Lists a server as terminating, so that it receives no new requests.
    fn withdraw_server(&self, server: usize) {
        let Some(listed) = self.agents.endpoint_of(server) else { return };
        let notified_at = self.agents.change(Endpoint { state: EndpointState::Terminating, ..listed });
        let withdrawal = Withdrawal { server, router: None, notified_at, until: Micros::MAX };
        self.recorder.lock().withdrawals.push(withdrawal);
    }

    /// Removes a drained server from the list and replaces it with a cold server under another id.
    fn replace_server(&mut self, server: usize) {
        let Some(listed) = self.agents.endpoint_of(server) else { return };
        let now = self.clock.now();
        let was_primary = self.servers.lock().servers[server].primary;
        if was_primary {
            self.servers.fail_over(server, now);
            self.update_listed_roles(server);
        }
        self.agents.change(Endpoint { state: EndpointState::Terminated, ..listed.clone() });
        self.servers.crash(server, now);
        self.servers.restart(server);
        self.record_server_start(server);
        let replaced_at = self.list_replacement(server, listed);
        let mut history = self.recorder.lock();
        let withdrawals = history.withdrawals.iter_mut().filter(|w| w.server == server && w.router.is_none());
        withdrawals.filter(|w| w.until == Micros::MAX).for_each(|w| w.until = replaced_at);
    }

    /// Lists a server that replaces another one and returns the time of the change.
    fn list_replacement(&mut self, server: usize, replaced: Endpoint) -> Micros {
        self.generations[server] += 1;
        let primary = self.servers.lock().servers[server].primary;
        self.agents.change(Endpoint {
            id: server_id(server, self.generations[server]),
            state: EndpointState::InService,
            primary,
            started_ms: self.last_start_ms(server),
            ..replaced
        })
    }

    fn update_listed_start(&self, server: usize) {
        let started_ms = self.last_start_ms(server);
        if let Some(listed) = self.agents.endpoint_of(server) {
            self.agents.change(Endpoint { started_ms, ..listed });
        }
    }

    /// Returns when a server last started during the run, in milliseconds of the wall clock; 0 if it did not.
    fn last_start_ms(&self, server: usize) -> i64 {
        let history = self.recorder.lock();
        let start = history.server_starts.iter().rev().find(|start| start.server == server);
        start.map_or(0, |start| self.clock.wall_clock_micros(start.at) / MILLISECOND)
    }

    /// Updates the endpoint list with the current roles of a server's group.
    fn update_listed_roles(&self, server: usize) {
        let servers = self.servers.lock().servers.clone();
        let group = servers[server].group;
        for (index, member) in servers.iter().enumerate().filter(|(_, member)| member.group == group) {
            let Some(listed) = self.agents.endpoint_of(index) else { continue };
            if listed.primary != member.primary {
                self.agents.change(Endpoint { primary: member.primary, ..listed });
            }
        }
    }

    /// Writes a configuration and sends SIGHUP. Valid and invalid configurations alternate; each valid one
    /// names the next address of the router's discovery agent, and the last configuration is valid.
    fn reload(&mut self, reload_round: u8, fault: &PlannedFault, schedule: &mut Schedule) -> io::Result<()> {
        let (router, now) = (fault.router, self.clock.now());
        let is_valid = !reload_round.is_multiple_of(2);
        if is_valid {
            self.switch_agent_address(router, now)?;
        } else {
            std::fs::write(&self.routers[router].config, INVALID_CONFIG)?;
        }
        let router_state = &mut self.routers[router];
        if router_state.is_running() {
            router_state.instance.signal(Signal::SIGHUP);
        }
        if reload_round < LAST_RELOAD_ROUND {
            let again = DelayedEffect::ReloadAgain { reload_round: reload_round + 1 };
            schedule.add(now + RELOAD_INTERVAL, Step::DelayedEffect(again, *fault));
        }
        Ok(())
    }

    fn switch_agent_address(&mut self, router: usize, now: Micros) -> io::Result<()> {
        let router_state = &mut self.routers[router];
        router_state.agent_address = (router_state.agent_address + 1) % ADDRESSES_PER_AGENT;
        self.write_config(router)?;
        let outage = DiscoveryOutage { router, from: now, to: now + OUTAGE_AFTER_ADDRESS_CHANGE };
        self.recorder.lock().discovery_outages.push(outage);
        Ok(())
    }
}
