//! Client for Consul's KV store and health endpoint with blocking queries. Each response contains all keys at
//! one index.
use crate::RequestError;
use crate::http::{HttpClient, Response};
use crate::machine::{Item, Revision};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Value, json};
use std::time::Duration;

/// Consul extends a blocking query's wait by a random time of up to 1/16, so that queries do not all return
/// at once.
const WAIT_JITTER_DIVISOR: u32 = 16;
/// Added to the read timeout of a blocking query, for the delay between the end of its wait and the response.
const BLOCKING_QUERY_GRACE: Duration = Duration::from_secs(2);
/// The characters that are percent-encoded in a path.
const PATH_ENCODE_SET: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Keys and the Consul index at which they were read.
pub type IndexedItems = (Revision, Vec<Item>);

/// A client of one Consul member.
pub struct Consul {
    /// The HTTP client; its auth header carries the ACL token.
    pub http_client: HttpClient,
    /// A service whose instances are listed as nodes in addition to the node keys.
    pub service: Option<String>,
}

fn encode_path(key: &str) -> String {
    utf8_percent_encode(key.trim_start_matches('/'), PATH_ENCODE_SET).to_string()
}

fn rejection(response: &Response) -> RequestError {
    RequestError::Rejected { status: response.code, message: response.text() }
}

/// The query parameters of a blocking query that waits for a change after an index, and the read timeout it
/// needs.
fn blocking_query(after: Option<(Revision, Duration)>) -> (String, Option<Duration>) {
    let Some((index, wait)) = after else { return (String::new(), None) };
    let read_timeout = wait + wait / WAIT_JITTER_DIVISOR + BLOCKING_QUERY_GRACE;
    (format!("&index={index}&wait={}ms", wait.as_millis()), Some(read_timeout))
}

fn key_item(entry: &Value) -> Result<Item, RequestError> {
    let value = STANDARD.decode(entry["Value"].as_str().unwrap_or(""));
    Ok(Item {
        key: format!("/{}", entry["Key"].as_str().unwrap_or("").trim_start_matches('/')),
        value: value
            .map_err(|e| RequestError::InvalidResponse { reason: format!("a value is not base64: {e}") })?,
        created: entry["CreateIndex"].as_u64().unwrap_or(0),
        modified: entry["ModifyIndex"].as_u64().unwrap_or(0),
    })
}

/// Converts a service instance to a node's key; an instance with a critical check is draining.
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
        // An invalid number is passed on unchanged, so that the fleet reports the node as invalid.
        value["group"] = group.parse::<u32>().map_or_else(|_| json!(group), |group| json!(group));
    }
    if let Some(role) = meta("role") {
        value["role"] = json!(role);
    }
    value
}

impl Consul {
    /// Returns the index and the JSON body of a response; an empty list for status 404.
    fn get(&mut self, path: &str, read_timeout: Option<Duration>) -> Result<(Revision, Value), RequestError> {
        let response = match read_timeout {
            Some(timeout) => self.http_client.request_with_timeout("GET", path, b"", timeout)?,
            None => self.http_client.request("GET", path, b"")?,
        };
        if !response.knows_leader {
            return Err(RequestError::NoLeader);
        }
        // With index 0 the next blocking query would return at once, resulting in a busy loop.
        let index = response.index.unwrap_or(0).max(1);
        match response.code {
            200 => Ok((index, response.json()?)),
            404 => Ok((index, json!([]))),
            _ => Err(rejection(&response)),
        }
    }

    /// Reads all keys under a prefix. With `after`, waits until a key has changed after that index or the
    /// wait has ended.
    ///
    /// # Errors
    /// If the request failed, or the Consul member knows no leader.
    pub fn read(
        &mut self,
        prefix: &str,
        after: Option<(Revision, Duration)>,
    ) -> Result<IndexedItems, RequestError> {
        let (query, read_timeout) = blocking_query(after);
        let path = format!("/v1/kv/{}?recurse=true&consistent{query}", encode_path(prefix));
        let (index, list) = self.get(&path, read_timeout)?;
        let list = list
            .as_array()
            .ok_or_else(|| RequestError::InvalidResponse { reason: "not a list of keys".into() })?;
        Ok((index, list.iter().map(key_item).collect::<Result<_, RequestError>>()?))
    }

    /// Reads the service's instances and converts them to node keys under the prefix; `after` as in
    /// [`Consul::read`]. Without a configured service it returns no keys, at index 0.
    ///
    /// # Errors
    /// If the request failed, or the Consul member knows no leader.
    pub fn health(
        &mut self,
        prefix: &str,
        after: Option<(Revision, Duration)>,
    ) -> Result<IndexedItems, RequestError> {
        let Some(service) = self.service.clone() else { return Ok((0, Vec::new())) };
        let (query, read_timeout) = blocking_query(after);
        let path = format!("/v1/health/service/{}?consistent{query}", encode_path(&service));
        let (index, list) = self.get(&path, read_timeout)?;
        let list = list
            .as_array()
            .ok_or_else(|| RequestError::InvalidResponse { reason: "not a list of instances".into() })?;
        Ok((index, list.iter().map(|instance| node_item(prefix, instance)).collect()))
    }

    /// Sets a key, locked by a session if given; `false` if another session has locked it.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn put(&mut self, key: &str, value: &[u8], session: Option<&str>) -> Result<bool, RequestError> {
        let acquire = session.map_or(String::new(), |s| format!("?acquire={s}"));
        let response =
            self.http_client.request("PUT", &format!("/v1/kv/{}{acquire}", encode_path(key)), value)?;
        Ok(response.json()? == true)
    }

    /// Sets a key if its modification index is still `modified`; `false` otherwise.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn put_if(&mut self, key: &str, value: &[u8], modified: Revision) -> Result<bool, RequestError> {
        let response =
            self.http_client.request("PUT", &format!("/v1/kv/{}?cas={modified}", encode_path(key)), value)?;
        Ok(response.json()? == true)
    }

    /// Creates a session whose keys Consul deletes when it ends; returns its ID.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn create_session(&mut self, ttl_s: u64) -> Result<String, RequestError> {
        let body = json!({"TTL": format!("{ttl_s}s"), "Behavior": "delete", "LockDelay": "0s"}).to_string();
        let created = self.http_client.request("PUT", "/v1/session/create", body.as_bytes())?.json()?;
        created["ID"]
            .as_str()
            .map(str::to_string)
            .ok_or_else(|| RequestError::InvalidResponse { reason: "response without session ID".into() })
    }

    /// Renews a session; `false` if it has ended.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn renew_session(&mut self, session: &str) -> Result<bool, RequestError> {
        let response = self.http_client.request("PUT", &format!("/v1/session/renew/{session}"), b"")?;
        match response.code {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(rejection(&response)),
        }
    }

    /// Ends a session.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn destroy_session(&mut self, session: &str) -> Result<(), RequestError> {
        self.http_client.request("PUT", &format!("/v1/session/destroy/{session}"), b"")?.json().map(|_| ())
    }
}
