//! Postcard's bytes: varints, zigzag for signed numbers, positions instead of names.
use super::{CodecError, Node, Result, unsupported};
use serde::de::{self, DeserializeSeed, IntoDeserializer, Visitor};

impl Node {
    pub(super) fn write_postcard(&self, bytes: &mut Vec<u8>) {
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

fn write_varint(mut value: u64, bytes: &mut Vec<u8>) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

pub(super) struct PostcardReader<'de> {
    pub(super) rest: &'de [u8],
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
