//! Handling of slow, truncated, too long and invalid responses, and of closed connections.
use registry::RequestError;
use registry::http::{Bounds, HttpClient, LineStream};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const BOUNDS: Bounds =
    Bounds { connect_timeout: Duration::from_secs(5), read_timeout: Duration::from_secs(20), max_bytes: 40 };
/// A read timeout that expires almost at once.
const SHORT: Duration = Duration::from_millis(1);

/// Starts a server that passes each accepted connection to the test; returns a client and the connections.
fn start_server() -> (HttpClient, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let (sender, connections) = channel();
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            if sender.send(socket).is_err() {
                return;
            }
        }
    });
    (HttpClient::new(addr, None, BOUNDS), connections)
}

/// Reads one request: its first line, and its body.
fn request(socket: &TcpStream) -> (String, String) {
    let mut reader = BufReader::with_capacity(1, socket);
    let (mut first, mut length, mut line) = (String::new(), 0, String::new());
    reader.read_line(&mut first).unwrap();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).unwrap();
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = n.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (first.trim().to_string(), String::from_utf8(body).unwrap())
}

fn send(mut socket: &TcpStream, text: &str) {
    socket.write_all(text.as_bytes()).unwrap();
}

/// Reads the next line, and retries after read timeouts.
fn next(lines: &mut LineStream, line: &mut Vec<u8>) -> std::io::Result<bool> {
    loop {
        match lines.read_line(line) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            read => return read,
        }
    }
}

/// Sends requests on a separate thread; joining it returns the client and the result.
fn on_thread<T: Send + 'static>(
    mut http_client: HttpClient,
    send: impl FnOnce(&mut HttpClient) -> T + Send + 'static,
) -> std::thread::JoinHandle<(HttpClient, T)> {
    std::thread::spawn(move || {
        let response = send(&mut http_client);
        (http_client, response)
    })
}

#[test]
fn lines_survive_timeouts_and_chunk_boundaries_and_truncated_line_is_error() {
    let (http_client, connections) = start_server();
    let client_thread = on_thread(http_client, |client| {
        client.stream_lines("/v3/watch", b"{}", BOUNDS.read_timeout, SHORT).unwrap()
    });
    let socket = connections.recv().unwrap();
    assert_eq!(request(&socket), ("POST /v3/watch HTTP/1.1".into(), "{}".into()));
    send(&socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
    let (_member, mut lines) = client_thread.join().unwrap();
    let mut line = Vec::new();
    let assert_timeout = |lines: &mut LineStream, line: &mut Vec<u8>| {
        let e = lines.read_line(line).unwrap_err();
        assert!(matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{e}");
    };
    // Repeated timeouts do not discard the part of a line already received.
    assert_timeout(&mut lines, &mut line);
    assert_timeout(&mut lines, &mut line);
    // The size of a chunk, and the end of the line, are received in two parts.
    send(&socket, "1");
    assert_timeout(&mut lines, &mut line);
    send(&socket, "\r\n\n\r\n4\r\ntwo\n\r\n");
    assert!(next(&mut lines, &mut line).unwrap() && line == b"one");
    assert!(next(&mut lines, &mut line).unwrap() && line == b"two");
    send(&socket, "9\r\ncut");
    socket.shutdown(Shutdown::Write).unwrap();
    let e = next(&mut lines, &mut line).unwrap_err();
    assert_eq!(e.kind(), ErrorKind::UnexpectedEof);
}

#[test]
fn too_long_line_or_body_is_error() {
    let (http_client, connections) = start_server();
    let client_thread = on_thread(http_client, |client| {
        let mut lines =
            client.stream_lines("/v3/watch", b"{}", BOUNDS.read_timeout, BOUNDS.read_timeout).unwrap();
        let mut line = Vec::new();
        let longest_line = lines.read_line(&mut line).map(|more| (more, line.len()));
        let long_body = client.request("GET", "/long", b"").map(|response| response.code);
        (longest_line.unwrap(), lines.read_line(&mut line).unwrap_err().kind(), long_body)
    });
    let socket = connections.recv().unwrap();
    request(&socket);
    let (longest_line, long) = ("a".repeat(BOUNDS.max_bytes), "b".repeat(BOUNDS.max_bytes + 1));
    send(&socket, &format!("HTTP/1.1 200 OK\r\n\r\n{longest_line}\n{long}\n"));
    let other = connections.recv().unwrap();
    assert_eq!(request(&other).0, "GET /long HTTP/1.1");
    send(&other, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{long}", long.len()));
    let (_, (longest_line, too_long, long_body)) = client_thread.join().unwrap();
    assert_eq!((longest_line, too_long), ((true, BOUNDS.max_bytes), ErrorKind::InvalidData));
    let limit = BOUNDS.max_bytes as u64;
    assert!(
        matches!(long_body, Err(RequestError::ResponseTooLong { max_bytes }) if max_bytes == limit),
        "{long_body:?}"
    );
}

#[test]
fn connection_is_reused_and_replaced_after_close() {
    let (mut http_client, connections) = start_server();
    http_client.auth_header = Some(("X-Consul-Token", "t".into()));
    let exchange = |client: &mut HttpClient| {
        let response = client.request("PUT", "/v1/kv/a?cas=1", b"x").unwrap();
        (response.code, String::from_utf8(response.body).unwrap(), response.index, response.knows_leader)
    };
    let response =
        "HTTP/1.1 404 No\r\nX-Consul-Index: 7\r\nX-Consul-KnownLeader: false\r\nContent-Length: 2\r\n\r\nno";
    let client_thread = on_thread(http_client, move |client| (exchange(client), exchange(client)));
    let socket = connections.recv().unwrap();
    for _ in 0..2 {
        assert_eq!(request(&socket), ("PUT /v1/kv/a?cas=1 HTTP/1.1".into(), "x".into()));
        send(&socket, response);
    }
    let (http_client, (first, second)) = client_thread.join().unwrap();
    assert_eq!(first, (404, "no".into(), Some(7), false));
    assert_eq!(second, first);
    // The connection is closed while idle: the next request uses a new connection without an error.
    drop(socket);
    let client_thread = on_thread(http_client, exchange);
    let socket = connections.recv().unwrap();
    request(&socket);
    send(&socket, response);
    let (http_client, third) = client_thread.join().unwrap();
    assert_eq!(third, first);
    // The connection is closed while a request is in flight: the request is repeated on a new one.
    let client_thread = on_thread(http_client, exchange);
    request(&socket);
    drop(socket);
    let socket = connections.recv().unwrap();
    request(&socket);
    send(&socket, response);
    assert_eq!(client_thread.join().unwrap().1, first);
}

#[test]
fn truncated_invalid_or_timed_out_response_is_error() {
    for response in
        ["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nCont"]
    {
        let (http_client, connections) = start_server();
        let client_thread =
            on_thread(http_client, |client| client.request("GET", "/a", b"").map(|response| response.code));
        let socket = connections.recv().unwrap();
        request(&socket);
        send(&socket, response);
        drop(socket);
        let (_, got) = client_thread.join().unwrap();
        assert!(matches!(got, Err(RequestError::Io(_))), "{response}: {got:?}");
    }
    // Without a response the request fails after the read timeout.
    let (http_client, connections) = start_server();
    let client_thread = on_thread(http_client, |client| {
        client.request_with_timeout("GET", "/a", b"", SHORT).map(|response| response.code)
    });
    let _socket = connections.recv().unwrap();
    assert!(matches!(client_thread.join().unwrap().1, Err(RequestError::Io(_))));
}
