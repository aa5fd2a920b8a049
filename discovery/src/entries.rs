//! Discovery's lines of JSON as news for the list.
use routing::{EndpointEntry, EndpointUpdate, GroupId, MemberState, Time};
use serde_json::Value;
use settings::Error;
use settings::fields::{array, count, flag, text, whole};

/// Reads lists; numbers the zones by the names that the settings give.
pub struct Reader {
    zones: Vec<String>,
}

impl Reader {
    /// A reader for these zones; others get numbers after them.
    pub fn new(zones: Vec<String>) -> Self {
        Reader { zones }
    }

    /// One line.
    pub fn read(&mut self, line: &[u8]) -> Result<EndpointUpdate, Error> {
        let v: Value = serde_json::from_slice(line)?;
        self.news(&v)
    }

    /// A list or a change.
    pub fn news(&mut self, v: &Value) -> Result<EndpointUpdate, Error> {
        let servers = array(v, "servers")?;
        let entries = servers.iter().map(|s| self.entry(s)).collect::<Result<_, _>>()?;
        Ok(EndpointUpdate { version: whole(v, "version")?, complete: flag(v, "full")?, endpoints: entries })
    }

    fn entry(&mut self, v: &Value) -> Result<EndpointEntry, Error> {
        let id = text(v, "id")?.to_string();
        let named = |e: Error| e.at(format!("server {id}"));
        let state = match text(v, "state").map_err(named)? {
            "in_service" => MemberState::Ready,
            "terminating" => MemberState::Draining,
            "terminated" => MemberState::Removed,
            x => return Err(named(Error::here("a known 'state'", format_args!("'{x}'")))),
        };
        let addr = text(v, "addr").map_err(named)?;
        let addr =
            addr.parse().map_err(|_| named(Error::value("addr", "ip:port", format_args!("'{addr}'"))))?;
        let started = v.get("started_ms").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let zone = self.zone(v.get("zone").and_then(Value::as_str).unwrap_or(""));
        Ok(EndpointEntry {
            addr,
            group: GroupId(count(v, "cell").map_err(named)?),
            zone,
            site: None,
            state,
            listed_primary: v.get("mode").and_then(Value::as_str) == Some("read-write"),
            weight: v.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            started_at: started.map(|ms| Time((ms * 1000.0) as i64)),
            id,
        })
    }

    fn zone(&mut self, name: &str) -> u32 {
        let at = self.zones.iter().position(|z| z == name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        at as u32
    }
}
