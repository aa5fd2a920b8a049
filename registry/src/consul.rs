//! Consul's KV store and health endpoint, with blocking queries. Each answer is the whole list at an index.
use crate::RequestError;
use crate::http::{Member, Response};
use crate::machine::{Item, Revision};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Value, json};
use std::time::Duration;

/// Consul adds up to this part of a query's wait, so that not all return at once.
const WAIT_JITTER_PART: u32 = 16;
/// A blocking query's response may come this much later than its wait ends.
const BLOCKING_QUERY_GRACE: Duration = Duration::from_secs(2);
/// What stays as it is in a path.
const PATH: &AsciiSet = &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// The index at which keys were read, and the keys.
pub type IndexedItems = (Revision, Vec<Item>);

/// A client of one member of Consul.
pub struct Consul {
    /// The member; its token is the header that authenticates.
    pub member: Member,
    /// The service whose instances are nodes besides the keys, if any.
    pub service: Option<String>,
}

fn path(key: &str) -> String {
    utf8_percent_encode(key.trim_start_matches('/'), PATH).to_string()
}

fn refusal(response: &Response) -> RequestError {
    RequestError::Rejected { status: response.code, message: response.text() }
}

/// The part of a query that makes it wait for a change behind an index, and the read timeout that this needs.
fn blocking(after: Option<(Revision, Duration)>) -> (String, Option<Duration>) {
    let Some((index, wait)) = after else { return (String::new(), None) };
    let read_timeout = wait + wait / WAIT_JITTER_PART + BLOCKING_QUERY_GRACE;
    (format!("&index={index}&wait={}ms", wait.as_millis()), Some(read_timeout))
}

fn key_item(entry: &Value) -> Result<Item, RequestError> {
    let value = STANDARD.decode(entry["Value"].as_str().unwrap_or(""));
    Ok(Item {
        key: format!("/{}", entry["Key"].as_str().unwrap_or("").trim_start_matches('/')),
        value: value
            .map_err(|e| RequestError::InvalidResponse { reason: format!("a value is no base64: {e}") })?,
        created: entry["CreateIndex"].as_u64().unwrap_or(0),
        modified: entry["ModifyIndex"].as_u64().unwrap_or(0),
    })
}

/// A service's instance as a node's key: one with a failing check drains.
fn node_item(prefix: &str, instance: &Value) -> Item {
    let service = &instance["Service"];
    Item {
        key: format!("{prefix}nodes/{}", service["ID"].as_str().unwrap_or("")),
        value: node_value(instance).to_string().into_bytes(),
        created: service["CreateIndex"].as_u64().unwrap_or(0),
        modified: service["ModifyIndex"].as_u64().unwrap_or(0),
    }
}

fn node_value(instance: &Value) -> Value {
    let service = &instance["Service"];
    let meta = |name: &str| service["Meta"][name].as_str();
    let is_passing =
        instance["Checks"].as_array().is_none_or(|checks| checks.iter().all(|c| c["Status"] != "critical"));
    let own_host = service["Address"].as_str().filter(|address| !address.is_empty());
    let host = own_host.or(instance["Node"]["Address"].as_str()).unwrap_or("");
    let mut value = json!({
        "addr": format!("{host}:{}", service["Port"].as_u64().unwrap_or(0)),
        "state": if is_passing { "in_service" } else { "draining" },
        "zone": meta("zone").unwrap_or(""),
        "weight": service["Weights"]["Passing"].as_f64().unwrap_or(1.0),
    });
    if let Some(group) = meta("group") {
        // What is no number is left as it is: the fleet names the key as faulty.
        value["group"] = group.parse::<u32>().map_or_else(|_| json!(group), |group| json!(group));
    }
    if let Some(role) = meta("role") {
        value["role"] = json!(role);
    }
    value
}

impl Consul {
    /// The response's index and JSON; an empty list where nothing is found.
    fn get(&mut self, path: &str, read_timeout: Option<Duration>) -> Result<(Revision, Value), RequestError> {
        let response = match read_timeout {
            Some(timeout) => self.member.request_with_timeout("GET", path, b"", timeout)?,
            None => self.member.request("GET", path, b"")?,
        };
        if !response.knows_leader {
            return Err(RequestError::NoLeader);
        }
        // An index must be above zero; one that is not would make the next query return at once, over and over.
        let index = response.index.unwrap_or(0).max(1);
        match response.code {
            200 => Ok((index, response.json()?)),
            404 => Ok((index, json!([]))),
            _ => Err(refusal(&response)),
        }
    }

    /// Everything under a prefix; with `after`, once it has changed behind that index or that wait is over.
    ///
    /// # Errors
    /// The request failed, or the member knows no leader.
    pub fn read(
        &mut self,
        prefix: &str,
        after: Option<(Revision, Duration)>,
    ) -> Result<IndexedItems, RequestError> {
        let (query, read_timeout) = blocking(after);
        let path = format!("/v1/kv/{}?recurse=true&consistent{query}", path(prefix));
        let (index, list) = self.get(&path, read_timeout)?;
        let list = list
            .as_array()
            .ok_or_else(|| RequestError::InvalidResponse { reason: "no list of keys".into() })?;
        Ok((index, list.iter().map(key_item).collect::<Result<_, RequestError>>()?))
    }

    /// The service's instances as nodes' keys under the prefix, with `after` as for [`Consul::read`]; none at index 0
    /// where there is no service.
    ///
    /// # Errors
    /// The request failed, or the member knows no leader.
    pub fn health(
        &mut self,
        prefix: &str,
        after: Option<(Revision, Duration)>,
    ) -> Result<IndexedItems, RequestError> {
        let Some(service) = self.service.clone() else { return Ok((0, Vec::new())) };
        let (query, read_timeout) = blocking(after);
        let path = format!("/v1/health/service/{}?consistent{query}", path(&service));
        let (index, list) = self.get(&path, read_timeout)?;
        let list = list
            .as_array()
            .ok_or_else(|| RequestError::InvalidResponse { reason: "no list of instances".into() })?;
        Ok((index, list.iter().map(|instance| node_item(prefix, instance)).collect()))
    }

    /// Sets a key, held by a session where one is named; `false` where another holds it.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn put(&mut self, key: &str, value: &[u8], session: Option<&str>) -> Result<bool, RequestError> {
        let acquire = session.map_or(String::new(), |s| format!("?acquire={s}"));
        let response = self.member.request("PUT", &format!("/v1/kv/{}{acquire}", path(key)), value)?;
        Ok(response.json()? == true)
    }

    /// Sets a key if it is still at this index.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn put_if(&mut self, key: &str, value: &[u8], modified: Revision) -> Result<bool, RequestError> {
        let response = self.member.request("PUT", &format!("/v1/kv/{}?cas={modified}", path(key)), value)?;
        Ok(response.json()? == true)
    }

    /// Creates a session whose keys are deleted when it ends; its id.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn create_session(&mut self, ttl_s: u64) -> Result<String, RequestError> {
        let body = json!({"TTL": format!("{ttl_s}s"), "Behavior": "delete", "LockDelay": "0s"}).to_string();
        let created = self.member.request("PUT", "/v1/session/create", body.as_bytes())?.json()?;
        created["ID"]
            .as_str()
            .map(str::to_string)
            .ok_or_else(|| RequestError::InvalidResponse { reason: "no session".into() })
    }

    /// Renews a session; `false` where it is lost.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn renew_session(&mut self, session: &str) -> Result<bool, RequestError> {
        let response = self.member.request("PUT", &format!("/v1/session/renew/{session}"), b"")?;
        match response.code {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(refusal(&response)),
        }
    }

    /// Ends a session.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn destroy_session(&mut self, session: &str) -> Result<(), RequestError> {
        self.member.request("PUT", &format!("/v1/session/destroy/{session}"), b"")?.json().map(|_| ())
    }
}
