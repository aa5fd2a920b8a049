//! Parses discovery's JSON objects into updates of the endpoint list.

use routing::{EndpointEntry, EndpointUpdate, GroupId, MemberState, Time};
use serde_json::Value;
use settings::Error;
use settings::fields::{array, boolean, count, string, unsigned_integer};

/// Microseconds per millisecond; discovery states times in milliseconds.
const MICROS_PER_MS: f64 = 1000.0;

/// Parses complete endpoint lists and changes of them, and assigns numbers to the zones in them.
pub struct EndpointListParser {
    /// Names of the zones; a zone's index is its number.
    zones: Vec<String>,
}

impl EndpointListParser {
    /// Creates a parser for these configured zones; a zone's index is its number. Unknown zones get the next
    /// numbers in the order of their first appearance.
    pub fn new(zones: Vec<String>) -> Self {
        EndpointListParser { zones }
    }

    /// Parses one JSON object.
    ///
    /// # Errors
    /// If the bytes are not JSON or not an endpoint list; see [`parse_value`](Self::parse_value).
    pub fn parse(&mut self, bytes: &[u8]) -> Result<EndpointUpdate, Error> {
        let value: Value = serde_json::from_slice(bytes)?;
        self.parse_value(&value)
    }

    /// Converts one JSON object: a complete list or a change.
    ///
    /// # Errors
    /// If a key is missing or has an invalid value; the error names the server and the key.
    pub fn parse_value(&mut self, value: &Value) -> Result<EndpointUpdate, Error> {
        let servers = array(value, "servers")?;
        let endpoints = servers.iter().map(|server| self.parse_entry(server)).collect::<Result<_, _>>()?;
        Ok(EndpointUpdate {
            version: unsigned_integer(value, "version")?,
            complete: boolean(value, "full")?,
            endpoints,
        })
    }

    fn parse_entry(&mut self, server: &Value) -> Result<EndpointEntry, Error> {
        let id = string(server, "id")?.to_string();
        let in_server = |error: Error| error.under_key(format!("server {id}"));
        let state = parse_state(server).map_err(in_server)?;
        let addr = string(server, "addr").map_err(in_server)?;
        let addr = addr
            .parse()
            .map_err(|_| in_server(Error::invalid_value("addr", "ip:port", format_args!("'{addr}'"))))?;
        let started_ms = server.get("started_ms").and_then(Value::as_f64).filter(|ms| *ms > 0.0);
        let zone = self.zone_number(server.get("zone").and_then(Value::as_str).unwrap_or(""));
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

    /// Returns the number of a zone; assigns the next one to an unknown zone.
    fn zone_number(&mut self, name: &str) -> u32 {
        let index = self.zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        index as u32
    }
}

fn parse_state(server: &Value) -> Result<MemberState, Error> {
    match string(server, "state")? {
        "in_service" => Ok(MemberState::Ready),
        "terminating" => Ok(MemberState::Draining),
        "terminated" => Ok(MemberState::Removed),
        other => Err(Error::invalid("a known 'state'", format_args!("'{other}'"))),
    }
}
