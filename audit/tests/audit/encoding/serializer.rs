//! Turns a value into a [`Node`].
use super::{CodecError, Node, Result, unsupported};
use serde::Serialize;
use serde::ser::{self, Impossible};

pub(super) struct ToNode;

/// The elements of a list or of a variant with unnamed fields.
pub(super) struct Elements {
    variant: Option<(u32, &'static str)>,
    items: Vec<Node>,
}

/// The fields of a struct or of a variant with named fields.
pub(super) struct Fields {
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
