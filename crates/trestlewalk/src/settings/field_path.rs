//! The path of one field in the settings.

use std::{fmt, sync::Arc};

/// One step of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathStep {
    /// An item of a list, by its index from 0.
    Index(usize),
    /// A field of a section.
    Key(Arc<str>),
}

/// The path of one field, such as `peers[1].zone`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FieldPath {
    /// The steps from the root.
    pub steps: Vec<PathStep>,
}

impl FieldPath {
    /// Parses a path with dots, such as `limits.body`.
    pub fn dotted(text: &str) -> Self {
        let mut path = Self::default();
        for key in text.split('.') {
            path = path.key(key);
        }
        path
    }

    /// The path of an item below this one.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.step(PathStep::Index(index))
    }

    /// The path of a field below this one.
    #[must_use]
    pub fn key(&self, key: &str) -> Self {
        self.step(PathStep::Key(Arc::from(key)))
    }

    /// Whether `other` is this field or a field below it.
    pub fn contains(&self, other: &Self) -> bool {
        other.steps.starts_with(&self.steps)
    }

    fn step(&self, step: PathStep) -> Self {
        let mut steps = self.steps.clone();
        steps.push(step);
        Self { steps }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (depth, step) in self.steps.iter().enumerate() {
            match step {
                PathStep::Index(index) => write!(formatter, "[{index}]")?,
                PathStep::Key(key) if depth == 0 => write!(formatter, "{key}")?,
                PathStep::Key(key) => write!(formatter, ".{key}")?,
            }
        }
        Ok(())
    }
}
