//! The faults found so far.

use {
    crate::settings::{
        field_path::FieldPath,
        settings_fault::{FaultPlace, SettingsFault},
        settings_node::{OVERRIDE_LINE, SettingsNode},
    },
    std::sync::Arc,
};

/// Collects faults; a field with one gets no second.
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

    /// The faults by line.
    pub fn into_faults(mut self) -> Vec<SettingsFault> {
        self.faults.sort_by_key(|fault| fault.place.clone());
        self.faults
    }

    /// An empty list for a file, whose lines `tree` knows.
    pub fn new(file: &str, tree: SettingsNode) -> Self {
        Self {
            faults: Vec::new(),
            file: Arc::from(file),
            paths: Vec::new(),
            tree,
        }
    }

    /// Notes a fault of a field, unless it has one already.
    pub fn push(&mut self, path: &FieldPath, text: impl Into<Arc<str>>) {
        if self.covers(path) {
            return;
        }
        self.push_always(path, text);
    }

    /// Notes a fault of a field, also when it has one already.
    pub fn push_always(&mut self, path: &FieldPath, text: impl Into<Arc<str>>) {
        let line = self.tree.line_of(path);
        self.push_at(line, path, text);
    }

    /// Notes a fault of a field at a line, also when it has one already.
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
