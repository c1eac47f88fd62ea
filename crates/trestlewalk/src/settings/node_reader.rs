//! Deserializes typed settings from the tree; errors carry the path of the value that does not fit.

use {
    crate::settings::{
        field_path::PathStep,
        node_error::NodeError,
        settings_node::{NodeEntry, NodeValue, SettingsNode},
    },
    serde::{
        Deserializer,
        de::{
            DeserializeSeed, Error, IntoDeserializer, MapAccess, SeqAccess, Visitor,
            value::StrDeserializer,
        },
        forward_to_deserialize_any,
    },
    std::slice::Iter,
};

/// A `serde` deserializer over one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeReader<'a> {
    node: &'a SettingsNode,
}

impl<'a> NodeReader<'a> {
    /// Creates a deserializer over `node`.
    pub fn new(node: &'a SettingsNode) -> Self {
        Self { node }
    }
}

impl<'de> Deserializer<'de> for NodeReader<'_> {
    type Error = NodeError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NodeError> {
        match &self.node.value {
            NodeValue::Boolean(value) => visitor.visit_bool(*value),
            NodeValue::Float(value) => visitor.visit_f64(*value),
            NodeValue::Integer(value) => visitor.visit_i64(*value),
            NodeValue::List(nodes) => visitor.visit_seq(ItemReader::new(nodes)),
            NodeValue::Map(entries) => visitor.visit_map(EntryReader::new(entries)),
            NodeValue::Null => visitor.visit_unit(),
            NodeValue::Text(text) => visitor.visit_str(text),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, NodeError> {
        let NodeValue::Text(text) = &self.node.value else {
            return Err(variant_error(variants));
        };
        let reader: StrDeserializer<'_, NodeError> = (&**text).into_deserializer();
        reader.deserialize_enum(name, variants, visitor)
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NodeError> {
        match &self.node.value {
            NodeValue::Map(entries) => visitor.visit_map(EntryReader::new(entries)),
            NodeValue::Null => visitor.visit_map(EntryReader::new(&[])),
            _ => Err(NodeError::custom("expected a section of fields")),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, NodeError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NodeError> {
        match &self.node.value {
            NodeValue::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NodeError> {
        match &self.node.value {
            NodeValue::List(nodes) => visitor.visit_seq(ItemReader::new(nodes)),
            NodeValue::Null => visitor.visit_seq(ItemReader::new(&[])),
            _ => Err(NodeError::custom("expected a list")),
        }
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, NodeError> {
        self.deserialize_map(visitor)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit unit_struct tuple
        tuple_struct identifier ignored_any
    }
}

fn variant_error(variants: &[&str]) -> NodeError {
    NodeError::custom(format!("expected one of `{}`", variants.join("`, `")))
}

struct EntryReader<'a> {
    entries: Iter<'a, NodeEntry>,
    next: Option<&'a NodeEntry>,
}

impl<'a> EntryReader<'a> {
    fn new(entries: &'a [NodeEntry]) -> Self {
        Self {
            entries: entries.iter(),
            next: None,
        }
    }
}

impl<'de> MapAccess<'de> for EntryReader<'_> {
    type Error = NodeError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, NodeError> {
        self.next = self.entries.next();
        let Some(entry) = self.next else {
            return Ok(None);
        };
        let reader: StrDeserializer<'_, NodeError> = (&*entry.key).into_deserializer();
        seed.deserialize(reader)
            .map(Some)
            .map_err(|error| error.within(PathStep::Key(entry.key.clone())))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, NodeError> {
        let Some(entry) = self.next else {
            return Err(NodeError::custom("a value without a key"));
        };
        seed.deserialize(NodeReader::new(&entry.node))
            .map_err(|error| error.within(PathStep::Key(entry.key.clone())))
    }
}

struct ItemReader<'a> {
    index: usize,
    nodes: Iter<'a, SettingsNode>,
}

impl<'a> ItemReader<'a> {
    fn new(nodes: &'a [SettingsNode]) -> Self {
        Self {
            index: 0,
            nodes: nodes.iter(),
        }
    }
}

impl<'de> SeqAccess<'de> for ItemReader<'_> {
    type Error = NodeError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, NodeError> {
        let Some(node) = self.nodes.next() else {
            return Ok(None);
        };
        let index = self.index;
        self.index += 1;
        seed.deserialize(NodeReader::new(node))
            .map(Some)
            .map_err(|error| error.within(PathStep::Index(index)))
    }
}
