//! What dies or leaves in a scenario.

use {
    crate::scenario::human_time::HumanTime,
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// One failure at a fixed time.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum FaultEvent {
    /// The allocator dies with its state; another one is rebuilt once the death is detected.
    AllocatorDies {
        /// When.
        #[serde_as(as = "HumanTime")]
        at: Duration,
    },
    /// An engine dies with all that it holds.
    EngineDies {
        /// When.
        #[serde_as(as = "HumanTime")]
        at: Duration,
        /// How long until it is back, empty; none is never.
        #[serde(default)]
        #[serde_as(as = "Option<HumanTime>")]
        back_after: Option<Duration>,
        /// Its name, such as `decode-0`.
        engine: UpstreamId,
    },
    /// An engine announces that it leaves, and is gone later.
    EngineLeaves {
        /// When it says so.
        #[serde_as(as = "HumanTime")]
        at: Duration,
        /// Its name, such as `prefill-1`.
        engine: UpstreamId,
        /// How long until it is gone, with whatever still runs there.
        #[serde_as(as = "HumanTime")]
        gone_after: Duration,
    },
    /// An entry instance dies; the engines go on with what it held until told otherwise.
    EntryDies {
        /// When.
        #[serde_as(as = "HumanTime")]
        at: Duration,
        /// How long until it is back in a new life; none is never.
        #[serde(default)]
        #[serde_as(as = "Option<HumanTime>")]
        back_after: Option<Duration>,
        /// Which one, counted from 0.
        entry: u32,
    },
}
