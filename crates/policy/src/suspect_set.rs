//! All that a request casts suspicion on when its upstream crashes.

use {
    crate::SuspectId,
    std::{collections::BTreeSet, sync::Arc},
};

/// Maximum number of parts that are tracked for one request; further ones are never suspected.
const MAX_PARTS: usize = 64;

/// A request and the parts that its prompt shares with others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectSet {
    /// The shared parts of the prompt, without duplicates; empty for plain services.
    pub parts: Arc<[SuspectPart]>,
    /// The request itself.
    pub request: SuspectId,
}

/// A part that prompts share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectPart {
    /// Identifies the part in reports.
    pub id: SuspectId,
    /// The id that callers give the part.
    pub name: Arc<str>,
}

impl SuspectSet {
    /// Whether the request is, or has, this suspect.
    pub fn contains(&self, suspect: &SuspectId) -> bool {
        self.iter().any(|own| own == *suspect)
    }

    /// The request and its parts.
    pub fn iter(&self) -> impl Iterator<Item = SuspectId> {
        let parts = self.parts.iter().map(|part| part.id);
        std::iter::once(self.request).chain(parts)
    }

    /// A request whose prompt has these parts, in order. The last one belongs to the request or to its session, so that
    /// others do not share it.
    pub fn new<'a>(
        request: SuspectId,
        parts: impl DoubleEndedIterator<Item = &'a Arc<str>>,
    ) -> Self {
        Self {
            parts: shared_parts(parts),
            request,
        }
    }
}

/// The parts of a prompt that other requests may share: all but the last.
pub fn shared_parts<'a>(
    parts: impl DoubleEndedIterator<Item = &'a Arc<str>>,
) -> Arc<[SuspectPart]> {
    let mut parts = parts;
    parts.next_back();
    let mut seen = BTreeSet::new();
    let mut shared = Vec::new();
    for name in parts {
        if !seen.insert(name) {
            continue;
        }
        shared.push(SuspectPart {
            id: SuspectId::prompt_part(name),
            name: name.clone(),
        });
        if shared.len() == MAX_PARTS {
            break;
        }
    }
    shared.into()
}
