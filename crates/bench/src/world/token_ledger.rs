//! Which prompt tokens were read, and whether they led to a delivered answer.

use serde::Serialize;

/// Why reading was in vain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WasteCause {
    /// The caller or the entry instance went away.
    CallerGone,
    /// The KV cache was evicted although a decode place was free.
    Evicted,
    /// The KV cache was evicted after a decode engine refused it, or while all were full.
    NoPlace,
    /// Anything else: refused after reading, or never ended.
    Other,
    /// The engine that had it died.
    UpstreamDied,
}

/// Prompt tokens by what became of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TokenLedger {
    /// Led to an answer that was delivered.
    pub delivered: u64,
    /// Wasted: see [`WasteCause::CallerGone`].
    pub caller_gone: u64,
    /// Wasted: see [`WasteCause::Evicted`].
    pub evicted: u64,
    /// Wasted: see [`WasteCause::NoPlace`].
    pub no_place: u64,
    /// Wasted: see [`WasteCause::Other`].
    pub other: u64,
    /// All that prefill engines read.
    pub read: u64,
    /// Wasted: see [`WasteCause::UpstreamDied`].
    pub upstream_died: u64,
}

impl TokenLedger {
    /// Counts tokens as wasted.
    pub(crate) fn waste(&mut self, cause: WasteCause, tokens: u32) {
        let counter = match cause {
            WasteCause::CallerGone => &mut self.caller_gone,
            WasteCause::Evicted => &mut self.evicted,
            WasteCause::NoPlace => &mut self.no_place,
            WasteCause::Other => &mut self.other,
            WasteCause::UpstreamDied => &mut self.upstream_died,
        };
        *counter += u64::from(tokens);
    }

    /// All wasted tokens.
    pub fn wasted(&self) -> u64 {
        self.caller_gone + self.evicted + self.no_place + self.other + self.upstream_died
    }
}
