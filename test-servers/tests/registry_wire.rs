//! Tests the registry's HTTP responses to clients of etcd's JSON gateway and of Consul's interface against
//! recordings.
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use test_servers::registry::Registry;

const ETCD: &str = include_str!("fixtures/etcd.txt");
const ETCD_WATCH: &str = include_str!("fixtures/etcd_watch.txt");
const CONSUL: &str = include_str!("fixtures/consul.txt");

/// A client that records its requests and the responses.
struct Client {
    stream: BufReader<TcpStream>,
    transcript: String,
}

impl Client {
    fn connect(registry: &Registry) -> Client {
        let stream = TcpStream::connect(registry.addresses()[0]).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Client { stream: BufReader::new(stream), transcript: String::new() }
    }

    fn send(&mut self, method: &str, target: &str, headers: &str, body: &str) {
        let length = body.len();
        let request =
            format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.get_mut().write_all(request.as_bytes()).unwrap();
        writeln!(self.transcript, "> {method} {target} {headers:?} {body}").unwrap();
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).unwrap();
        writeln!(self.transcript, "{line:?}").unwrap();
        line
    }

    /// Reads a response with a content length.
    fn read_response(&mut self) -> Value {
        let mut length = 0;
        loop {
            let line = self.read_line();
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.trim().parse().unwrap();
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).unwrap();
        let body = String::from_utf8(body).unwrap();
        writeln!(self.transcript, "{body}").unwrap();
        serde_json::from_str(&body).unwrap_or_default()
    }

    fn exchange(&mut self, method: &str, target: &str, headers: &str, body: &str) -> Value {
        self.send(method, target, headers, body);
        self.read_response()
    }

    fn post(&mut self, path: &str, body: &Value) -> Value {
        self.exchange("POST", path, "", &body.to_string())
    }
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

#[test]
fn etcd_responses_match_recording() {
    let registry = Registry::start(1, None);
    let mut client = Client::connect(&registry);
    let all = json!({"key": encode("/a"), "range_end": encode("/b")});
    client.post("/v3/kv/range", &all);
    client.post("/v3/kv/put", &json!({"key": encode("/a/1"), "value": encode("one")}));
    client.post("/v3/kv/put", &json!({"key": encode("/a/2"), "value": encode("two")}));
    client.post("/v3/kv/put", &json!({"key": encode("/a/2"), "value": encode("second")}));
    client.post("/v3/kv/range", &all);
    client.post("/v3/kv/range", &json!({"key": encode("/a"), "range_end": encode("/b"), "limit": 1}));
    client.post("/v3/kv/range", &json!({"key": encode("/a"), "range_end": encode("/b"), "count_only": true}));
    client.post("/v3/kv/range", &json!({"key": encode("/a"), "range_end": encode("/b"), "revision": "2"}));
    client.post(
        "/v3/kv/range",
        &json!({"key": encode("/a"), "range_end": encode("/b"), "min_mod_revision": 4}),
    );
    client.post("/v3/kv/range", &json!({"key": encode("/a/1")}));
    client.post("/v3/kv/range", &json!({"key": encode("/"), "range_end": encode("\0")}));
    for revision in [2, 3] {
        let compare = json!([{"key": encode("/a/1"), "mod_revision": revision}]);
        let put = json!([{"request_put": {"key": encode("/a/1"), "value": encode("new")}}]);
        client.post("/v3/kv/txn", &json!({"compare": compare, "success": put}));
    }
    client.post("/v3/kv/put", &json!({"key": encode("/a/3"), "value": "", "lease": "5"}));
    let lease = client.post("/v3/lease/grant", &json!({"TTL": "60"}))["ID"].clone();
    client.post("/v3/kv/put", &json!({"key": encode("/a/3"), "value": "", "lease": lease}));
    client.post("/v3/lease/keepalive", &json!({"ID": lease}));
    client.post("/v3/lease/revoke", &json!({"ID": lease}));
    client.post("/v3/lease/keepalive", &json!({"ID": lease}));
    client.post("/v3/kv/deleterange", &json!({"key": encode("/a/1")}));
    client.post("/v3/kv/range", &all);
    client.post("/v3/nothing", &json!({}));
    registry.compact();
    client.post("/v3/kv/range", &json!({"key": encode("/a"), "range_end": encode("/b"), "revision": "2"}));
    registry.update_faults(0, |f| (f.stale_at_revision, f.cluster_id) = (Some(4), Some(9)));
    client.post("/v3/kv/range", &json!({"key": encode("/c")}));
    registry.update_faults(0, |f| f.leaderless = true);
    client.post("/v3/kv/range", &all);
    registry.update_faults(0, |f| *f = Default::default());
    registry.require_user("router", "secret");
    client.post("/v3/kv/range", &all);
    client.post("/v3/auth/authenticate", &json!({"name": "router", "password": "wrong"}));
    let token = client.post("/v3/auth/authenticate", &json!({"name": "router", "password": "secret"}));
    let headers = format!("Authorization: {}\r\n", token["token"].as_str().unwrap());
    client.exchange("POST", "/v3/kv/range", &headers, &all.to_string());
    assert_eq!(client.transcript, ETCD);
}

#[test]
fn etcd_watch_events_match_recording() {
    let registry = Registry::start(1, None);
    registry.put("/a/1", "one");
    let mut client = Client::connect(&registry);
    let create =
        json!({"create_request": {"key": encode("/a/"), "range_end": encode("/a0"), "start_revision": "2"}});
    client.send("POST", "/v3/watch", "", &create.to_string());
    // The response head, then `created` and the first event, each a chunk of two lines and an empty one.
    (0..4 + 2 * 3).for_each(|_| drop(client.read_line()));
    registry.put("/elsewhere", "x");
    registry.delete("/a/1");
    (0..3).for_each(|_| drop(client.read_line()));
    registry.update_faults(0, |f| f.duplicated_events = true);
    registry.put("/a/2", "two");
    (0..3).for_each(|_| drop(client.read_line()));
    registry.update_faults(0, |f| (f.duplicated_events, f.reversed_events) = (false, true));
    registry.apply_together(|contents| {
        contents.put("/a/3", b"three".to_vec(), None);
        contents.put("/a/4", b"four".to_vec(), None);
    });
    (0..3).for_each(|_| drop(client.read_line()));
    registry.update_faults(0, |f| f.truncate_next_event = true);
    registry.put("/a/5", "five");
    (0..2).for_each(|_| drop(client.read_line()));
    assert_eq!(client.read_line(), "");
    registry.compact();
    let mut late_client = Client::connect(&registry);
    late_client.send("POST", "/v3/watch", "", &create.to_string());
    (0..4 + 2 * 3).for_each(|_| drop(late_client.read_line()));
    assert_eq!(late_client.read_line(), "");
    let transcript = client.transcript + &late_client.transcript;
    assert_eq!(transcript, ETCD_WATCH);
}

#[test]
fn consul_responses_match_recording() {
    let registry = Registry::start(1, None);
    let mut client = Client::connect(&registry);
    client.exchange("GET", "/v1/kv/a/?recurse", "", "");
    client.exchange("PUT", "/v1/kv/a/1", "", "one");
    client.exchange("PUT", "/v1/kv/a/1?cas=0", "", "late");
    client.exchange("PUT", "/v1/kv/a/1?cas=2", "", "two");
    client.exchange("GET", "/v1/kv/a/?recurse", "", "");
    client.exchange("GET", "/v1/kv/a/?recurse&index=3&wait=10ms", "", "");
    client.exchange("GET", "/v1/kv/a/?recurse&index=99&wait=60000ms", "", "");
    let session = client.exchange("PUT", "/v1/session/create", "", "{\"TTL\":\"60s\"}");
    let session = session["ID"].as_str().unwrap().to_string();
    client.exchange("PUT", &format!("/v1/kv/a/2?acquire={session}"), "", "held");
    client.exchange("PUT", "/v1/kv/a/2?acquire=5", "", "unknown session");
    let other = client.exchange("PUT", "/v1/session/create", "", "{}")["ID"].as_str().unwrap().to_string();
    client.exchange("PUT", &format!("/v1/kv/a/2?acquire={other}"), "", "another session");
    client.exchange("PUT", &format!("/v1/session/renew/{session}"), "", "");
    client.exchange("PUT", &format!("/v1/session/destroy/{session}"), "", "");
    client.exchange("PUT", &format!("/v1/session/renew/{session}"), "", "");
    client.exchange("GET", "/v1/kv/a/?recurse", "", "");
    client.exchange("DELETE", "/v1/kv/a/1", "", "");
    client.exchange("GET", "/v1/health/service/db", "", "");
    registry.set_service("db", json!([{"Service": {"ID": "db-1", "Port": 3306}}]));
    client.exchange("GET", "/v1/health/service/db", "X-Consul-Token: t\r\n", "");
    client.exchange("PUT", "/v1/session/other/1", "", "");
    client.exchange("GET", "/v1/nothing", "", "");
    registry.update_faults(0, |f| (f.stale_at_revision, f.leaderless) = (Some(2), true));
    client.exchange("GET", "/v1/health/service/db", "", "");
    assert_eq!(client.transcript, CONSUL);
}
