//! Hosts the routers of one process: reads a batch, feeds each event to its router, writes the actions.
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

/// A position that a report tells is no farther from zero, in seconds: what no clock holds tells nothing.
const FARTHEST_S: f64 = 1e11;

/// The largest note: its position is as far from zero.
const MOST_MARK: u64 = 400_000_000_000_000;

/// A request whose id the router may still name, or of which outcomes may still come.
struct Known {
    name: String,
    write: bool,
    out: u32,
    ended: bool,
}

/// One router with the names that its ids stand for.
struct Instance {
    router: Router,
    translation: AdapterSettings,
    member_ids: HashMap<String, MemberId>,
    member_names: HashMap<MemberId, String>,
    request_ids: HashMap<String, RequestId>,
    requests: HashMap<RequestId, Known>,
    next_member: u32,
    next_request: u64,
}

/// All instances of this process, and the numbered lists that they share.
#[derive(Default)]
pub(crate) struct Host {
    instances: HashMap<String, Instance>,
    lists: HashMap<u64, Vec<Value>>,
}

impl Host {
    /// Answers one line of input with one line of output.
    pub(crate) fn batch(&mut self, line: &str) -> Result<String, Error> {
        let batch: Value = serde_json::from_str(line)?;
        let now = Time(time_from_ms(&batch, "simTimeMs")?);
        let mut replies = Vec::new();
        for event in array(&batch, "arrivals")? {
            let one = match event.as_object() {
                Some(o) if o.len() == 1 => o.iter().next(),
                _ => None,
            };
            let (name, body) = one.ok_or_else(|| {
                Error::invalid("an object with one key as event", event).under_key("arrivals")
            })?;
            self.event(now, name, body, &mut replies).map_err(|e| e.under_key(name))?;
        }
        Ok(json!({ "turn": unsigned_integer(&batch, "turn")?, "cmds": replies }).to_string())
    }

    fn event(&mut self, now: Time, name: &str, body: &Value, replies: &mut Vec<Value>) -> Result<(), Error> {
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
                let known = self.instances.remove(driver);
                return known.map(|_| ()).ok_or_else(|| not_started(driver));
            }
            _ => {}
        }
        let instance = self.instances.get_mut(driver).ok_or_else(|| not_started(driver))?;
        if let Some(event) = instance.translate(now, name, body, &self.lists)? {
            let mut actions = Vec::new();
            instance.router.handle(now, event, &mut actions);
            for a in actions {
                replies.extend(instance.write(driver, a));
            }
            if name == "CLIENT_LEFT" {
                instance.ended(body)?;
            }
        }
        Ok(())
    }
}

fn not_started(driver: &str) -> Error {
    Error::invalid_value("driver", "a started instance", format_args!("'{driver}'"))
}

fn outcome(code: u64) -> Result<Outcome, Error> {
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

fn ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

impl Instance {
    fn new(v: &Value, seed: u64) -> Result<Self, Error> {
        let (settings, translation) = platform::read(v)?;
        Ok(Instance {
            router: Router::new(settings, seed),
            translation,
            member_ids: HashMap::new(),
            member_names: HashMap::new(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            next_member: 0,
            next_request: 0,
        })
    }

    fn member(&mut self, name: &str) -> MemberId {
        if let Some(id) = self.member_ids.get(name) {
            return *id;
        }
        let id = MemberId(self.next_member);
        self.next_member += 1;
        self.member_ids.insert(name.to_string(), id);
        self.member_names.insert(id, name.to_string());
        id
    }

    fn entry(&mut self, v: &Value) -> Result<MemberEntry, Error> {
        let state = match unsigned_integer(v, "status")? {
            0 => MemberState::Removed,
            1 => MemberState::Ready,
            2 => MemberState::Draining,
            x => return Err(Error::invalid_value("status", "0, 1 or 2", x)),
        };
        let started = v.get("startTimeMs").and_then(Value::as_f64).filter(|s| *s > 0.0);
        Ok(MemberEntry {
            id: self.member(string(v, "member")?),
            group: GroupId(count(v, "shard")?),
            zone: count(v, "hall")?,
            state,
            listed_primary: v.get("leads").and_then(Value::as_f64) == Some(1.0),
            weight: v.get("powerHint").and_then(Value::as_f64).unwrap_or(1.0),
            started_at: started.map(|s| Time(ms_to_micros(s))),
        })
    }

    fn report(&self, body: &Value) -> MemberReport {
        let of = |name: &str| body.get("telemetry").and_then(|t| t.get(name)).and_then(Value::as_f64);
        MemberReport {
            primary: of("x1").map(|x| x == 1.0),
            position: of("x0")
                .filter(|s| s.abs() <= FARTHEST_S)
                .map(|s| Time(self.translation.position_zero + (s * 1e6).round() as Micros)),
        }
    }

    /// The event in the router's words; `None` for what it need not hear.
    fn translate(
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
                    Error::invalid_value("slot", "a list that came before", format_args!("list {slot}"))
                })?;
                let entries = rows.iter().map(|r| self.entry(r)).collect::<Result<Vec<_>, _>>()?;
                Event::MemberListChanged { complete: scope != 1, entries }
            }
            "ACCEPT" => self.accept(now, body)?,
            "UNDER_WAY" => match self.request_ids.get(string(body, "req")?) {
                Some(&request) => Event::ResponseStarted { request },
                None => return Ok(None),
            },
            "OUTCOME" => return self.outcome(body),
            "CLIENT_LEFT" => match self.request_ids.get(string(body, "req")?) {
                Some(&request) => Event::ClientDisconnected { request },
                None => return Ok(None),
            },
            "WAKE" => Event::TimerExpired,
            "PING_RESULT" => {
                let outcome = outcome(unsigned_integer(body, "ending")?)?;
                let report = self.report(body);
                match self.member_ids.get(string(body, "member")?) {
                    Some(&member) => Event::ProbeEnded { member, outcome, report },
                    None => return Ok(None),
                }
            }
            "HEARD" => return Ok(None),
            _ => return Err(Error::invalid_value("arrivals", "a known event", format_args!("'{name}'"))),
        }))
    }

    fn accept(&mut self, now: Time, body: &Value) -> Result<Event, Error> {
        let name = string(body, "req")?;
        let class = unsigned_integer(body, "tierClass")? as usize;
        let write = *self
            .translation
            .class_is_write
            .get(class)
            .ok_or_else(|| Error::invalid_value("tierClass", "a listed class", class))?;
        let tenant = body.get("customer").map_or(Ok(0), |_| unsigned_integer(body, "customer"))? as usize;
        if tenant >= self.translation.tenant_count.max(1) {
            return Err(Error::invalid_value("customer", "a listed tenant", tenant));
        }
        let session = body.get("key").and_then(Value::as_str).map(|k| {
            let mut h = DefaultHasher::new();
            k.hash(&mut h);
            SessionId(h.finish())
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
        };
        self.next_request += 1;
        let known = Known { name: name.to_string(), write, out: 0, ended: false };
        self.requests.insert(request.id, known);
        self.request_ids.insert(name.to_string(), request.id);
        Ok(Event::RequestArrived(request))
    }

    fn outcome(&mut self, body: &Value) -> Result<Option<Event>, Error> {
        let outcome = outcome(unsigned_integer(body, "ending")?)?;
        let attempt = unsigned_integer(body, "attempt")? as u32;
        let ended = boolean(body, "over")?;
        let report = self.report(body);
        let (name, member) = (string(body, "req")?, string(body, "member")?);
        let (Some(&request), Some(&member)) = (self.request_ids.get(name), self.member_ids.get(member))
        else {
            return Ok(None);
        };
        let mark = body.get("mark").map_or(Ok(0), |_| unsigned_integer(body, "mark"))?;
        if mark > MOST_MARK {
            return Err(Error::invalid_value("mark", format!("at most {MOST_MARK}"), mark));
        }
        let at = (mark >= 4).then(|| Time(self.translation.position_zero + (mark / 4) as Micros * 1000));
        let primary = match mark % 4 {
            1 => Some(true),
            2 => Some(false),
            _ => None,
        };
        let mut commit = None;
        let mut note = MemberReport { primary, position: at };
        if let Some(k) = self.requests.get_mut(&request) {
            k.out = k.out.saturating_sub(1);
            k.ended |= ended || outcome == Outcome::Ok;
            if k.write && outcome == Outcome::Ok {
                commit = note.position.take();
            }
        }
        self.drop_if_done(request);
        Ok(Some(Event::AttemptEnded {
            request,
            attempt,
            member,
            outcome,
            request_ended: ended,
            response_report: note,
            commit,
            load_report: report,
        }))
    }

    fn ended(&mut self, body: &Value) -> Result<(), Error> {
        if let Some(&id) = self.request_ids.get(string(body, "req")?) {
            self.finish(id);
        }
        Ok(())
    }

    fn finish(&mut self, id: RequestId) {
        if let Some(k) = self.requests.get_mut(&id) {
            k.ended = true;
        }
        self.drop_if_done(id);
    }

    fn drop_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|k| k.ended && k.out == 0)
            && let Some(k) = self.requests.remove(&id)
        {
            self.request_ids.remove(&k.name);
        }
    }

    /// An action in the wire's words.
    fn write(&mut self, driver: &str, action: Action) -> Option<Value> {
        let name = |id: RequestId| self.requests.get(&id).map(|k| k.name.as_str());
        Some(match action {
            Action::Send { request, member, timeout, .. } => {
                let member = self.member_names.get(&member)?;
                let req = name(request)?;
                let line = json!({"PLACE": {"driver": driver, "req": req, "member": member,
                    "patienceMs": ms(timeout)}});
                if let Some(k) = self.requests.get_mut(&request) {
                    k.out += 1;
                }
                line
            }
            Action::Cancel { request, attempt } => {
                json!({"RETRACT": {"driver": driver, "req": name(request)?, "attempt": attempt}})
            }
            Action::Reject { request, retry_after: come_back } => {
                let line = json!({"SHED": {"driver": driver, "req": name(request)?,
                    "stayAwayMs": ms(come_back.unwrap_or(0))}});
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
                json!({"NOTIFY_ME": {"driver": driver, "spanMs": ms(after), "ref": 0}})
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
