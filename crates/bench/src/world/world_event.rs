//! Everything that happens in the world.

use {
    crate::world::{
        reading_state::{EngineIndex, ReadingIndex},
        request_state::RequestIndex,
        token_ledger::WasteCause,
    },
    admit::{AdmitAction, AdmitEvent},
    std::time::Instant,
};

/// One event. Those named after a place happen at that place, after the message's way there.
pub(crate) enum WorldEvent {
    /// Another allocator takes over.
    AllocatorBack,
    /// The allocator dies.
    AllocatorDies,
    /// A message reaches the allocator, unless that life of it is over.
    AllocatorHears { event: AdmitEvent, life: u64 },
    /// A request arrives at its entry instance.
    Arrives(RequestIndex),
    /// The caller goes away.
    CallerGoes(RequestIndex),
    /// A decode engine is asked to take a request.
    DecodeAsked {
        decode: EngineIndex,
        reading: ReadingIndex,
    },
    /// A stream of a decode engine has come to a mark.
    DecodeDue { decode: EngineIndex, version: u64 },
    /// An engine hears that a reading is not wanted any more.
    EngineCancels {
        cause: WasteCause,
        reading: ReadingIndex,
    },
    /// An engine dies.
    EngineDies(EngineName),
    /// An engine says that it leaves.
    EngineLeaves(EngineName),
    /// An engine is back, empty.
    EngineReturns(EngineName),
    /// An entry instance dies.
    EntryDies(usize),
    /// An entry instance hears of a decision.
    EntryHears(AdmitAction),
    /// The death of an entry instance is detected.
    EntryMissed { before: u64, entry: usize },
    /// An entry instance hears from an engine.
    EntryNoted {
        note: EngineNote,
        reading: ReadingIndex,
    },
    /// An entry instance is back in a later life.
    EntryReturns(usize),
    /// A KV cache is evicted, unless a transfer moves it.
    KvEvicts(ReadingIndex),
    /// A transfer has ended.
    LinkDue { version: u64 },
    /// The list of engines changed, as the allocator hears it.
    ListChanges(EngineName),
    /// An engine takes a load report.
    LoadTaken(EngineName),
    /// A request of another allocator takes a decode place, if one is free.
    OutsiderComes,
    /// It ends.
    OutsiderGoes { decode: EngineIndex, life: u64 },
    /// A prefill engine has read a prompt.
    PrefillDue {
        prefill: EngineIndex,
        reading: ReadingIndex,
    },
    /// A prefill engine is asked to read a prompt.
    PrefillAsked(ReadingIndex),
    /// The allocator asked to be woken.
    Wakes(Instant),
}

/// What an engine tells an entry instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EngineNote {
    /// The decode engine died under the request.
    DecodeLost { decode: EngineIndex },
    /// The decode engine is full, or can't be reached.
    DecodeRefused { decode: EngineIndex, dead: bool },
    /// The last token.
    Finished,
    /// The first token.
    FirstToken,
    /// The KV cache is gone.
    KvGone { dead: bool },
    /// The prompt is read.
    PrefillDone,
    /// The prefill engine died or can't be reached.
    PrefillFailed,
}

/// One engine of either pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineName {
    Decode(EngineIndex),
    Prefill(EngineIndex),
}
