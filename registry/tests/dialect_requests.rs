//! The requests that the etcd and Consul clients send, byte for byte, and how they interpret recorded
//! responses.
use registry::RequestError;
use registry::consul::Consul;
use registry::etcd::{Etcd, WatchEvent};
use registry::http::{Bounds, HttpClient};
use registry::machine::{Change, Item};
use settings::operator::Credentials;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const BOUNDS: Bounds = Bounds {
    connect_timeout: Duration::from_secs(5),
    read_timeout: Duration::from_secs(20),
    max_bytes: 1 << 16,
};

/// A response: its status line and headers, and its body.
type ScriptedResponse = (&'static str, &'static str);

/// Reads one request: its first line, its auth header, and its body. `None` at the end of the connection.
fn read_request(socket: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut first, mut length, mut auth) = (String::new(), 0, String::new());
    if socket.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        socket.read_line(&mut line).ok()?;
        let header = line.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(n) = header.strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        }
        if header.starts_with("authorization:") || header.starts_with("x-consul-token:") {
            auth = format!(" [{header}]");
        }
    }
    let mut body = vec![0; length];
    socket.read_exact(&mut body).ok()?;
    Some(format!("{}{auth} {}", first.trim(), String::from_utf8_lossy(&body)).trim().to_string())
}

/// Starts a server that sends the scripted responses in turn. Returns a client and the requests that the
/// server received.
fn start_server(responses: Vec<ScriptedResponse>) -> (HttpClient, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        let mut responses = responses.into_iter();
        for socket in listener.incoming().map_while(Result::ok) {
            let mut socket = BufReader::new(socket);
            while let Some(request) = read_request(&mut socket) {
                sender.send(request).unwrap();
                let Some((head, body)) = responses.next() else { return };
                let length = body.len();
                let response = format!("HTTP/1.1 {head}\r\nContent-Length: {length}\r\n\r\n{body}");
                socket.get_mut().write_all(response.as_bytes()).unwrap();
            }
        }
    });
    (HttpClient::new(addr, None, BOUNDS), requests)
}

fn etcd(user: Option<(&str, &str)>, responses: Vec<ScriptedResponse>) -> (Etcd, Receiver<String>) {
    let (http_client, requests) = start_server(responses);
    let credentials =
        user.map(|(user, password)| Credentials { user: user.into(), password: password.into() });
    (Etcd { http_client, credentials, page: 2 }, requests)
}

fn consul(service: Option<&str>, responses: Vec<ScriptedResponse>) -> (Consul, Receiver<String>) {
    let (mut http_client, requests) = start_server(responses);
    http_client.auth_header = Some(("X-Consul-Token", "secret".into()));
    (Consul { http_client, service: service.map(str::to_string) }, requests)
}

fn received_requests(requests: &Receiver<String>) -> Vec<String> {
    requests.try_iter().collect()
}

fn item(key: &str, value: &str, created: u64, modified: u64) -> Item {
    Item { key: key.into(), value: value.into(), created, modified }
}

#[test]
fn etcd_reads_all_pages_at_the_revision_of_the_first_page() {
    let first = r#"{"header":{"cluster_id":"7","revision":"40"},"more":true,"kvs":[
        {"key":"L2EvMQ==","value":"eA==","create_revision":"3","mod_revision":"9"},
        {"key":"L2EvMg==","create_revision":"4","mod_revision":"4"}]}"#;
    let second = r#"{"header":{"cluster_id":"7","revision":"41"},"kvs":[
        {"key":"L2EvMw==","value":"eQ==","create_revision":"5","mod_revision":"6"}]}"#;
    let (mut etcd, requests) = etcd(None, vec![("200 OK", first), ("200 OK", second)]);
    let (read_at, items) = etcd.read("/a/").unwrap();
    assert_eq!((read_at.cluster, read_at.revision), (7, 40));
    assert_eq!(items, [item("/a/1", "x", 3, 9), item("/a/2", "", 4, 4), item("/a/3", "y", 5, 6)]);
    assert_eq!(
        received_requests(&requests),
        [
            r#"POST /v3/kv/range HTTP/1.1 {"key":"L2Ev","limit":"2","range_end":"L2Ew"}"#,
            r#"POST /v3/kv/range HTTP/1.1 {"key":"L2EvMgA=","limit":"2","range_end":"L2Ew","revision":"40"}"#,
        ]
    );
}

#[test]
fn etcd_requests_match_the_recorded_bytes() {
    let revision_response = r#"{"header":{"cluster_id":"7","revision":"40"}}"#;
    let (mut etcd, requests) = etcd(
        None,
        vec![
            ("200 OK", revision_response),
            ("200 OK", revision_response),
            ("200 OK", r#"{"count":"3"}"#),
            ("200 OK", revision_response),
            ("200 OK", r#"{"succeeded":true}"#),
            ("200 OK", r#"{"ID":"99"}"#),
            ("200 OK", r#"{"result":{"TTL":"0"}}"#),
            ("200 OK", "{}"),
            ("400 Bad", r#"{"message":"mvcc: required revision has been compacted"}"#),
            ("400 Bad", r#"{"error":"no"}"#),
        ],
    );
    assert_eq!(etcd.cluster_revision("/a/").unwrap().revision, 40);
    assert_eq!(etcd.unchanged_up_to("/a/", 30, 3).unwrap(), Some(40));
    assert_eq!(etcd.put("/a/k", b"v", Some("99")).unwrap(), 40);
    assert!(etcd.put_if("/a/k", b"v", 12).unwrap());
    assert_eq!(etcd.grant_lease(15).unwrap(), "99");
    assert!(!etcd.keep_alive("99").unwrap());
    etcd.revoke_lease("99").unwrap();
    assert!(matches!(etcd.put("/a/k", b"v", None), Err(RequestError::Compacted)));
    assert!(
        matches!(etcd.put("/a/k", b"v", None), Err(RequestError::Rejected { status: 400, message }) if message == "no")
    );
    assert_eq!(
        received_requests(&requests),
        [
            r#"POST /v3/kv/range HTTP/1.1 {"key":"L2Ev","keys_only":true,"limit":"1"}"#,
            r#"POST /v3/kv/range HTTP/1.1 {"key":"L2Ev","keys_only":true,"limit":"1","min_mod_revision":"31","range_end":"L2Ew"}"#,
            r#"POST /v3/kv/range HTTP/1.1 {"count_only":true,"key":"L2Ev","range_end":"L2Ew","revision":"40"}"#,
            r#"POST /v3/kv/put HTTP/1.1 {"key":"L2Evaw==","lease":"99","value":"dg=="}"#,
            r#"POST /v3/kv/txn HTTP/1.1 {"compare":[{"key":"L2Evaw==","mod_revision":"12","result":"EQUAL","target":"MOD"}],"success":[{"request_put":{"key":"L2Evaw==","value":"dg=="}}]}"#,
            r#"POST /v3/lease/grant HTTP/1.1 {"TTL":"15"}"#,
            r#"POST /v3/lease/keepalive HTTP/1.1 {"ID":"99"}"#,
            r#"POST /v3/lease/revoke HTTP/1.1 {"ID":"99"}"#,
            r#"POST /v3/kv/put HTTP/1.1 {"key":"L2Evaw==","value":"dg=="}"#,
            r#"POST /v3/kv/put HTTP/1.1 {"key":"L2Evaw==","value":"dg=="}"#,
        ]
    );
}

#[test]
fn etcd_logs_in_first_and_again_when_its_token_has_expired() {
    let (mut etcd, requests) = etcd(
        Some(("router", "secret")),
        vec![
            ("200 OK", r#"{"token":"one"}"#),
            ("401 Unauthorized", r#"{"error":"invalid auth token"}"#),
            ("200 OK", r#"{"token":"two"}"#),
            ("200 OK", r#"{"ID":"5"}"#),
        ],
    );
    assert_eq!(etcd.grant_lease(1).unwrap(), "5");
    assert_eq!(
        received_requests(&requests),
        [
            r#"POST /v3/auth/authenticate HTTP/1.1 {"name":"router","password":"secret"}"#,
            r#"POST /v3/lease/grant HTTP/1.1 [authorization: one] {"TTL":"1"}"#,
            r#"POST /v3/auth/authenticate HTTP/1.1 {"name":"router","password":"secret"}"#,
            r#"POST /v3/lease/grant HTTP/1.1 [authorization: two] {"TTL":"1"}"#,
        ]
    );
}

#[test]
fn etcd_watch_delivers_changes_and_progress_until_it_is_cancelled() {
    let lines = concat!(
        r#"{"result":{"header":{"revision":"40"},"created":true}}"#,
        "\n\n",
        r#"{"result":{"header":{"revision":"42"},"events":[{"kv":{"key":"L2EvMQ==","value":"eA==","create_revision":"41","mod_revision":"41"}},{"type":"DELETE","kv":{"key":"L2EvMg==","mod_revision":"42"}}]}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"50"}}}"#,
        "\n",
        r#"{"result":{"canceled":true,"cancel_reason":"not the leader"}}"#,
        "\n",
    );
    let (mut etcd, requests) = etcd(None, vec![("200 OK", lines), ("200 OK", "")]);
    let mut seen = Vec::new();
    let ended = etcd.watch("/a/", 41, Duration::from_secs(20), |event| {
        match event {
            WatchEvent::Changes(changes) => seen.extend(changes),
            WatchEvent::Progress(revision) => seen.push(Change::Delete { key: "progress".into(), revision }),
            WatchEvent::Silence => {}
        }
        true
    });
    assert!(matches!(ended, Err(RequestError::InvalidResponse { reason }) if reason == "not the leader"));
    let changes = [
        Change::Put(item("/a/1", "x", 41, 41)),
        Change::Delete { key: "/a/2".into(), revision: 42 },
        Change::Delete { key: "progress".into(), revision: 50 },
    ];
    assert_eq!(seen, changes);
    assert_eq!(
        received_requests(&requests),
        [
            r#"POST /v3/watch HTTP/1.1 {"create_request":{"key":"L2Ev","progress_notify":true,"range_end":"L2Ew","start_revision":"41"}}"#
        ]
    );
}

#[test]
fn etcd_watch_reports_compaction_in_either_message_format() {
    for line in [
        r#"{"result":{"header":{"revision":"40"},"canceled":true,"compact_revision":"39"}}"#,
        r#"{"result":{"canceled":true,"cancel_reason":"revision has been compacted"}}"#,
    ] {
        let (mut etcd, _requests) = etcd(None, vec![("200 OK", line)]);
        let ended = etcd.watch("/a/", 1, Duration::from_secs(20), |_| true);
        assert!(matches!(ended, Err(RequestError::Compacted)), "{line}");
    }
}

#[test]
fn consul_requests_match_the_recorded_bytes() {
    let keys = r#"[{"Key":"a/1","Value":"eA==","CreateIndex":3,"ModifyIndex":9},{"Key":"a/2","Value":null,"CreateIndex":4,"ModifyIndex":4}]"#;
    let (mut consul, requests) = consul(
        None,
        vec![
            ("200 OK\r\nX-Consul-Index: 12", keys),
            ("404 No\r\nX-Consul-Index: 0", ""),
            ("200 OK\r\nX-Consul-KnownLeader: false", "[]"),
            ("200 OK", "true"),
            ("200 OK", "false"),
            ("200 OK", "true"),
            ("200 OK", r#"{"ID":"s-1"}"#),
            ("200 OK", "[]"),
            ("404 No", ""),
            ("500 No", "why"),
            ("200 OK", "true"),
        ],
    );
    let read = consul.read("/a/", None).unwrap();
    assert_eq!(read, (12, vec![item("/a/1", "x", 3, 9), item("/a/2", "", 4, 4)]));
    assert_eq!(consul.read("/a b/", Some((12, Duration::from_millis(500)))).unwrap(), (1, vec![]));
    assert!(
        matches!(consul.read("/a/", None), Err(error @ RequestError::NoLeader) if error.to_string() == "the registry member knows no leader")
    );
    assert!(consul.put("/a/k", b"v", Some("s-1")).unwrap());
    assert!(!consul.put("/a/k", b"v", None).unwrap());
    assert!(consul.put_if("/a/k", b"v", 9).unwrap());
    assert_eq!(consul.create_session(10).unwrap(), "s-1");
    assert!(consul.renew_session("s-1").unwrap());
    assert!(!consul.renew_session("s-1").unwrap());
    assert!(
        matches!(consul.renew_session("s-1"), Err(RequestError::Rejected { status: 500, message }) if message == "why")
    );
    consul.destroy_session("s-1").unwrap();
    let with_token = |line: &str| line.replacen("HTTP/1.1", "HTTP/1.1 [x-consul-token: secret]", 1);
    let expected = [
        "GET /v1/kv/a/?recurse=true&consistent HTTP/1.1",
        "GET /v1/kv/a%20b/?recurse=true&consistent&index=12&wait=500ms HTTP/1.1",
        "GET /v1/kv/a/?recurse=true&consistent HTTP/1.1",
        "PUT /v1/kv/a/k?acquire=s-1 HTTP/1.1 v",
        "PUT /v1/kv/a/k HTTP/1.1 v",
        "PUT /v1/kv/a/k?cas=9 HTTP/1.1 v",
        r#"PUT /v1/session/create HTTP/1.1 {"Behavior":"delete","LockDelay":"0s","TTL":"10s"}"#,
        "PUT /v1/session/renew/s-1 HTTP/1.1",
        "PUT /v1/session/renew/s-1 HTTP/1.1",
        "PUT /v1/session/renew/s-1 HTTP/1.1",
        "PUT /v1/session/destroy/s-1 HTTP/1.1",
    ];
    assert_eq!(received_requests(&requests), expected.map(with_token));
}

#[test]
fn consul_service_instances_become_node_keys() {
    let health = r#"[
        {"Node":{"Address":"10.0.0.9"},"Service":{"ID":"db-1","Address":"10.0.0.1","Port":3306,"CreateIndex":2,
         "ModifyIndex":8,"Meta":{"zone":"hall-a","group":"3","role":"primary"},"Weights":{"Passing":2}},
         "Checks":[{"Status":"passing"}]},
        {"Node":{"Address":"10.0.0.9"},"Service":{"ID":"db-2","Address":"","Port":3307,"Meta":{"group":"x"}},
         "Checks":[{"Status":"passing"},{"Status":"critical"}]}]"#;
    let (mut consul, requests) = consul(
        Some("my db"),
        vec![("200 OK\r\nX-Consul-Index: 12", health), ("200 OK\r\nX-Consul-Index: 13", "[]")],
    );
    let first = r#"{"addr":"10.0.0.1:3306","group":3,"role":"primary","state":"in_service","weight":2.0,"zone":"hall-a"}"#;
    let second = r#"{"addr":"10.0.0.9:3307","group":"x","state":"draining","weight":1.0,"zone":""}"#;
    let nodes = vec![item("/a/nodes/db-1", first, 2, 8), item("/a/nodes/db-2", second, 0, 0)];
    assert_eq!(consul.health("/a/", None).unwrap(), (12, nodes));
    assert_eq!(consul.health("/a/", Some((12, Duration::from_secs(1)))).unwrap(), (13, vec![]));
    assert_eq!(
        received_requests(&requests),
        [
            "GET /v1/health/service/my%20db?consistent HTTP/1.1 [x-consul-token: secret]",
            "GET /v1/health/service/my%20db?consistent&index=12&wait=1000ms HTTP/1.1 [x-consul-token: secret]",
        ]
    );
}
