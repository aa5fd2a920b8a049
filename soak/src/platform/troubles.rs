//! What each trouble does to the platform's routers and to their world, at its beginning and at its end.
use super::{Phase, Run};
use crate::history::{Absence, Micros, Untold, Withdrawn};
use crate::router::admin_call;
use crate::trouble::{Kind, Trouble};
use crate::world::agents::{AgentFault, Entry};
use crate::world::link::LinkFault;
use fault_control::Fault;
use nix::sys::signal::Signal;
use std::io;
use std::time::Duration;

/// How long after the end of discovery's trouble a change may still be untold.
const TOLD_AFTER: Micros = 6_000_000;
/// The same after a configuration that moves it.
const TOLD_AFTER_MOVE: Micros = 4_000_000;
/// A server's process that starts is listed this much later.
const LIST_LAG: Micros = 200_000;
/// An operator's call is answered within this time.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A step of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    Begin(Trouble),
    End(Trouble),
    /// Something that a trouble has put off.
    Later(Later, Trouble),
}

/// What a trouble puts off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Later {
    /// The server's new process is listed.
    ListStart,
    /// The drained server is gone, and another takes its place.
    Replace,
    /// Another configuration is read.
    ReloadAgain(u8),
    /// A replica takes over.
    Elect,
}

/// The steps that are still to come.
pub(super) struct Schedule {
    steps: Vec<(Micros, Step)>,
}

impl Schedule {
    pub(super) fn new(troubles: &[Trouble], begun: Micros) -> Schedule {
        let at = |ms: u64| begun + ms as Micros * 1000;
        let mut schedule = Schedule { steps: Vec::new() };
        for trouble in troubles {
            schedule.add(at(trouble.at_ms), Step::Begin(*trouble));
            schedule.add(at(trouble.at_ms + trouble.for_ms), Step::End(*trouble));
        }
        schedule
    }

    pub(super) fn add(&mut self, at: Micros, step: Step) {
        self.steps.push((at, step));
        self.steps.sort_by_key(|(at, _)| *at);
    }

    pub(super) fn is_over(&self) -> bool {
        self.steps.is_empty()
    }

    pub(super) fn due(&mut self, now: Micros) -> Vec<Step> {
        let count = self.steps.iter().take_while(|(at, _)| *at <= now).count();
        self.steps.drain(..count).map(|(_, step)| step).collect()
    }
}

impl Run<'_> {
    pub(super) fn carry_out(&mut self, step: &Step, schedule: &mut Schedule) -> io::Result<()> {
        match step {
            Step::Begin(trouble) => self.begin(trouble, schedule),
            Step::End(trouble) => self.end(trouble, schedule),
            Step::Later(later, trouble) => self.later(*later, trouble, schedule),
        }
    }

    fn begin(&mut self, trouble: &Trouble, schedule: &mut Schedule) -> io::Result<()> {
        let Trouble { router, server, .. } = *trouble;
        let now = self.clock.now();
        match trouble.kind {
            Kind::Term => self.signal_end(router, Signal::SIGTERM, Absence::Ended),
            Kind::Kill => self.signal_end(router, Signal::SIGKILL, Absence::Killed),
            Kind::PauseShort | Kind::PauseLong => {
                if self.routers[router].phase == Phase::Running {
                    self.set_absent(router, Absence::Paused);
                    self.signal(router, Signal::SIGSTOP);
                }
            }
            Kind::Reload => return self.later(Later::ReloadAgain(0), trouble, schedule),
            Kind::DiscoverySilent => {
                self.set_agents(trouble, AgentFault::SilentBefore(now), now + TOLD_AFTER);
            }
            Kind::DiscoveryDown => self.set_agents(trouble, AgentFault::Down, Micros::MAX),
            Kind::DiscoverySlow => self.set_agents(trouble, AgentFault::Slow(400_000), Micros::MAX),
            Kind::Drain => self.withdraw(server, "terminating"),
            Kind::ServerRestart => self.servers.crash(server, now),
            Kind::ServerHang => self.servers.lock().servers[server].hung = true,
            Kind::ServerReset => self.servers.lock().servers[server].resets = true,
            Kind::ServerGarbage => self.servers.lock().servers[server].garbage = true,
            Kind::ServerLag => self.servers.lock().servers[server].lags = true,
            Kind::Failover => {
                self.servers.lock().servers[server].hung = true;
                schedule.add(now + 700_000, Step::Later(Later::Elect, *trouble));
            }
            Kind::LinkCut => self.set_link(trouble, |f| (f.deaf_there, f.deaf_back) = (true, true)),
            Kind::LinkDeaf => self.set_link(trouble, |f| f.deaf_back = true),
            Kind::LinkDelay => self.set_link(trouble, |f| f.delay = 120_000),
            Kind::LinkReset => self.set_link(trouble, |f| f.reset_after = Some(37)),
            Kind::LinkTrickle => self.set_link(trouble, |f| f.trickle = true),
            Kind::LinkForget => {
                for router in self.concerned(trouble) {
                    self.servers.lock().forgotten_before[router].iter_mut().for_each(|before| *before = now);
                }
            }
            Kind::ClientsLeave => self.behave(|b| (b.leave, b.cancel) = (150, 50)),
            Kind::ClientsStall => self.behave(|b| b.stall = 60),
            Kind::ClientsPipeline => self.behave(|b| b.ahead = 4),
            Kind::ClientsFlood => self.behave(|b| b.flood = 80),
            Kind::ClockAll => {
                let offset = trouble.amount * 1_000_000;
                self.clock.set_offset(offset);
                self.routers.iter().try_for_each(|router| router.control.set_clock_offset(offset))?;
            }
            Kind::ClockOne => self.routers[router].control.set_clock_offset(trouble.amount * 1_000_000)?,
            Kind::Syscalls => {
                let control = &self.routers[router].control;
                control.set_fault_rate(Fault::Accept, 50_000)?;
                control.set_fault_rate(Fault::Socket, 50_000)?;
                control.set_fault_rate(Fault::Connect, 50_000)?;
                control.set_fault_rate(Fault::Interrupt, 20_000)?;
                control.set_fault_rate(Fault::ShortTransfer, 100_000)?;
                control.set_fault_rate(Fault::ConnectionLoss, 5_000)?;
            }
            Kind::Threads => self.routers[router].control.set_fault_rate(Fault::ThreadStart, 600_000)?,
            Kind::Disk => self.routers[router].control.set_fault_rate(Fault::FileWrite, 500_000)?,
            Kind::Maintenance => self.take_out_by_hand(trouble),
        }
        Ok(())
    }

    fn end(&mut self, trouble: &Trouble, schedule: &mut Schedule) -> io::Result<()> {
        let Trouble { router, server, .. } = *trouble;
        let now = self.clock.now();
        match trouble.kind {
            Kind::PauseShort | Kind::PauseLong => {
                self.signal(router, Signal::SIGCONT);
                if self.routers[router].phase == Phase::Running {
                    self.set_present(router);
                }
            }
            Kind::DiscoveryDown | Kind::DiscoverySlow => {
                self.set_agents(trouble, AgentFault::None, now + TOLD_AFTER);
            }
            Kind::Drain => return self.later(Later::Replace, trouble, schedule),
            Kind::ServerRestart => {
                self.servers.revive(server);
                self.note_start(server);
                schedule.add(now + LIST_LAG, Step::Later(Later::ListStart, *trouble));
            }
            Kind::ServerHang | Kind::Failover => self.servers.lock().servers[server].hung = false,
            Kind::ServerReset => self.servers.lock().servers[server].resets = false,
            Kind::ServerGarbage => self.servers.lock().servers[server].garbage = false,
            Kind::ServerLag => self.servers.lock().servers[server].lags = false,
            Kind::LinkCut | Kind::LinkDeaf | Kind::LinkDelay | Kind::LinkReset | Kind::LinkTrickle => {
                self.set_link(trouble, |fault| *fault = LinkFault::default());
            }
            Kind::ClientsLeave => self.behave(|b| (b.leave, b.cancel) = (0, 0)),
            Kind::ClientsStall => self.behave(|b| b.stall = 0),
            Kind::ClientsPipeline => self.behave(|b| b.ahead = 0),
            Kind::ClientsFlood => self.behave(|b| b.flood = 0),
            Kind::ClockAll => {
                self.clock.set_offset(0);
                self.routers.iter().try_for_each(|router| router.control.set_clock_offset(0))?;
            }
            Kind::ClockOne => self.routers[router].control.set_clock_offset(0)?,
            Kind::Syscalls | Kind::Threads | Kind::Disk => self.routers[router].control.clear_faults()?,
            Kind::Maintenance => self.put_back_by_hand(trouble),
            // The silent connections never speak again: a router has to open others.
            Kind::Term | Kind::Kill | Kind::Reload | Kind::LinkForget | Kind::DiscoverySilent => {}
        }
        Ok(())
    }

    fn later(&mut self, later: Later, trouble: &Trouble, schedule: &mut Schedule) -> io::Result<()> {
        let Trouble { router, server, .. } = *trouble;
        let now = self.clock.now();
        match later {
            Later::ListStart => {
                let started_ms = self.last_start_ms(server);
                if let Some(listed) = self.agents.listed(server) {
                    self.agents.change(Entry { started_ms, ..listed });
                }
            }
            Later::Replace => self.replace(server),
            Later::Elect => {
                self.servers.fail_over(server, now);
                self.list_roles(server);
            }
            Later::ReloadAgain(round) => {
                self.reload(router, round)?;
                if round < 5 {
                    schedule.add(now + 30_000, Step::Later(Later::ReloadAgain(round + 1), *trouble));
                }
            }
        }
        Ok(())
    }

    fn signal(&mut self, router: usize, signal: Signal) {
        self.routers[router].process.iter_mut().for_each(|process| process.signal(signal));
    }

    fn signal_end(&mut self, router: usize, signal: Signal, why: Absence) {
        if self.routers[router].phase != Phase::Running || self.routers[router].absent.is_some() {
            return;
        }
        self.set_absent(router, why);
        self.signal(router, signal);
        let since = self.clock.now();
        self.routers[router].phase = Phase::Ending { since };
    }

    /// The routers that a trouble with a link or an agent concerns: one, or all where the amount of its time is odd.
    fn concerned(&self, trouble: &Trouble) -> Vec<usize> {
        if trouble.for_ms.is_multiple_of(2) {
            vec![trouble.router]
        } else {
            (0..self.routers.len()).collect()
        }
    }

    fn set_agents(&self, trouble: &Trouble, fault: AgentFault, to: Micros) {
        let now = self.clock.now();
        for router in self.concerned(trouble) {
            self.agents.set_fault(router, fault);
            let mut history = self.recorder.lock();
            for untold in history.untold.iter_mut().filter(|u| u.router == router && u.to == Micros::MAX) {
                untold.to = now + TOLD_AFTER;
            }
            history.untold.push(Untold { router, from: now, to });
        }
    }

    fn set_link(&self, trouble: &Trouble, change: impl Fn(&mut LinkFault)) {
        let mut shared = self.servers.lock();
        for router in self.concerned(trouble) {
            change(&mut shared.links[router][trouble.server]);
        }
    }

    fn behave(&self, change: impl FnOnce(&mut crate::world::clients::Behaviour)) {
        if let Some(clients) = &self.clients {
            clients.behave(change);
        }
    }

    /// A server's entry changes to this state, and it is to get nothing new.
    fn withdraw(&self, server: usize, state: &'static str) {
        let Some(listed) = self.agents.listed(server) else { return };
        let told_at = self.agents.change(Entry { state, ..listed });
        self.recorder.lock().withdrawn.push(Withdrawn { server, router: None, told_at, until: Micros::MAX });
    }

    /// The drained server is gone; a cold one comes in its place under another id.
    fn replace(&mut self, server: usize) {
        let Some(listed) = self.agents.listed(server) else { return };
        let now = self.clock.now();
        let was_primary = self.servers.lock().servers[server].primary;
        if was_primary {
            self.servers.fail_over(server, now);
            self.list_roles(server);
        }
        self.agents.change(Entry { state: "terminated", ..listed.clone() });
        self.servers.crash(server, now);
        self.servers.revive(server);
        self.note_start(server);
        self.generations[server] += 1;
        let id = format!("s{server}-{}", self.generations[server]);
        let started_ms = self.last_start_ms(server);
        let primary = self.servers.lock().servers[server].primary;
        let at = self.agents.change(Entry { server, id, state: "in_service", primary, started_ms, ..listed });
        let mut history = self.recorder.lock();
        let open = history.withdrawn.iter_mut().filter(|w| w.server == server && w.router.is_none());
        open.filter(|w| w.until == Micros::MAX).for_each(|w| w.until = at);
    }

    fn last_start_ms(&self, server: usize) -> i64 {
        let history = self.recorder.lock();
        let start = history.starts.iter().rev().find(|start| start.server == server);
        start.map_or(0, |start| self.clock.wall(start.at) / 1000)
    }

    /// The list shows the roles of a server's group as they are.
    fn list_roles(&self, server: usize) {
        let roles: Vec<(usize, bool)> = {
            let shared = self.servers.lock();
            let group = shared.servers[server].group;
            let of_group = shared.servers.iter().enumerate().filter(|(_, s)| s.group == group);
            of_group.map(|(index, s)| (index, s.primary)).collect()
        };
        for (server, primary) in roles {
            if let Some(listed) = self.agents.listed(server).filter(|listed| listed.primary != primary) {
                self.agents.change(Entry { primary, ..listed });
            }
        }
    }

    /// Writes a configuration, each second one faulty, and sends SIGHUP. The last one is good, and names the other address
    /// of the router's agent.
    fn reload(&mut self, router: usize, round: u8) -> io::Result<()> {
        let now = self.clock.now();
        let is_good = !round.is_multiple_of(2);
        if is_good {
            self.routers[router].agent = usize::from(self.routers[router].agent == 0);
            self.write_config(router)?;
            let untold = Untold { router, from: now, to: now + TOLD_AFTER_MOVE };
            self.recorder.lock().untold.push(untold);
        } else {
            std::fs::write(&self.routers[router].config, "{\"name\": \"n")?;
        }
        if matches!(self.routers[router].phase, Phase::Running) {
            self.signal(router, Signal::SIGHUP);
        }
        Ok(())
    }

    fn take_out_by_hand(&self, trouble: &Trouble) {
        let Some(listed) = self.agents.listed(trouble.server) else { return };
        let admin = self.routers[trouble.router].admin;
        let answer = admin_call(admin, &format!("SUSPEND {}", listed.id), ADMIN_TIMEOUT);
        if answer.is_ok_and(|answer| answer.starts_with("200")) {
            let (server, router, told_at) = (trouble.server, Some(trouble.router), self.clock.now());
            let withdrawn = Withdrawn { server, router, told_at, until: Micros::MAX };
            self.recorder.lock().withdrawn.push(withdrawn);
        }
    }

    fn put_back_by_hand(&self, trouble: &Trouble) {
        let admin = self.routers[trouble.router].admin;
        let now = self.clock.now();
        for generation in 0..=self.generations[trouble.server] {
            let id = format!("s{}-{generation}", trouble.server);
            _ = admin_call(admin, &format!("RESTORE {id}"), ADMIN_TIMEOUT);
        }
        let mut history = self.recorder.lock();
        let by_hand = |w: &&mut Withdrawn| w.server == trouble.server && w.router == Some(trouble.router);
        history.withdrawn.iter_mut().filter(by_hand).for_each(|w| w.until = w.until.min(now));
    }
}
