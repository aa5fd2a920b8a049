//! etcd's JSON gateway: keys, transactions, leases and authentication.
use super::contents::{Contents, Entry, LeaseId};
use super::etcd_json::{bytes, key_value, number, text};
use super::http::{Request, Response};
use super::shared::Shared;
use super::state::State;
use serde_json::{Value, json};
use std::time::Duration;

/// Cluster id that members report.
const CLUSTER_ID: u64 = 14_841_639_068_965_178_418;
/// Key that is written between two pages of a read, to simulate another client.
const OTHER_CLIENT_KEY: &str = "/elsewhere";

/// An error response of etcd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EtcdError {
    AuthenticationFailed,
    InvalidToken,
    NoLeader,
    LeaseNotFound,
    Compacted,
}

impl EtcdError {
    fn response(self) -> Response {
        let (status, code, text) = match self {
            EtcdError::AuthenticationFailed => (400, 3, "authentication failed, invalid user ID or password"),
            EtcdError::InvalidToken => (401, 16, "etcdserver: invalid auth token"),
            EtcdError::NoLeader => (503, 14, "etcdserver: no leader"),
            EtcdError::LeaseNotFound => (404, 5, "etcdserver: requested lease not found"),
            EtcdError::Compacted => (400, 11, "etcdserver: mvcc: required revision has been compacted"),
        };
        Response::json(status, &json!({"error": text, "code": code, "message": text}))
    }
}

/// Handles a request to a member.
pub(super) fn respond(shared: &Shared, member: usize, request: &Request) -> Response {
    let body = request.json();
    let mut state = shared.state();
    if state.requires_user() {
        if request.path == "/v3/auth/authenticate" {
            return authenticate(&state, &body);
        }
        if request.token != Some(state.token()) {
            return EtcdError::InvalidToken.response();
        }
    }
    if state.members[member].faults.leaderless {
        return EtcdError::NoLeader.response();
    }
    let header = header(&state, member);
    let result = match request.path.as_str() {
        "/v3/kv/range" => range(&mut state, member, &body),
        "/v3/kv/put" => put(&mut state, &body),
        "/v3/kv/deleterange" => Ok(json!({"revision": state.contents.delete(&text(&body["key"]))})),
        "/v3/kv/txn" => Ok(transact(&mut state.contents, &body)),
        "/v3/lease/grant" => Ok(grant_lease(&mut state, &body)),
        "/v3/lease/keepalive" => Ok(renew_lease(&mut state, &body)),
        "/v3/lease/revoke" => {
            drop(state);
            shared.end_leases(&[lease_id(&body, "ID")]);
            return Response::new(200, "{}");
        }
        _ => return Response::new(404, "{}"),
    };
    drop(state);
    shared.notify();
    match result {
        Ok(mut response) => {
            if response["header"].is_null() {
                response["header"] = header;
            }
            Response::json(200, &response)
        }
        Err(error) => error.response(),
    }
}

fn authenticate(state: &State, body: &Value) -> Response {
    if !state.is_user(&body["name"], &body["password"]) {
        return EtcdError::AuthenticationFailed.response();
    }
    Response::json(200, &json!({"header": {}, "token": state.token()}))
}

/// Returns the header of a response.
fn header(state: &State, member: usize) -> Value {
    let cluster = state.members[member].faults.cluster_id.unwrap_or(CLUSTER_ID);
    json!({"cluster_id": cluster.to_string(), "member_id": (member + 1).to_string(),
        "revision": reported_revision(state, member).to_string(), "raft_term": "2"})
}

/// Returns the revision that a member reports.
fn reported_revision(state: &State, member: usize) -> u64 {
    state.members[member].faults.stale_at_revision.unwrap_or(state.contents.revision())
}

fn range(state: &mut State, member: usize, body: &Value) -> Result<Value, EtcdError> {
    state.read_count += 1;
    let page = read_range(&state.contents, body, reported_revision(state, member))?;
    let faults = &mut state.members[member].faults;
    if page["more"] == true && std::mem::take(&mut faults.compact_after_first_page) {
        // Simulates another client's write and a compaction before the next page is read.
        state.contents.put(OTHER_CLIENT_KEY, vec![], None);
        state.contents.compact();
    }
    Ok(page)
}

/// Reads keys as of the requested revision; without one, as of the reported revision.
fn read_range(contents: &Contents, body: &Value, reported_revision: u64) -> Result<Value, EtcdError> {
    let requested_revision = number(body, "revision");
    if requested_revision > 0 && requested_revision < contents.compacted() {
        return Err(EtcdError::Compacted);
    }
    let revision = if requested_revision > 0 { requested_revision } else { reported_revision };
    let entries = contents.entries_at(revision);
    let range = KeyRange { start: bytes(&body["key"]), end: bytes(&body["range_end"]) };
    let min_modified = number(body, "min_mod_revision");
    let matches = |key: &str, entry: &Entry| range.contains(key) && entry.modified >= min_modified;
    let found: Vec<(&String, &Entry)> = entries.iter().filter(|(key, entry)| matches(key, entry)).collect();
    let count = found.len();
    if body["count_only"] == true {
        return Ok(json!({"count": count.to_string()}));
    }
    let limit = match number(body, "limit") {
        0 => usize::MAX,
        limit => limit as usize,
    };
    let key_values: Vec<Value> = found.iter().take(limit).map(|(key, entry)| key_value(key, entry)).collect();
    Ok(json!({"kvs": key_values, "count": count.to_string(), "more": count > limit}))
}

/// The keys from `start` to before `end`. If `end` is empty, only the key `start`; if it is a zero byte, all
/// keys from `start`.
struct KeyRange {
    start: Vec<u8>,
    end: Vec<u8>,
}

impl KeyRange {
    fn contains(&self, key: &str) -> bool {
        let key = key.as_bytes();
        if self.end.is_empty() {
            return key == self.start;
        }
        key >= &self.start[..] && (key < &self.end[..] || self.end == [0])
    }
}

fn put(state: &mut State, body: &Value) -> Result<Value, EtcdError> {
    let lease = Some(lease_id(body, "lease")).filter(|lease| lease.0 > 0);
    if lease.is_some_and(|lease| !state.has_lease(lease)) {
        return Err(EtcdError::LeaseNotFound);
    }
    let revision = state.contents.put(&text(&body["key"]), bytes(&body["value"]), lease);
    Ok(json!({"header": {"revision": revision.to_string()}}))
}

/// Runs a transaction of one comparison and one put: the put applies only if the key is at the given
/// revision, where 0 stands for a key that does not exist.
fn transact(contents: &mut Contents, body: &Value) -> Value {
    let compare = &body["compare"][0];
    let modified = contents.entry(&text(&compare["key"])).map_or(0, |entry| entry.modified);
    if modified != number(compare, "mod_revision") {
        return json!({});
    }
    let put = &body["success"][0]["request_put"];
    contents.put(&text(&put["key"]), bytes(&put["value"]), None);
    json!({"succeeded": true})
}

fn grant_lease(state: &mut State, body: &Value) -> Value {
    let ttl = number(body, "TTL");
    let id = state.grant_lease(Duration::from_secs(ttl));
    json!({"ID": id.0.to_string(), "TTL": ttl.to_string()})
}

/// Renews a lease. For a lease that has ended, the time to live is omitted, since zeros are omitted.
fn renew_lease(state: &mut State, body: &Value) -> Value {
    let id = lease_id(body, "ID");
    let result = match state.renew_lease(id) {
        Some(ttl) => json!({"ID": id.0.to_string(), "TTL": ttl.as_secs().to_string()}),
        None => json!({"ID": id.0.to_string()}),
    };
    json!({"result": result})
}

fn lease_id(body: &Value, name: &str) -> LeaseId {
    LeaseId(number(body, name))
}
