//! The two encodings that the audit's values travel in, for tests: JSON as the store and the operators' command have it,
//! and postcard as routers and store nodes exchange it. Only what these values need; anything else is an error.
use serde::Serialize;
use serde::de::value::{MapDeserializer, SeqDeserializer};
use serde::de::{self, DeserializeOwned, DeserializeSeed, IntoDeserializer, Visitor};
use serde::ser::{self, Impossible};
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

impl Node {
    fn write_json(&self, text: &mut String) {
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

    fn write_postcard(&self, bytes: &mut Vec<u8>) {
        match self {
            Node::Null => {}
            Node::Bool(value) => bytes.push(u8::from(*value)),
            Node::Unsigned(value) => write_varint(*value, bytes),
            Node::Signed(value) => write_varint(((value << 1) ^ (value >> 63)) as u64, bytes),
            Node::Text(value) => {
                write_varint(value.len() as u64, bytes);
                bytes.extend_from_slice(value.as_bytes());
            }
            Node::List(items) => {
                write_varint(items.len() as u64, bytes);
                items.iter().for_each(|item| item.write_postcard(bytes));
            }
            Node::Tuple(items) => items.iter().for_each(|item| item.write_postcard(bytes)),
            Node::Struct(fields) => fields.iter().for_each(|(_, value)| value.write_postcard(bytes)),
            Node::Variant { index, content, .. } => {
                write_varint(u64::from(*index), bytes);
                content.iter().for_each(|content| content.write_postcard(bytes));
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

fn write_varint(mut value: u64, bytes: &mut Vec<u8>) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

struct ToNode;

/// The elements of a list or of a variant with unnamed fields.
struct Elements {
    variant: Option<(u32, &'static str)>,
    items: Vec<Node>,
}

/// The fields of a struct or of a variant with named fields.
struct Fields {
    variant: Option<(u32, &'static str)>,
    fields: Vec<(String, Node)>,
}

fn in_variant(variant: Option<(u32, &'static str)>, content: Node) -> Node {
    match variant {
        Some((index, name)) => Node::Variant { index, name: name.into(), content: Some(Box::new(content)) },
        None => content,
    }
}

macro_rules! unsupported_scalars {
    ($($method:ident: $kind:ty),*) => {
        $(fn $method(self, _: $kind) -> Result<Node> { unsupported() })*
    };
}

impl ser::Serializer for ToNode {
    type Ok = Node;
    type Error = CodecError;
    type SerializeSeq = Elements;
    type SerializeTuple = Impossible<Node, CodecError>;
    type SerializeTupleStruct = Impossible<Node, CodecError>;
    type SerializeTupleVariant = Elements;
    type SerializeMap = Impossible<Node, CodecError>;
    type SerializeStruct = Fields;
    type SerializeStructVariant = Fields;

    unsupported_scalars!(
        serialize_i8: i8, serialize_i16: i16, serialize_i32: i32, serialize_u8: u8, serialize_u16: u16,
        serialize_u32: u32, serialize_f32: f32, serialize_f64: f64, serialize_char: char,
        serialize_bytes: &[u8], serialize_unit_struct: &'static str
    );

    fn serialize_bool(self, value: bool) -> Result<Node> {
        Ok(Node::Bool(value))
    }

    fn serialize_i64(self, value: i64) -> Result<Node> {
        Ok(Node::Signed(value))
    }

    fn serialize_u64(self, value: u64) -> Result<Node> {
        Ok(Node::Unsigned(value))
    }

    fn serialize_str(self, value: &str) -> Result<Node> {
        Ok(Node::Text(value.into()))
    }

    fn serialize_none(self) -> Result<Node> {
        Ok(Node::Null)
    }

    fn serialize_some<T: Serialize + ?Sized>(self, value: &T) -> Result<Node> {
        value.serialize(self)
    }

    fn serialize_unit(self) -> Result<Node> {
        unsupported()
    }

    fn serialize_unit_variant(self, _: &'static str, index: u32, name: &'static str) -> Result<Node> {
        Ok(Node::Variant { index, name: name.into(), content: None })
    }

    fn serialize_newtype_struct<T: Serialize + ?Sized>(self, _: &'static str, value: &T) -> Result<Node> {
        value.serialize(self)
    }

    fn serialize_newtype_variant<T: Serialize + ?Sized>(
        self,
        _: &'static str,
        index: u32,
        name: &'static str,
        value: &T,
    ) -> Result<Node> {
        Ok(in_variant(Some((index, name)), value.serialize(ToNode)?))
    }

    fn serialize_seq(self, _: Option<usize>) -> Result<Elements> {
        Ok(Elements { variant: None, items: Vec::new() })
    }

    fn serialize_tuple(self, _: usize) -> Result<Impossible<Node, CodecError>> {
        unsupported()
    }

    fn serialize_tuple_struct(self, _: &'static str, _: usize) -> Result<Impossible<Node, CodecError>> {
        unsupported()
    }

    fn serialize_tuple_variant(
        self,
        _: &'static str,
        index: u32,
        name: &'static str,
        _: usize,
    ) -> Result<Elements> {
        Ok(Elements { variant: Some((index, name)), items: Vec::new() })
    }

    fn serialize_map(self, _: Option<usize>) -> Result<Impossible<Node, CodecError>> {
        unsupported()
    }

    fn serialize_struct(self, _: &'static str, _: usize) -> Result<Fields> {
        Ok(Fields { variant: None, fields: Vec::new() })
    }

    fn serialize_struct_variant(
        self,
        _: &'static str,
        index: u32,
        name: &'static str,
        _: usize,
    ) -> Result<Fields> {
        Ok(Fields { variant: Some((index, name)), fields: Vec::new() })
    }
}

impl ser::SerializeSeq for Elements {
    type Ok = Node;
    type Error = CodecError;

    fn serialize_element<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<()> {
        self.items.push(value.serialize(ToNode)?);
        Ok(())
    }

    fn end(self) -> Result<Node> {
        Ok(Node::List(self.items))
    }
}

impl ser::SerializeTupleVariant for Elements {
    type Ok = Node;
    type Error = CodecError;

    fn serialize_field<T: Serialize + ?Sized>(&mut self, value: &T) -> Result<()> {
        self.items.push(value.serialize(ToNode)?);
        Ok(())
    }

    fn end(self) -> Result<Node> {
        Ok(in_variant(self.variant, Node::Tuple(self.items)))
    }
}

impl ser::SerializeStruct for Fields {
    type Ok = Node;
    type Error = CodecError;

    fn serialize_field<T: Serialize + ?Sized>(&mut self, name: &'static str, value: &T) -> Result<()> {
        self.fields.push((name.into(), value.serialize(ToNode)?));
        Ok(())
    }

    fn end(self) -> Result<Node> {
        Ok(in_variant(self.variant, Node::Struct(self.fields)))
    }
}

impl ser::SerializeStructVariant for Fields {
    type Ok = Node;
    type Error = CodecError;

    fn serialize_field<T: Serialize + ?Sized>(&mut self, name: &'static str, value: &T) -> Result<()> {
        ser::SerializeStruct::serialize_field(self, name, value)
    }

    fn end(self) -> Result<Node> {
        ser::SerializeStruct::end(self)
    }
}

struct JsonParser<'a> {
    rest: &'a str,
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

    fn value(&mut self) -> Node {
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

struct PostcardReader<'de> {
    rest: &'de [u8],
}

impl PostcardReader<'_> {
    fn byte(&mut self) -> Result<u8> {
        let (first, rest) =
            self.rest.split_first().ok_or_else(|| CodecError("the bytes end early".into()))?;
        self.rest = rest;
        Ok(*first)
    }

    fn varint(&mut self) -> Result<u64> {
        let mut value = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            value |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return Ok(value);
            }
        }
        unsupported()
    }
}

impl<'de> de::Deserializer<'de> for &mut PostcardReader<'de> {
    type Error = CodecError;

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value> {
        unsupported()
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value> {
        match self.byte()? {
            0 => visitor.visit_bool(false),
            1 => visitor.visit_bool(true),
            _ => unsupported(),
        }
    }

    fn deserialize_u64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value> {
        visitor.visit_u64(self.varint()?)
    }

    fn deserialize_i64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value> {
        let encoded = self.varint()?;
        visitor.visit_i64((encoded >> 1) as i64 ^ -((encoded & 1) as i64))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value> {
        visitor.visit_seq(PostcardFields { reader: self, remaining: fields.len() })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value> {
        visitor.visit_enum(self)
    }

    serde::forward_to_deserialize_any! {
        i8 i16 i32 i128 u8 u16 u32 u128 f32 f64 char str string bytes byte_buf option unit unit_struct
        newtype_struct seq tuple tuple_struct map identifier ignored_any
    }
}

struct PostcardFields<'a, 'de> {
    reader: &'a mut PostcardReader<'de>,
    remaining: usize,
}

impl<'de> de::SeqAccess<'de> for PostcardFields<'_, 'de> {
    type Error = CodecError;

    fn next_element_seed<T: DeserializeSeed<'de>>(&mut self, seed: T) -> Result<Option<T::Value>> {
        if self.remaining == 0 {
            return Ok(None);
        }
        self.remaining -= 1;
        seed.deserialize(&mut *self.reader).map(Some)
    }
}

impl<'de> de::EnumAccess<'de> for &mut PostcardReader<'de> {
    type Error = CodecError;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(self, seed: V) -> Result<(V::Value, Self)> {
        let index = u32::try_from(self.varint()?).map_err(de::Error::custom)?;
        let index: de::value::U32Deserializer<CodecError> = index.into_deserializer();
        Ok((seed.deserialize(index)?, self))
    }
}

impl<'de> de::VariantAccess<'de> for &mut PostcardReader<'de> {
    type Error = CodecError;

    fn unit_variant(self) -> Result<()> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value> {
        seed.deserialize(self)
    }

    fn tuple_variant<V: Visitor<'de>>(self, _: usize, _: V) -> Result<V::Value> {
        unsupported()
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value> {
        visitor.visit_seq(PostcardFields { reader: self, remaining: fields.len() })
    }
}
