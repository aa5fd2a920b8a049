//! Hosts the routers of one process: passes the events of each batch to their routers and returns the actions
//! as commands.
use decision::{
    Action, Event, GroupId, MemberEntry, MemberId, MemberReport, MemberState, Micros, Outcome, Request,
    RequestId, Router, SessionId, Time,
};
use serde_json::{Value, json};
use settings::Error;
use settings::fields::{array, boolean, count, field, ms_to_micros, string, time_from_ms, unsigned_integer};
use settings::platform::{self, AdapterSettings};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The largest absolute value of a replication position in a member's report, in seconds. A larger value
/// cannot come from a clock and is ignored.
const MAX_POSITION_S: f64 = 1e11;

/// The largest valid `mark` of a response, which encodes 4 * replication position in milliseconds + role.
/// This limits positions to the same range as [`MAX_POSITION_S`].
const MAX_MARK: u64 = 400_000_000_000_000;

/// A request that the router may still name in actions, or whose attempts are still in flight.
struct TrackedRequest {
    name: String,
    is_write: bool,
    attempts_in_flight: u32,
    ended: bool,
}

/// One router, and the wire names of its members and requests.
struct Instance {
    router: Router,
    adapter_settings: AdapterSettings,
    member_ids: HashMap<String, MemberId>,
    member_names: HashMap<MemberId, String>,
    request_ids: HashMap<String, RequestId>,
    requests: HashMap<RequestId, TrackedRequest>,
    next_member: u32,
    next_request: u64,
}

/// All router instances of this process, and the member lists that they share, by slot.
#[derive(Default)]
pub(crate) struct Host {
    instances: HashMap<String, Instance>,
    lists: HashMap<u64, Vec<Value>>,
}

impl Host {
    /// Handles one line of input and returns one line of output.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<String, Error> {
        let batch: Value = serde_json::from_str(line)?;
        let now = Time(time_from_ms(&batch, "simTimeMs")?);
        let mut commands = Vec::new();
        for event in array(&batch, "arrivals")? {
            let single_entry = match event.as_object() {
                Some(o) if o.len() == 1 => o.iter().next(),
                _ => None,
            };
            let (name, body) = single_entry.ok_or_else(|| {
                Error::invalid("an event object with a single key", event).under_key("arrivals")
            })?;
            self.handle_event(now, name, body, &mut commands).map_err(|e| e.under_key(name))?;
        }
        Ok(json!({ "turn": unsigned_integer(&batch, "turn")?, "cmds": commands }).to_string())
    }

    fn handle_event(
        &mut self,
        now: Time,
        name: &str,
        body: &Value,
        commands: &mut Vec<Value>,
    ) -> Result<(), Error> {
        if name == "SNAPSHOT_ROWS" {
            self.lists.insert(unsigned_integer(body, "slot")?, array(body, "members")?.clone());
            return Ok(());
        }
        let driver = string(body, "driver")?;
        match name {
            "UP" => {
                let seed = unsigned_integer(body, "nonce64")?;
                let instance = Instance::new(field(body, "settings")?, seed)?;
                self.instances.insert(driver.to_string(), instance);
                return Ok(());
            }
            "RETIRE" => {
                let instance = self.instances.remove(driver);
                return instance.map(|_| ()).ok_or_else(|| not_started(driver));
            }
            _ => {}
        }
        let instance = self.instances.get_mut(driver).ok_or_else(|| not_started(driver))?;
        if let Some(event) = instance.read_event(now, name, body, &self.lists)? {
            let mut actions = Vec::new();
            instance.router.handle(now, event, &mut actions);
            for action in actions {
                commands.extend(instance.command(driver, action));
            }
            if name == "CLIENT_LEFT" {
                instance.client_disconnected(body)?;
            }
        }
        Ok(())
    }
}

fn not_started(driver: &str) -> Error {
    Error::invalid_value("driver", "a started instance", format_args!("'{driver}'"))
}

fn outcome_from_code(code: u64) -> Result<Outcome, Error> {
    Ok(match code {
        0 => Outcome::Ok,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NeverSent,
        8 => Outcome::NotEligible,
        x => return Err(Error::invalid_value("ending", "0 to 8", x)),
    })
}

fn to_ms(duration: Micros) -> f64 {
    duration as f64 / 1000.0
}

impl Instance {
    fn new(v: &Value, seed: u64) -> Result<Self, Error> {
        let (settings, adapter_settings) = platform::read(v)?;
        Ok(Instance {
            router: Router::new(settings, seed),
            adapter_settings,
            member_ids: HashMap::new(),
            member_names: HashMap::new(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            next_member: 0,
            next_request: 0,
        })
    }

    fn member_id(&mut self, name: &str) -> MemberId {
        if let Some(id) = self.member_ids.get(name) {
            return *id;
        }
        let id = MemberId(self.next_member);
        self.next_member += 1;
        self.member_ids.insert(name.to_string(), id);
        self.member_names.insert(id, name.to_string());
        id
    }

    fn member_entry(&mut self, v: &Value) -> Result<MemberEntry, Error> {
        let state = match unsigned_integer(v, "status")? {
            0 => MemberState::Removed,
            1 => MemberState::Ready,
            2 => MemberState::Draining,
            x => return Err(Error::invalid_value("status", "0, 1 or 2", x)),
        };
        let started = v.get("startTimeMs").and_then(Value::as_f64).filter(|s| *s > 0.0);
        Ok(MemberEntry {
            id: self.member_id(string(v, "member")?),
            group: GroupId(count(v, "shard")?),
            zone: count(v, "hall")?,
            state,
            listed_primary: v.get("leads").and_then(Value::as_f64) == Some(1.0),
            weight: v.get("powerHint").and_then(Value::as_f64).unwrap_or(1.0),
            started_at: started.map(|s| Time(ms_to_micros(s))),
        })
    }

    /// Reads a member's report from `telemetry`: `x0` is the replication position in seconds, `x1` is 1 for
    /// the primary.
    fn member_report(&self, body: &Value) -> MemberReport {
        let value = |name: &str| body.get("telemetry").and_then(|t| t.get(name)).and_then(Value::as_f64);
        MemberReport {
            primary: value("x1").map(|x| x == 1.0),
            position: value("x0")
                .filter(|s| s.abs() <= MAX_POSITION_S)
                .map(|s| Time(self.adapter_settings.position_zero + (s * 1e6).round() as Micros)),
        }
    }

    /// Converts an event from its wire format. Returns `None` for events that the router does not need.
    fn read_event(
        &mut self,
        now: Time,
        name: &str,
        body: &Value,
        lists: &HashMap<u64, Vec<Value>>,
    ) -> Result<Option<Event>, Error> {
        Ok(Some(match name {
            "TARGETS" => {
                let scope = unsigned_integer(body, "scope")?;
                if scope == 3 {
                    return Ok(Some(Event::ListUpdateFailed));
                }
                if scope > 3 {
                    return Err(Error::invalid_value("scope", "0 to 3", scope));
                }
                let slot = unsigned_integer(body, "slot")?;
                let rows = lists.get(&slot).ok_or_else(|| {
                    Error::invalid_value("slot", "the slot of an earlier list", format_args!("list {slot}"))
                })?;
                let entries = rows.iter().map(|r| self.member_entry(r)).collect::<Result<Vec<_>, _>>()?;
                Event::MemberListChanged { complete: scope != 1, entries }
            }
            "ACCEPT" => self.request_arrived(now, body)?,
            "UNDER_WAY" => match self.request_ids.get(string(body, "req")?) {
                Some(&request) => Event::ResponseStarted { request },
                None => return Ok(None),
            },
            "OUTCOME" => return self.attempt_ended(body),
            "CLIENT_LEFT" => match self.request_ids.get(string(body, "req")?) {
                Some(&request) => Event::ClientDisconnected { request },
                None => return Ok(None),
            },
            "WAKE" => Event::TimerExpired,
            "PING_RESULT" => {
                let outcome = outcome_from_code(unsigned_integer(body, "ending")?)?;
                let report = self.member_report(body);
                match self.member_ids.get(string(body, "member")?) {
                    Some(&member) => Event::ProbeEnded { member, outcome, report },
                    None => return Ok(None),
                }
            }
            "HEARD" => return Ok(None),
            _ => return Err(Error::invalid_value("arrivals", "a known event", format_args!("'{name}'"))),
        }))
    }

    fn request_arrived(&mut self, now: Time, body: &Value) -> Result<Event, Error> {
        let name = string(body, "req")?;
        let class = unsigned_integer(body, "tierClass")? as usize;
        let is_write = *self
            .adapter_settings
            .class_is_write
            .get(class)
            .ok_or_else(|| Error::invalid_value("tierClass", "a listed class", class))?;
        let tenant = body.get("customer").map_or(Ok(0), |_| unsigned_integer(body, "customer"))? as usize;
        if tenant >= self.adapter_settings.tenant_count.max(1) {
            return Err(Error::invalid_value("customer", "a listed tenant", tenant));
        }
        let session = body.get("key").and_then(Value::as_str).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            SessionId(hasher.finish())
        });
        let last_write = body.get("lastWriteMs").map_or(Ok(0), |_| time_from_ms(body, "lastWriteMs"))?;
        let request = Request {
            id: RequestId(self.next_request),
            class,
            tenant,
            session,
            group: GroupId(count(body, "cluster")?),
            deadline: Time(now.0 + time_from_ms(body, "expiresInMs")?),
            session_commit: (last_write > 0).then(|| Time(now.0 - last_write)),
            may_run_partially: false,
        };
        self.next_request += 1;
        let tracked =
            TrackedRequest { name: name.to_string(), is_write, attempts_in_flight: 0, ended: false };
        self.requests.insert(request.id, tracked);
        self.request_ids.insert(name.to_string(), request.id);
        Ok(Event::RequestArrived(request))
    }

    fn attempt_ended(&mut self, body: &Value) -> Result<Option<Event>, Error> {
        let outcome = outcome_from_code(unsigned_integer(body, "ending")?)?;
        let attempt = unsigned_integer(body, "attempt")? as u32;
        let ended = boolean(body, "over")?;
        let report = self.member_report(body);
        let (name, member) = (string(body, "req")?, string(body, "member")?);
        let (Some(&request), Some(&member)) = (self.request_ids.get(name), self.member_ids.get(member))
        else {
            return Ok(None);
        };
        let mark = body.get("mark").map_or(Ok(0), |_| unsigned_integer(body, "mark"))?;
        if mark > MAX_MARK {
            return Err(Error::invalid_value("mark", format!("at most {MAX_MARK}"), mark));
        }
        let mark_position =
            (mark >= 4).then(|| Time(self.adapter_settings.position_zero + (mark / 4) as Micros * 1000));
        let primary = match mark % 4 {
            1 => Some(true),
            2 => Some(false),
            _ => None,
        };
        let mut commit = None;
        let mut mark_report = MemberReport { primary, position: mark_position };
        if let Some(tracked) = self.requests.get_mut(&request) {
            tracked.attempts_in_flight = tracked.attempts_in_flight.saturating_sub(1);
            tracked.ended |= ended || outcome == Outcome::Ok;
            if tracked.is_write && outcome == Outcome::Ok {
                commit = mark_report.position.take();
            }
        }
        self.remove_if_complete(request);
        Ok(Some(Event::AttemptEnded {
            request,
            attempt,
            member,
            outcome,
            request_ended: ended,
            response_report: mark_report,
            commit,
            load_report: report,
        }))
    }

    fn client_disconnected(&mut self, body: &Value) -> Result<(), Error> {
        if let Some(&id) = self.request_ids.get(string(body, "req")?) {
            self.finish(id);
        }
        Ok(())
    }

    /// Marks the request as ended; it is removed when none of its attempts is in flight any more.
    fn finish(&mut self, id: RequestId) {
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.ended = true;
        }
        self.remove_if_complete(id);
    }

    fn remove_if_complete(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|tracked| tracked.ended && tracked.attempts_in_flight == 0)
            && let Some(tracked) = self.requests.remove(&id)
        {
            self.request_ids.remove(&tracked.name);
        }
    }

    /// Converts an action to its wire format.
    fn command(&mut self, driver: &str, action: Action) -> Option<Value> {
        let name = |id: RequestId| self.requests.get(&id).map(|tracked| tracked.name.as_str());
        Some(match action {
            Action::Send { request, member, timeout, .. } => {
                let member = self.member_names.get(&member)?;
                let req = name(request)?;
                let line = json!({"PLACE": {"driver": driver, "req": req, "member": member,
                    "patienceMs": to_ms(timeout)}});
                if let Some(tracked) = self.requests.get_mut(&request) {
                    tracked.attempts_in_flight += 1;
                }
                line
            }
            Action::Cancel { request, attempt } => {
                json!({"RETRACT": {"driver": driver, "req": name(request)?, "attempt": attempt}})
            }
            Action::Reject { request, retry_after: delay } => {
                let line = json!({"SHED": {"driver": driver, "req": name(request)?,
                    "stayAwayMs": to_ms(delay.unwrap_or(0))}});
                self.finish(request);
                line
            }
            Action::Fail { request } => {
                let line = json!({"DROP_REQUEST": {"driver": driver, "req": name(request)?}});
                self.finish(request);
                line
            }
            Action::Probe { member } => {
                json!({"SOUND_OUT": {"driver": driver, "member": self.member_names.get(&member)?}})
            }
            Action::SetTimer { after } => {
                json!({"NOTIFY_ME": {"driver": driver, "spanMs": to_ms(after), "ref": 0}})
            }
            Action::Subscribe => json!({"LISTEN": {"driver": driver, "want": true}}),
            Action::Remove { member } => {
                if let Some(n) = self.member_names.remove(&member) {
                    self.member_ids.remove(&n);
                }
                return None;
            }
        })
    }
}
