//! A model of the discovery agent: what it sends on a connection before, during and after an outage.
use crate::history::{AgentDelays, ConnectionFate, History, Outage, OutageKind};
use discovery::liveness::ConnectionId;
use settings::Limits;

/// The interval between an agent's empty lines, in milliseconds.
const EMPTY_LINE_INTERVAL: u64 = 2000;

/// What the agent does on a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AgentEvent {
    ResponseHead,
    Ended,
    /// A line with the changes after one version up to another; without changes if both are equal.
    Line {
        after: u64,
        version: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Connecting,
    /// The request is sent; it resumes after this version.
    Requested {
        after: u64,
    },
    /// The response head was received.
    HeadReceived {
        after: u64,
    },
    /// Lines were received: the version reached, and the time of the last line.
    Watching {
        version: u64,
        last_line_at: u64,
    },
}

/// The agent's side of a connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    pub(crate) address: usize,
    opened_at: u64,
    stage: Stage,
    /// The start of this stage; reset at the end of an outage, so that the stage's delay starts again.
    stage_since: u64,
    /// The index of the current outage of the connection's address, if the outage affects this connection.
    current_outage: Option<usize>,
    is_dead: bool,
}

/// The current time, and the inputs of a step.
#[derive(Clone, Copy)]
struct StepInput {
    now: u64,
    /// The version that new requests resume from.
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
            current_outage: None,
            is_dead: false,
        }
    }

    pub(crate) fn is_watching(&self) -> bool {
        matches!(self.stage, Stage::Watching { .. })
    }

    /// Returns what happens on the connection at `now`.
    pub(crate) fn poll(
        &mut self,
        now: u64,
        history: &History,
        resume_version: u64,
        limits: &Limits,
    ) -> Option<AgentEvent> {
        let input = StepInput {
            now,
            resume_version,
            connect_timeout: limits.watch_connect_timeout.as_millis() as u64,
            stale_after: limits.watch_silence_timeout.as_millis() as u64,
        };
        let outages = &history.outages[self.address];
        if let Some(index) = history.outage(self.address, now) {
            let is_outage_start = self.current_outage != Some(index);
            self.current_outage = Some(index);
            return self.poll_in_outage(input, &outages[index], is_outage_start);
        }
        let version = history.version(now);
        if let Some(index) = self.current_outage.take() {
            self.end_outage(input, &outages[index], version);
        }
        if self.is_dead {
            return self.has_timed_out(input).then_some(AgentEvent::Ended);
        }
        self.poll_in_service(input, history.agents[self.address], version)
    }

    fn poll_in_outage(
        &mut self,
        input: StepInput,
        outage: &Outage,
        is_outage_start: bool,
    ) -> Option<AgentEvent> {
        let StepInput { now, .. } = input;
        let is_reset = is_outage_start && outage.fate == ConnectionFate::Reset;
        match (self.stage, outage.kind) {
            (Stage::Connecting, OutageKind::Refused) => Some(AgentEvent::Ended),
            (Stage::Connecting, OutageKind::Unreachable) => {
                (now >= self.opened_at + input.connect_timeout).then_some(AgentEvent::Ended)
            }
            (Stage::Connecting, _) => {
                self.enter(Stage::Requested { after: input.resume_version }, now);
                None
            }
            _ if is_reset && self.opened_at < outage.from => Some(AgentEvent::Ended),
            // The reader's timeout for the response head has expired.
            (Stage::Requested { .. }, _) if now >= self.stage_since + input.stale_after => {
                Some(AgentEvent::Ended)
            }
            (Stage::Requested { after }, OutageKind::HeadOnly | OutageKind::ResetAfterHead(_)) => {
                self.enter(Stage::HeadReceived { after }, now);
                Some(AgentEvent::ResponseHead)
            }
            (Stage::HeadReceived { .. }, OutageKind::ResetAfterHead(delay))
                if now >= self.stage_since + delay =>
            {
                Some(AgentEvent::Ended)
            }
            _ => None,
        }
    }

    /// Applies the end of an outage to the connection.
    fn end_outage(&mut self, input: StepInput, outage: &Outage, version: u64) {
        match (self.stage, outage.fate) {
            // The recovered agent does not know a connection that was never established.
            (Stage::Connecting, _) if outage.kind == OutageKind::Unreachable => self.is_dead = true,
            (_, ConnectionFate::Silent | ConnectionFate::Reset) => self.is_dead = true,
            // Changes are lost only if the silence makes the watch stale: after a shorter silence, a loss
            // could not be detected.
            (Stage::Watching { version: before, .. }, ConnectionFate::LosesChanges)
                if outage.to - outage.from >= input.stale_after =>
            {
                self.stage = Stage::Watching { version: before.max(version), last_line_at: input.now };
            }
            _ => self.stage_since = input.now,
        }
    }

    /// Whether the reader's timeout for a dead connection has expired.
    fn has_timed_out(&self, input: StepInput) -> bool {
        match self.stage {
            Stage::Connecting => input.now >= self.opened_at + input.connect_timeout,
            Stage::Requested { .. } => input.now >= self.stage_since + input.stale_after,
            Stage::HeadReceived { .. } | Stage::Watching { .. } => false,
        }
    }

    fn poll_in_service(&mut self, input: StepInput, agent: AgentDelays, version: u64) -> Option<AgentEvent> {
        let StepInput { now, .. } = input;
        match self.stage {
            Stage::Connecting if now >= self.stage_since + agent.accept => {
                self.enter(Stage::Requested { after: input.resume_version }, now);
                None
            }
            Stage::Requested { after } if now >= self.stage_since + agent.head => {
                self.enter(Stage::HeadReceived { after }, now);
                Some(AgentEvent::ResponseHead)
            }
            Stage::HeadReceived { after } => {
                let is_late = agent.late_empty_line && version == after;
                let delay = if is_late { EMPTY_LINE_INTERVAL } else { agent.line };
                (now >= self.stage_since + delay).then(|| self.send_line(now, after, version))
            }
            Stage::Watching { version: after, last_line_at } => {
                let is_due = version > after || now >= last_line_at + EMPTY_LINE_INTERVAL;
                is_due.then(|| self.send_line(now, after, version))
            }
            Stage::Connecting | Stage::Requested { .. } => None,
        }
    }

    fn send_line(&mut self, now: u64, after: u64, version: u64) -> AgentEvent {
        self.stage = Stage::Watching { version, last_line_at: now };
        AgentEvent::Line { after, version }
    }

    fn enter(&mut self, stage: Stage, now: u64) {
        (self.stage, self.stage_since) = (stage, now);
    }
}
