//! One setting given on the command line.

use {
    crate::settings::{
        field_path::{FieldPath, PathStep},
        settings_node::{NodeEntry, NodeValue, OVERRIDE_LINE, SettingsNode},
    },
    std::{str::FromStr, sync::Arc},
};

/// One `--set FIELD=VALUE`. The field is a path with dots, the value is YAML.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingOverride {
    /// The field.
    pub path: FieldPath,
    /// The value.
    pub node: SettingsNode,
}

impl SettingOverride {
    /// Sets the value in `tree`, in place of an earlier one; missing sections are created.
    ///
    /// # Errors
    ///
    /// The path of a field above this one that is not a section.
    pub fn apply(self, tree: &mut SettingsNode) -> Result<(), FieldPath> {
        let mut path = FieldPath::default();
        let mut node = tree;
        for step in &self.path.steps {
            let PathStep::Key(key) = step else {
                return Err(path);
            };
            if node.value == NodeValue::Null {
                node.value = NodeValue::Map(Vec::new());
            }
            let NodeValue::Map(entries) = &mut node.value else {
                return Err(path);
            };
            path = path.key(key);
            let entry = find_or_insert_entry(entries, key);
            if path == self.path {
                entry.line = OVERRIDE_LINE;
            }
            node = &mut entry.node;
        }
        *node = self.node;
        Ok(())
    }
}

fn find_or_insert_entry<'a>(entries: &'a mut Vec<NodeEntry>, key: &Arc<str>) -> &'a mut NodeEntry {
    let index = match entries.iter().position(|entry| entry.key == *key) {
        Some(index) => index,
        None => {
            entries.push(NodeEntry {
                key: key.clone(),
                line: OVERRIDE_LINE,
                node: SettingsNode::empty_map(),
            });
            entries.len() - 1
        }
    };
    &mut entries[index]
}

impl FromStr for SettingOverride {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let Some((field, value)) = text.split_once('=') else {
            return Err("expected FIELD=VALUE, such as limits.body=2MiB".to_owned());
        };
        let mut node = SettingsNode::parse(value)
            .map_err(|_error| format!("the value `{value}` is not YAML"))?;
        node.mark_override();
        Ok(Self {
            node,
            path: FieldPath::dotted(field.trim()),
        })
    }
}
