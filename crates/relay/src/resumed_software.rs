//! How the software version that a stream goes on at compares with the one that began it.

use kernel::SoftwareVersion;

/// The comparison for one resumed stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumedSoftware {
    /// Another version.
    Other,
    /// The same version.
    Same,
    /// It is not known which version began the stream, so that it does not go on.
    Unknown,
}

impl ResumedSoftware {
    /// Every value.
    pub const ALL: [Self; 3] = [Self::Other, Self::Same, Self::Unknown];

    /// The label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Other => "other",
            Self::Same => "same",
            Self::Unknown => "unknown",
        }
    }

    /// Compares the version that a stream goes on at with the one that began it.
    pub fn new(began: &SoftwareVersion, now: &SoftwareVersion) -> Self {
        match began == now {
            true => Self::Same,
            false => Self::Other,
        }
    }
}
