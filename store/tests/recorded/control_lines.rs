//! Requests and responses of the control address, and the texts of rejections that they contain.
use crate::fixtures::FIXTURES;
use crate::samples::{TEST_TIMEOUT, rejections, single_node};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};

#[test]
fn control_lines_keep_their_bytes() {
    let store = single_node(None);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    store::control::listen(listener, store).unwrap();
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut lines = BufReader::new(socket.try_clone().unwrap()).lines();
    let commands = [
        r#"{"do":"status"}"#,
        r#"{"do":"get","key":"seeded"}"#,
        r#"{"do":"set","key":"a","text":"1"}"#,
        r#"{"do":"set","key":"a","text":"2","expected":1}"#,
        r#"{"do":"set","key":"a","text":"3","expected":1}"#,
        r#"{"do":"set","key":"a","text":"3","expected":null}"#,
        r#"{"do":"set","key":"","text":"3"}"#,
        r#"{"do":"set","key":"a"}"#,
        r#"{"do":"set","text":"3"}"#,
        r#"{"do":"set","key":"a","text":"3","expected":"x"}"#,
        r#"{"do":"get","key":"a"}"#,
        r#"{"do":"get","key":"none"}"#,
        r#"{"do":"get"}"#,
        r#"{"do":"list","prefix":"a"}"#,
        r#"{"do":"list","prefix":"none"}"#,
        r#"{"do":"delete","key":"a","expected":7}"#,
        r#"{"do":"delete","key":"a"}"#,
        r#"{"do":"delete"}"#,
        r#"{"do":"drain","server":"stock-a"}"#,
        r#"{"do":"undrain","server":"stock-a"}"#,
        r#"{"do":"drain","server":"none"}"#,
        r#"{"do":"drain","server":"broken"}"#,
        r#"{"do":"drain"}"#,
        r#"{"do":"list"}"#,
        r#"{"do":"fly"}"#,
        r#"{"do":7}"#,
        "[1]",
        "not json",
    ];
    let mut output = String::new();
    for line in commands {
        writeln!(&socket, "{line}").unwrap();
        writeln!(output, "> {line}\n< {}", lines.next().unwrap().unwrap()).unwrap();
    }
    FIXTURES.assert_same("control_lines.txt", &output);
    assert_eq!(store::control::server_key("stock-a"), "server/stock-a");
}

#[test]
fn rejection_texts_keep_their_wording() {
    let mut output = String::new();
    rejections().iter().for_each(|rejection| writeln!(output, "{rejection}").unwrap());
    FIXTURES.assert_same("rejection_texts.txt", &output);
}
