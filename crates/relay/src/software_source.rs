//! How it was found out at which software version a resumed stream began.

/// What was known of the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoftwareSource {
    /// Another instance has a note of it.
    Keeper,
    /// Nothing: it does not go on.
    Nothing,
    /// There was one version lately.
    OneVersion,
    /// This instance has a note of it.
    Own,
    /// The store has a note of it.
    Store,
}

impl SoftwareSource {
    /// Every value.
    pub const ALL: [Self; 5] = [
        Self::Keeper,
        Self::Nothing,
        Self::OneVersion,
        Self::Own,
        Self::Store,
    ];

    /// The label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Keeper => "keeper",
            Self::Nothing => "nothing",
            Self::OneVersion => "one_version",
            Self::Own => "own",
            Self::Store => "store",
        }
    }
}
