//! Collects the faults of the settings.

use {
    crate::settings::{
        field_path::FieldPath,
        settings_fault::{FaultPlace, SettingsFault},
        settings_node::{OVERRIDE_LINE, SettingsNode},
    },
    std::sync::Arc,
};

/// The faults found so far. By default a field gets at most one.
#[derive(Debug)]
pub struct FaultList {
    faults: Vec<SettingsFault>,
    file: Arc<str>,
    paths: Vec<FieldPath>,
    tree: SettingsNode,
}

impl FaultList {
    /// Whether a field, or a section above it, has a fault already.
    pub fn covers(&self, path: &FieldPath) -> bool {
        self.paths.iter().any(|faulty| faulty.contains(path))
    }

    /// The faults, sorted by line.
    pub fn into_faults(mut self) -> Vec<SettingsFault> {
        self.faults.sort_by_key(|fault| fault.place.clone());
        self.faults
    }

    /// Creates an empty list for a file; `tree` gives the lines of its fields.
    pub fn new(file: &str, tree: SettingsNode) -> Self {
        Self {
            faults: Vec::new(),
            file: Arc::from(file),
            paths: Vec::new(),
            tree,
        }
    }

    /// Adds a fault of a field, unless the field or a section above it has one already.
    pub fn push(&mut self, path: &FieldPath, text: impl Into<Arc<str>>) {
        if self.covers(path) {
            return;
        }
        self.push_always(path, text);
    }

    /// Adds a fault of a field, even if it has one already.
    pub fn push_always(&mut self, path: &FieldPath, text: impl Into<Arc<str>>) {
        let line = self.tree.line_of(path);
        self.push_at(line, path, text);
    }

    /// Adds a fault of a field at a given line, even if the field has one already.
    pub fn push_at(&mut self, line: u64, path: &FieldPath, text: impl Into<Arc<str>>) {
        self.paths.push(path.clone());
        self.faults.push(SettingsFault {
            field: Arc::from(path.to_string()),
            file: self.file.clone(),
            place: match line {
                OVERRIDE_LINE => FaultPlace::Override,
                line => FaultPlace::Line(line),
            },
            text: text.into(),
        });
    }
}
