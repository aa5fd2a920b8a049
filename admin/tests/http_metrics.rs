//! Tests of `GET /metrics` at the admin address, as an HTTP client sends it.
use admin::{Command, Response};

#[test]
fn http_request_line_parses_as_http_metrics() {
    assert_eq!(Command::parse(b"GET /metrics HTTP/1.1\r\n"), Ok(Command::HttpMetrics));
    assert!(Command::parse(b"GET / HTTP/1.1\r\n").is_err());
    assert!(Command::parse(b"GET\n").is_err());
}

#[test]
fn http_response_has_its_content_length() {
    let bytes = Response::Http("a 1\n".into()).into_bytes();
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n") && text.contains("\r\nContent-Length: 4\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\na 1\n"), "{text}");
}
