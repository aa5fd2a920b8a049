//! Discovery's JSON objects as updates of the endpoint list.

use routing::{EndpointEntry, EndpointUpdate, GroupId, MemberState, Time};
use serde_json::Value;
use settings::Error;
use settings::fields::{array, boolean, count, string, unsigned_integer};

/// Microseconds in a millisecond, the unit in which discovery gives times.
const MICROS_PER_MS: f64 = 1000.0;

/// Parses endpoint lists and changes, and numbers the zones that they name.
pub struct EndpointListParser {
    /// Names of the zones, in the order of their numbers.
    zones: Vec<String>,
}

impl EndpointListParser {
    /// A parser for these zones, whose places are their numbers. Zones with other names get the numbers after them, in
    /// the order in which they appear.
    pub fn new(zones: Vec<String>) -> Self {
        EndpointListParser { zones }
    }

    /// Parses the bytes of one object.
    ///
    /// # Errors
    /// They are not JSON, or no endpoint list; see [`parse_value`](Self::parse_value).
    pub fn parse(&mut self, bytes: &[u8]) -> Result<EndpointUpdate, Error> {
        let value: Value = serde_json::from_slice(bytes)?;
        self.parse_value(&value)
    }

    /// Reads one object: a complete list or a change of it.
    ///
    /// # Errors
    /// A key is missing or has a value that can't be used; the error names the server and the key.
    pub fn parse_value(&mut self, value: &Value) -> Result<EndpointUpdate, Error> {
        let servers = array(value, "servers")?;
        let endpoints = servers.iter().map(|server| self.entry(server)).collect::<Result<_, _>>()?;
        Ok(EndpointUpdate {
            version: unsigned_integer(value, "version")?,
            complete: boolean(value, "full")?,
            endpoints,
        })
    }

    fn entry(&mut self, server: &Value) -> Result<EndpointEntry, Error> {
        let id = string(server, "id")?.to_string();
        let in_server = |error: Error| error.under_key(format!("server {id}"));
        let state = state(server).map_err(in_server)?;
        let addr = string(server, "addr").map_err(in_server)?;
        let addr = addr
            .parse()
            .map_err(|_| in_server(Error::invalid_value("addr", "ip:port", format_args!("'{addr}'"))))?;
        let started_ms = server.get("started_ms").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let zone = self.zone(server.get("zone").and_then(Value::as_str).unwrap_or(""));
        Ok(EndpointEntry {
            addr,
            group: GroupId(count(server, "cell").map_err(in_server)?),
            zone,
            site: None,
            state,
            listed_primary: server.get("mode").and_then(Value::as_str) == Some("read-write"),
            weight: server.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            started_at: started_ms.map(|ms| Time((ms * MICROS_PER_MS) as i64)),
            id,
        })
    }

    /// The number of a zone.
    fn zone(&mut self, name: &str) -> u32 {
        let index = self.zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        index as u32
    }
}

fn state(server: &Value) -> Result<MemberState, Error> {
    match string(server, "state")? {
        "in_service" => Ok(MemberState::Ready),
        "terminating" => Ok(MemberState::Draining),
        "terminated" => Ok(MemberState::Removed),
        other => Err(Error::invalid("a known 'state'", format_args!("'{other}'"))),
    }
}
