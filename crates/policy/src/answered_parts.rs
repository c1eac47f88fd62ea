//! The parts of prompts that were answered in full lately.

use {
    crate::{SuspectId, SuspectPart},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long an answer speaks for the parts of its prompt: a crash within this time is not blamed on them. A part that
/// starts to crash upstreams, such as with new software, is suspected after it.
const EVIDENCE_TTL: Duration = Duration::from_secs(5);
/// Maximum number of parts kept. Without room, new ones are not noted, and are suspected like unknown ones.
const MAX_PARTS: usize = 10_000;

/// When each part was last answered in full.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredParts {
    parts: BTreeMap<SuspectId, Instant>,
    swept_at: Option<Instant>,
}

impl AnsweredParts {
    /// Records a full answer to a request with these parts.
    pub(crate) fn note(&mut self, parts: &[SuspectPart], now: Instant) {
        if self
            .swept_at
            .is_none_or(|swept_at| now >= swept_at + EVIDENCE_TTL)
        {
            self.parts
                .retain(|_, answered_at| now < *answered_at + EVIDENCE_TTL);
            self.swept_at = Some(now);
        }
        for part in parts {
            if self.parts.len() < MAX_PARTS || self.parts.contains_key(&part.id) {
                self.parts.insert(part.id, now);
            }
        }
    }

    /// Whether a part was answered shortly before a crash at `since`, or after it.
    pub(crate) fn speaks_for(&self, part: &SuspectId, since: Instant) -> bool {
        let answered_at = self.parts.get(part);
        answered_at.is_some_and(|answered_at| since < *answered_at + EVIDENCE_TTL)
    }
}
