//! Why an upstream must not be called now.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

/// A reason that holds for every call, whichever request it serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallBlock {
    /// It asked this instance for a pause, of which this is left.
    BackingOff(Duration),
    /// Its availability zone is evacuated.
    Evacuated,
    /// It leaves, by the list or by its own statement.
    Leaving,
    /// It is not in the list.
    Unlisted,
}

impl Display for CallBlock {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::BackingOff(left) => {
                write!(formatter, "wants no calls for {} ms", left.as_millis())
            }
            Self::Evacuated => formatter.write_str("is in an evacuated availability zone"),
            Self::Leaving => formatter.write_str("leaves"),
            Self::Unlisted => formatter.write_str("is not listed"),
        }
    }
}
