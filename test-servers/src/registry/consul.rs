//! Consul's HTTP interface: keys, sessions and service health, with blocking queries.
use super::contents::LeaseId;
use super::etcd_json::encode;
use super::http::{Request, Response};
use super::shared::Shared;
use super::state::State;
use serde_json::{Value, json};
use std::time::Duration;

/// Prefix of all paths of the interface.
pub(super) const PATH_PREFIX: &str = "/v1/";
/// Time to live of a session whose request specifies none, in seconds.
const DEFAULT_SESSION_TTL_S: u64 = 10;

/// A list and its index. A blocking query waits until the index changes.
struct IndexedList {
    index: u64,
    items: Vec<Value>,
}

/// HTTP status of the response for an empty list.
#[derive(Clone, Copy)]
enum EmptyList {
    Found = 200,
    NotFound = 404,
}

/// Handles a request to a member.
pub(super) fn respond(shared: &Shared, member: usize, request: &Request) -> Response {
    let path = request.path.trim_start_matches(PATH_PREFIX);
    if let Some(key) = path.strip_prefix("kv/") {
        let key = format!("/{key}");
        if request.method == "GET" {
            return list_keys(shared, member, request, &key);
        }
        return change_key(shared, request, &key);
    }
    if let Some(service) = path.strip_prefix("health/service/") {
        return list_service(shared, member, request, service);
    }
    match path.strip_prefix("session/") {
        Some(operation) => change_session(shared, request, operation),
        None => Response::new(404, ""),
    }
}

fn list_keys(shared: &Shared, member: usize, request: &Request, prefix: &str) -> Response {
    shared.state().read_count += 1;
    let list = |state: &State| {
        let items = state.contents.with_prefix(prefix).map(|(key, entry)| {
            json!({"Key": &key[1..], "Value": encode(&entry.value), "Flags": 0,
                "CreateIndex": entry.created, "ModifyIndex": entry.modified})
        });
        IndexedList { index: state.contents.revision(), items: items.collect() }
    };
    blocking_query(shared, member, request, EmptyList::NotFound, list)
}

fn list_service(shared: &Shared, member: usize, request: &Request, service: &str) -> Response {
    let list = |state: &State| IndexedList {
        index: state.services_index(),
        items: state.service_instances(service),
    };
    blocking_query(shared, member, request, EmptyList::Found, list)
}

/// Sets or deletes a key. If the request names a session or an index, the change applies only under that
/// session's lock or at that index.
fn change_key(shared: &Shared, request: &Request, key: &str) -> Response {
    let mut state = shared.state();
    let session = request.query_number("acquire").map(LeaseId);
    let entry = state.contents.entry(key);
    let applies = match (session, request.query_number("cas")) {
        (Some(session), _) if !state.has_lease(session) => return Response::new(500, "invalid session"),
        (Some(session), _) => entry.and_then(|entry| entry.lease).is_none_or(|lease| lease == session),
        (None, Some(index)) => entry.map_or(0, |entry| entry.modified) == index,
        (None, None) => true,
    };
    if applies && request.method == "DELETE" {
        state.contents.delete(key);
    } else if applies {
        state.contents.put(key, request.body.clone(), session);
    }
    drop(state);
    shared.notify();
    Response::new(200, applies.to_string())
}

fn change_session(shared: &Shared, request: &Request, operation: &str) -> Response {
    match operation.split_once('/') {
        None if operation == "create" => create_session(shared, request),
        Some(("renew", id)) => renew_session(shared, parse_session(id)),
        Some(("destroy", id)) => {
            shared.end_leases(&[parse_session(id)]);
            Response::new(200, "true")
        }
        _ => Response::new(404, ""),
    }
}

fn create_session(shared: &Shared, request: &Request) -> Response {
    let body = request.json();
    let ttl = body["TTL"].as_str().and_then(|ttl| ttl.trim_end_matches('s').parse().ok());
    let ttl = Duration::from_secs(ttl.unwrap_or(DEFAULT_SESSION_TTL_S));
    let id = shared.state().grant_lease(ttl);
    Response::json(200, &json!({"ID": id.0.to_string()}))
}

fn renew_session(shared: &Shared, id: LeaseId) -> Response {
    match shared.state().renew_lease(id) {
        Some(_) => Response::new(200, "[{}]"),
        None => Response::new(404, "no such session"),
    }
}

fn parse_session(id: &str) -> LeaseId {
    LeaseId(id.parse().unwrap_or(0))
}

/// Responds with a list. If the request names the current index, waits until the index changes, at most for
/// the request's wait time.
fn blocking_query(
    shared: &Shared,
    member: usize,
    request: &Request,
    empty: EmptyList,
    list: impl Fn(&State) -> IndexedList,
) -> Response {
    let known_index = request.query_number("index").unwrap_or(0);
    let wait = request.query.get("wait").and_then(|wait| wait.trim_end_matches("ms").parse().ok());
    let state = shared.wait_timeout_while(Duration::from_millis(wait.unwrap_or(0)), |state| {
        let down = state.members[member].faults.down;
        // A request with an index ahead of the registry's gets an immediate response with the lower index.
        known_index > 0 && list(state).index == known_index && !down
    });
    let IndexedList { index, items } = list(&state);
    let faults = &state.members[member].faults;
    let index = faults.stale_at_revision.unwrap_or(index);
    let has_leader = !faults.leaderless;
    let headers = format!(
        "X-Consul-Index: {index}\r\nX-Consul-KnownLeader: {has_leader}\r\nX-Consul-LastContact: 0\r\n"
    );
    let status = if items.is_empty() { empty as u16 } else { 200 };
    Response { status, headers, body: Value::Array(items).to_string().into_bytes() }
}
