//! Reads settings from a file, and reports all faults at once.

use {
    crate::{
        RunError,
        run_error::{ReadFileSnafu, SettingsInvalidSnafu},
        settings::{
            EntrySettings, SettingOverride, SettingsFault,
            fault_list::FaultList,
            field_path::FieldPath,
            node_error::NodeError,
            node_reader::NodeReader,
            settings_check,
            settings_fault::FaultPlace,
            settings_node::{NodeEntry, NodeValue, SettingsNode},
        },
    },
    serde::de::DeserializeOwned,
    snafu::ResultExt,
    std::{fs, path::Path, sync::Arc},
};

/// Reads the settings of an entry instance from a file, and applies the overrides of the command line.
///
/// # Errors
///
/// The file can't be read, or the settings have faults; the error lists them all, one a line.
pub fn load_settings(
    path: &Path,
    overrides: Vec<SettingOverride>,
) -> Result<EntrySettings, RunError> {
    let content = fs::read(path).context(ReadFileSnafu { path })?;
    let file = path.display().to_string();
    parse_settings(&file, &content, overrides)
        .map_err(|faults| SettingsInvalidSnafu { faults }.build())
}

/// Parses the settings of an entry instance from the content of a file.
///
/// # Errors
///
/// All faults, sorted by line.
pub fn parse_settings(
    file: &str,
    content: &[u8],
    overrides: Vec<SettingOverride>,
) -> Result<EntrySettings, Vec<SettingsFault>> {
    let tree = parse_tree(file, content)?;
    if tree.value == NodeValue::Null && overrides.is_empty() {
        return Err(vec![file_fault(file, "the file is empty")]);
    }
    read_settings(file, tree, overrides, settings_check::check_settings)
}

/// Parses the content of a file to a tree.
///
/// # Errors
///
/// The first place where the content is not UTF-8 or not YAML.
pub fn parse_tree(file: &str, content: &[u8]) -> Result<SettingsNode, Vec<SettingsFault>> {
    let text = std::str::from_utf8(content).map_err(|error| {
        let before = &content[..error.valid_up_to()];
        vec![utf8_fault(file, before)]
    })?;
    SettingsNode::parse(text).map_err(|error| vec![yaml_fault(file, &error)])
}

/// Reads settings of any type from a tree; `check` adds the faults beyond the form of each field.
///
/// # Errors
///
/// All faults, sorted by line.
pub fn read_settings<T: Default + DeserializeOwned>(
    file: &str,
    mut tree: SettingsNode,
    overrides: Vec<SettingOverride>,
    check: impl FnOnce(&T, &mut FaultList),
) -> Result<T, Vec<SettingsFault>> {
    let misplaced = apply_overrides(&mut tree, overrides);
    let mut list = FaultList::new(file, tree.clone());
    for (path, text) in misplaced {
        list.push(&path, text);
    }
    drop_repeated_fields(&FieldPath::default(), &mut tree, &mut list);
    let settings = read_tree(tree, &mut list);
    check(&settings, &mut list);
    let faults = list.into_faults();
    match faults.is_empty() {
        true => Ok(settings),
        false => Err(faults),
    }
}

fn apply_overrides(
    tree: &mut SettingsNode,
    overrides: Vec<SettingOverride>,
) -> Vec<(FieldPath, String)> {
    let mut misplaced = Vec::new();
    for setting in overrides {
        let text = format!("`{}` needs a section here", setting.path);
        if let Err(path) = setting.apply(tree) {
            misplaced.push((path, text));
        }
    }
    misplaced
}

/// Reads the tree. Each value that does not fit is reported and removed, so that its default takes its place and
/// reading goes on.
fn read_tree<T: Default + DeserializeOwned>(mut tree: SettingsNode, list: &mut FaultList) -> T {
    let mut removed: Vec<FieldPath> = Vec::new();
    loop {
        let error: NodeError = match T::deserialize(NodeReader::new(&tree)) {
            Ok(settings) => return settings,
            Err(error) => error,
        };
        let path = error.path();
        list.push_always(&path, error.to_string());
        if path.steps.is_empty() || removed.contains(&path) {
            return T::default();
        }
        tree.remove(&path);
        removed.push(path);
    }
}

fn drop_repeated_fields(path: &FieldPath, node: &mut SettingsNode, list: &mut FaultList) {
    match &mut node.value {
        NodeValue::List(nodes) => {
            for (index, node) in nodes.iter_mut().enumerate() {
                drop_repeated_fields(&path.index(index), node, list);
            }
        }
        NodeValue::Map(entries) => {
            drop_repeated_entries(path, entries, list);
            for entry in entries {
                drop_repeated_fields(&path.key(&entry.key), &mut entry.node, list);
            }
        }
        _ => {}
    }
}

fn drop_repeated_entries(path: &FieldPath, entries: &mut Vec<NodeEntry>, list: &mut FaultList) {
    let mut kept: Vec<NodeEntry> = Vec::new();
    for entry in entries.drain(..) {
        let Some(first) = kept.iter().find(|first| first.key == entry.key) else {
            kept.push(entry);
            continue;
        };
        let text = format!("given twice, first on line {}", first.line);
        list.push_at(entry.line, &path.key(&entry.key), text);
    }
    *entries = kept;
}

fn utf8_fault(file: &str, before: &[u8]) -> SettingsFault {
    let breaks = before.iter().filter(|byte| **byte == b'\n').count();
    let line = u64::try_from(breaks).map_or(u64::MAX, |breaks| breaks + 1);
    SettingsFault {
        place: FaultPlace::Line(line),
        ..file_fault(file, "the text is not UTF-8")
    }
}

fn file_fault(file: &str, text: &str) -> SettingsFault {
    SettingsFault {
        field: Arc::default(),
        file: Arc::from(file),
        place: FaultPlace::File,
        text: Arc::from(text),
    }
}

fn yaml_fault(file: &str, error: &serde_saphyr::Error) -> SettingsFault {
    let text = error.without_snippet().to_string();
    let place = match error.location() {
        Some(location) => FaultPlace::Line(location.line()),
        None => FaultPlace::File,
    };
    SettingsFault {
        place,
        ..file_fault(file, &format!("not YAML: {text}"))
    }
}
