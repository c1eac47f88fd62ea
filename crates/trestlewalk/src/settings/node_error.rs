//! The error of a value that can't be read.

use {
    crate::settings::field_path::{FieldPath, PathStep},
    std::fmt,
};

/// An error with the path of the value that caused it.
#[derive(Debug)]
pub struct NodeError {
    /// The steps from the innermost field to the root.
    steps: Vec<PathStep>,
    /// The message.
    text: String,
}

impl NodeError {
    /// The path of the value, from the root.
    pub fn path(&self) -> FieldPath {
        FieldPath {
            steps: self.steps.iter().rev().cloned().collect(),
        }
    }

    /// Adds the next outer step to the path.
    #[must_use]
    pub fn within(mut self, step: PathStep) -> Self {
        self.steps.push(step);
        self
    }
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

impl serde::de::Error for NodeError {
    fn custom<T: fmt::Display>(text: T) -> Self {
        Self {
            steps: Vec::new(),
            text: text.to_string(),
        }
    }
}

impl std::error::Error for NodeError {}
