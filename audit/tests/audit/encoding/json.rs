//! Compact JSON as `serde_json` writes it, without escapes and fractions.
use super::{CodecError, Node, Result, unsupported};
use serde::de::value::{MapDeserializer, SeqDeserializer};
use serde::de::{self, IntoDeserializer, Visitor};

impl Node {
    pub(super) fn write_json(&self, text: &mut String) {
        match self {
            Node::Null => text.push_str("null"),
            Node::Bool(value) => text.push_str(&value.to_string()),
            Node::Unsigned(value) => text.push_str(&value.to_string()),
            Node::Signed(value) => text.push_str(&value.to_string()),
            Node::Text(value) => write_json_text(value, text),
            Node::List(items) | Node::Tuple(items) => {
                text.push('[');
                for (i, item) in items.iter().enumerate() {
                    text.push_str(if i > 0 { "," } else { "" });
                    item.write_json(text);
                }
                text.push(']');
            }
            Node::Struct(fields) => {
                text.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    text.push_str(if i > 0 { "," } else { "" });
                    write_json_text(name, text);
                    text.push(':');
                    value.write_json(text);
                }
                text.push('}');
            }
            Node::Variant { name, content: None, .. } => write_json_text(name, text),
            Node::Variant { name, content: Some(content), .. } => {
                text.push('{');
                write_json_text(name, text);
                text.push(':');
                content.write_json(text);
                text.push('}');
            }
        }
    }
}

fn write_json_text(value: &str, text: &mut String) {
    assert!(value.chars().all(|c| c >= ' ' && c != '"' && c != '\\'), "no escapes here: {value}");
    text.push('"');
    text.push_str(value);
    text.push('"');
}

pub(super) struct JsonParser<'a> {
    pub(super) rest: &'a str,
}

impl JsonParser<'_> {
    fn accept(&mut self, token: char) -> bool {
        let found = self.rest.strip_prefix(token);
        self.rest = found.unwrap_or(self.rest);
        found.is_some()
    }

    fn expect(&mut self, token: char) {
        assert!(self.accept(token), "expected {token} at {}", self.rest);
    }

    fn text(&mut self) -> String {
        self.expect('"');
        let (text, rest) = self.rest.split_once('"').expect("the end of a string");
        self.rest = rest;
        text.into()
    }

    fn number(&mut self) -> Node {
        let end = self.rest.find(|c: char| c != '-' && !c.is_ascii_digit()).unwrap_or(self.rest.len());
        let (digits, rest) = self.rest.split_at(end);
        self.rest = rest;
        if digits.starts_with('-') {
            return Node::Signed(digits.parse().expect("a negative number"));
        }
        Node::Unsigned(digits.parse().expect("a number"))
    }

    pub(super) fn value(&mut self) -> Node {
        match self.rest.chars().next() {
            Some('"') => Node::Text(self.text()),
            Some('[') => {
                let mut items = Vec::new();
                self.expect('[');
                while !self.accept(']') {
                    items.push(self.value());
                    self.accept(',');
                }
                Node::List(items)
            }
            Some('{') => {
                let mut fields = Vec::new();
                self.expect('{');
                while !self.accept('}') {
                    let name = self.text();
                    self.expect(':');
                    fields.push((name, self.value()));
                    self.accept(',');
                }
                Node::Struct(fields)
            }
            _ => self.number(),
        }
    }
}

impl<'de> de::Deserializer<'de> for Node {
    type Error = CodecError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value> {
        match self {
            Node::Bool(value) => visitor.visit_bool(value),
            Node::Unsigned(value) => visitor.visit_u64(value),
            Node::Signed(value) => visitor.visit_i64(value),
            Node::Text(value) => visitor.visit_string(value),
            Node::List(items) => visitor.visit_seq(SeqDeserializer::new(items.into_iter())),
            Node::Struct(fields) => visitor.visit_map(MapDeserializer::new(fields.into_iter())),
            Node::Null | Node::Tuple(_) | Node::Variant { .. } => unsupported(),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value> {
        match self {
            Node::Text(name) => visitor.visit_enum(name.into_deserializer()),
            _ => unsupported(),
        }
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option unit
        unit_struct newtype_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

impl IntoDeserializer<'_, CodecError> for Node {
    type Deserializer = Node;

    fn into_deserializer(self) -> Node {
        self
    }
}
