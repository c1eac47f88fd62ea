//! One fault of the settings.

use std::{fmt, sync::Arc};

/// Where a faulty value came from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FaultPlace {
    /// The file as a whole.
    File,
    /// A line of the file, counted from 1.
    Line(u64),
    /// An override on the command line.
    Override,
}

/// One fault: the place, the field and the description.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// The field, such as `peers[1].zone`; empty for the file as a whole.
    pub field: Arc<str>,
    /// The file, as named on the command line.
    pub file: Arc<str>,
    /// Where the value came from.
    pub place: FaultPlace,
    /// The description of the fault.
    pub text: Arc<str>,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place {
            FaultPlace::File => write!(formatter, "{}: ", self.file)?,
            FaultPlace::Line(line) => write!(formatter, "{}:{line}: ", self.file)?,
            FaultPlace::Override => write!(formatter, "--set: ")?,
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        write!(formatter, "{}", self.text)
    }
}
