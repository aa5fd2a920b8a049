//! What an agent brings on a connection, before, in and after an outage.
use crate::history::{AgentDelays, ConnectionFate, History, Outage, OutageKind};
use discovery::liveness::ConnectionId;
use settings::Limits;

/// An agent says an empty line this often, in milliseconds.
const EMPTY_LINE_INTERVAL: u64 = 2000;

/// What a connection brings.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AgentEvent {
    ResponseHead,
    Ended,
    /// The changes after the one version and up to the other.
    Line {
        after: u64,
        version: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Connecting,
    /// Asked for what comes after this version.
    Requested {
        after: u64,
    },
    /// Its response head has come.
    Answered {
        after: u64,
    },
    /// It has brought what there was up to this version; its last line came then.
    Watching {
        version: u64,
        last_line_at: u64,
    },
}

/// A connection as the agent sees it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    pub(crate) address: usize,
    opened_at: u64,
    stage: Stage,
    /// Since when it has been in this stage, or as long ago as if the outage had not been.
    stage_since: u64,
    /// An outage met it, at this place of the address's outages.
    met_outage: Option<usize>,
    is_dead: bool,
}

/// The times of the moment at hand.
#[derive(Clone, Copy)]
struct Moment {
    now: u64,
    /// The version that a new request resumes from.
    resume_version: u64,
    connect_timeout: u64,
    stale_after: u64,
}

impl Connection {
    pub(crate) fn open(id: ConnectionId, address: usize, now: u64) -> Connection {
        Connection {
            id,
            address,
            opened_at: now,
            stage: Stage::Connecting,
            stage_since: now,
            met_outage: None,
            is_dead: false,
        }
    }

    pub(crate) fn is_watching(&self) -> bool {
        matches!(self.stage, Stage::Watching { .. })
    }

    /// What it brings now.
    pub(crate) fn poll(
        &mut self,
        now: u64,
        history: &History,
        resume_version: u64,
        limits: &Limits,
    ) -> Option<AgentEvent> {
        let moment = Moment {
            now,
            resume_version,
            connect_timeout: limits.watch_connect_timeout.as_millis() as u64,
            stale_after: limits.watch_silence_timeout.as_millis() as u64,
        };
        let outages = &history.outages[self.address];
        if let Some(place) = history.outage(self.address, now) {
            let is_first_meeting = self.met_outage != Some(place);
            self.met_outage = Some(place);
            return self.poll_in_outage(moment, &outages[place], is_first_meeting);
        }
        let version = history.version(now);
        if let Some(place) = self.met_outage.take() {
            self.end_outage(moment, &outages[place], version);
        }
        if self.is_dead {
            return self.is_given_up(moment).then_some(AgentEvent::Ended);
        }
        self.poll_in_service(moment, history.agents[self.address], version)
    }

    fn poll_in_outage(
        &mut self,
        moment: Moment,
        outage: &Outage,
        is_first_meeting: bool,
    ) -> Option<AgentEvent> {
        let Moment { now, .. } = moment;
        let is_reset = is_first_meeting && outage.fate == ConnectionFate::Reset;
        match (self.stage, outage.kind) {
            (Stage::Connecting, OutageKind::Refused) => Some(AgentEvent::Ended),
            (Stage::Connecting, OutageKind::Unreachable) => {
                (now >= self.opened_at + moment.connect_timeout).then_some(AgentEvent::Ended)
            }
            (Stage::Connecting, _) => {
                self.enter(Stage::Requested { after: moment.resume_version }, now);
                None
            }
            _ if is_reset && self.opened_at < outage.from => Some(AgentEvent::Ended),
            // The reader gives up a head that does not come.
            (Stage::Requested { .. }, _) if now >= self.stage_since + moment.stale_after => {
                Some(AgentEvent::Ended)
            }
            (Stage::Requested { after }, OutageKind::HeadOnly | OutageKind::ResetAfterHead(_)) => {
                self.enter(Stage::Answered { after }, now);
                Some(AgentEvent::ResponseHead)
            }
            (Stage::Answered { .. }, OutageKind::ResetAfterHead(delay))
                if now >= self.stage_since + delay =>
            {
                Some(AgentEvent::Ended)
            }
            _ => None,
        }
    }

    /// The agent is back.
    fn end_outage(&mut self, moment: Moment, outage: &Outage, version: u64) {
        match (self.stage, outage.fate) {
            // A connection that never came up is not remembered by whoever comes back.
            (Stage::Connecting, _) if outage.kind == OutageKind::Unreachable => self.is_dead = true,
            (_, ConnectionFate::Mute | ConnectionFate::Reset) => self.is_dead = true,
            // Whoever was silent for less could not be told from one that had nothing to say.
            (Stage::Watching { version: before, .. }, ConnectionFate::LosesChanges)
                if outage.to - outage.from >= moment.stale_after =>
            {
                self.stage = Stage::Watching { version: before.max(version), last_line_at: moment.now };
            }
            _ => self.stage_since = moment.now,
        }
    }

    /// Whether its reader gives up a connection that stays mute.
    fn is_given_up(&self, moment: Moment) -> bool {
        match self.stage {
            Stage::Connecting => moment.now >= self.opened_at + moment.connect_timeout,
            Stage::Requested { .. } => moment.now >= self.stage_since + moment.stale_after,
            Stage::Answered { .. } | Stage::Watching { .. } => false,
        }
    }

    fn poll_in_service(&mut self, moment: Moment, agent: AgentDelays, version: u64) -> Option<AgentEvent> {
        let Moment { now, .. } = moment;
        match self.stage {
            Stage::Connecting if now >= self.stage_since + agent.accept => {
                self.enter(Stage::Requested { after: moment.resume_version }, now);
                None
            }
            Stage::Requested { after } if now >= self.stage_since + agent.head => {
                self.enter(Stage::Answered { after }, now);
                Some(AgentEvent::ResponseHead)
            }
            Stage::Answered { after } => {
                let is_late = agent.late_empty_line && version == after;
                let delay = if is_late { EMPTY_LINE_INTERVAL } else { agent.line };
                (now >= self.stage_since + delay).then(|| self.bring_line(now, after, version))
            }
            Stage::Watching { version: after, last_line_at } => {
                let is_due = version > after || now >= last_line_at + EMPTY_LINE_INTERVAL;
                is_due.then(|| self.bring_line(now, after, version))
            }
            Stage::Connecting | Stage::Requested { .. } => None,
        }
    }

    fn bring_line(&mut self, now: u64, after: u64, version: u64) -> AgentEvent {
        self.stage = Stage::Watching { version, last_line_at: now };
        AgentEvent::Line { after, version }
    }

    fn enter(&mut self, stage: Stage, now: u64) {
        (self.stage, self.stage_since) = (stage, now);
    }
}
