//! The settings as a tree with line numbers, so that each fault can name its line.

use {
    crate::settings::field_path::{FieldPath, PathStep},
    serde::{
        Deserialize, Deserializer,
        de::{MapAccess, SeqAccess, Visitor},
    },
    serde_saphyr::{DuplicateKeyPolicy, Spanned},
    std::{fmt, sync::Arc},
};

/// The line number of a value that was given on the command line.
pub const OVERRIDE_LINE: u64 = 0;

/// One field of a section.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// The name of the field.
    pub key: Arc<str>,
    /// The line of the name.
    pub line: u64,
    /// The value.
    pub node: SettingsNode,
}

/// The value of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeValue {
    /// `true` or `false`.
    Boolean(bool),
    /// A number with a fraction.
    Float(f64),
    /// A whole number.
    Integer(i64),
    /// A list.
    List(Vec<SettingsNode>),
    /// A section.
    Map(Vec<NodeEntry>),
    /// An empty value.
    Null,
    /// Text.
    Text(Arc<str>),
}

/// One value with its line number.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsNode {
    /// The line that the value starts at, counted from 1; [`OVERRIDE_LINE`] for the command line.
    pub line: u64,
    /// The value.
    pub value: NodeValue,
}

impl SettingsNode {
    /// Creates a section without fields.
    pub fn empty_map() -> Self {
        Self {
            line: OVERRIDE_LINE,
            value: NodeValue::Map(Vec::new()),
        }
    }

    /// The line of the field at `path`, or of the nearest section above that the file has.
    pub fn line_of(&self, path: &FieldPath) -> u64 {
        let mut line = self.line;
        let mut node = self;
        for step in &path.steps {
            let Some((next, next_line)) = node.child(step) else {
                return line;
            };
            line = next_line;
            node = next;
        }
        line
    }

    /// Marks the node and all nodes below it as given on the command line.
    pub fn mark_override(&mut self) {
        self.line = OVERRIDE_LINE;
        match &mut self.value {
            NodeValue::List(nodes) => nodes.iter_mut().for_each(Self::mark_override),
            NodeValue::Map(entries) => {
                for entry in entries {
                    entry.line = OVERRIDE_LINE;
                    entry.node.mark_override();
                }
            }
            _ => {}
        }
    }

    /// Parses YAML. Repeated keys are kept, so that each is reported with its line.
    ///
    /// # Errors
    ///
    /// The first place where the text is not YAML.
    pub fn parse(text: &str) -> Result<Self, serde_saphyr::Error> {
        let options = serde_saphyr::options! { duplicate_keys: DuplicateKeyPolicy::PassThrough, strict_booleans: true };
        serde_saphyr::from_str_with_options(text, options)
    }

    /// Removes the field at `path`; an item of a list is emptied instead, so that the others keep their indexes.
    pub fn remove(&mut self, path: &FieldPath) {
        let Some((last, above)) = path.steps.split_last() else {
            return;
        };
        let mut node = self;
        for step in above {
            let Some(next) = node.child_mut(step) else {
                return;
            };
            node = next;
        }
        match (last, &mut node.value) {
            (PathStep::Index(index), NodeValue::List(nodes)) => {
                if let Some(node) = nodes.get_mut(*index) {
                    node.value = NodeValue::Null;
                }
            }
            (PathStep::Key(key), NodeValue::Map(entries)) => {
                entries.retain(|entry| entry.key != *key);
            }
            _ => {}
        }
    }

    fn child(&self, step: &PathStep) -> Option<(&Self, u64)> {
        match (step, &self.value) {
            (PathStep::Index(index), NodeValue::List(nodes)) => {
                nodes.get(*index).map(|node| (node, node.line))
            }
            (PathStep::Key(key), NodeValue::Map(entries)) => entries
                .iter()
                .find(|entry| entry.key == *key)
                .map(|entry| (&entry.node, entry.line)),
            _ => None,
        }
    }

    fn child_mut(&mut self, step: &PathStep) -> Option<&mut Self> {
        match (step, &mut self.value) {
            (PathStep::Index(index), NodeValue::List(nodes)) => nodes.get_mut(*index),
            (PathStep::Key(key), NodeValue::Map(entries)) => entries
                .iter_mut()
                .find(|entry| entry.key == *key)
                .map(|entry| &mut entry.node),
            _ => None,
        }
    }
}

impl<'de> Deserialize<'de> for SettingsNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<NodeValue>::deserialize(deserializer)?;
        Ok(Self {
            line: spanned.referenced.line(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for NodeValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = NodeValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<NodeValue, E> {
        Ok(NodeValue::Boolean(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<NodeValue, E> {
        Ok(NodeValue::Float(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(value))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<NodeValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = access.next_key::<Spanned<String>>()? {
            entries.push(NodeEntry {
                key: Arc::from(key.value),
                line: key.referenced.line(),
                node: access.next_value()?,
            });
        }
        Ok(NodeValue::Map(entries))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<NodeValue, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = access.next_element()? {
            nodes.push(node);
        }
        Ok(NodeValue::List(nodes))
    }

    fn visit_str<E>(self, value: &str) -> Result<NodeValue, E> {
        Ok(NodeValue::Text(Arc::from(value)))
    }

    fn visit_u64<E: serde::de::Error>(self, value: u64) -> Result<NodeValue, E> {
        let value = i64::try_from(value).map_err(E::custom)?;
        Ok(NodeValue::Integer(value))
    }

    fn visit_unit<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }
}
