//! The two encodings that the audit's values travel in, for tests: JSON as the store and the operators' command have it,
//! and postcard as routers and store nodes exchange it. Only what these values need; anything else is an error.
mod json;
mod postcard;
mod serializer;

use json::JsonParser;
use postcard::PostcardReader;
use serde::de::{self, DeserializeOwned};
use serde::{Serialize, ser};
use serializer::ToNode;
use std::fmt;

/// What an encoding can't carry or read.
#[derive(Debug)]
pub(crate) struct CodecError(String);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CodecError {}

impl ser::Error for CodecError {
    fn custom<T: fmt::Display>(message: T) -> CodecError {
        CodecError(message.to_string())
    }
}

impl de::Error for CodecError {
    fn custom<T: fmt::Display>(message: T) -> CodecError {
        CodecError(message.to_string())
    }
}

type Result<T> = std::result::Result<T, CodecError>;

fn unsupported<T>() -> Result<T> {
    Err(CodecError("not a form that the audit uses".into()))
}

/// The value as compact JSON.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    let mut text = String::new();
    value.serialize(ToNode).expect("an audit value").write_json(&mut text);
    text
}

/// A value from compact JSON.
pub(crate) fn from_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut parser = JsonParser { rest: text.trim_end() };
    let node = parser.value();
    assert!(parser.rest.is_empty(), "text after the value: {}", parser.rest);
    T::deserialize(node)
}

/// The value in postcard's bytes.
pub(crate) fn to_postcard(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    value.serialize(ToNode).expect("an audit value").write_postcard(&mut bytes);
    bytes
}

/// A value from postcard's bytes.
pub(crate) fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let mut reader = PostcardReader { rest: bytes };
    let value = T::deserialize(&mut reader)?;
    assert!(reader.rest.is_empty(), "bytes after the value: {:?}", reader.rest);
    Ok(value)
}

/// A value with all that either encoding needs of it.
enum Node {
    Null,
    Bool(bool),
    Unsigned(u64),
    Signed(i64),
    Text(String),
    List(Vec<Node>),
    Tuple(Vec<Node>),
    Struct(Vec<(String, Node)>),
    Variant { index: u32, name: String, content: Option<Box<Node>> },
}
