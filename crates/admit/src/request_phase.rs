//! How far a request has come, as the allocator sees it.

use {kernel::UpstreamId, std::time::Instant};

/// What a request holds now.
#[derive(Clone, Debug)]
pub(crate) enum RequestPhase {
    /// It generates tokens.
    Decoding {
        decode: UpstreamId,
        #[expect(dead_code, reason = "the forecast of free places is to read it")]
        since: Instant,
        #[expect(dead_code, reason = "the forecast of free places is to read it")]
        tokens: u32,
    },
    /// A prefill engine reads the prompt; `until` is the expected end.
    Prefilling {
        prefill: UpstreamId,
        #[expect(dead_code, reason = "the forecast of free places is to read it")]
        until: Instant,
    },
    /// It waits for its turn and holds nothing.
    Queued,
    /// Its KV cache lies at the prefill engine until `evicts`.
    Read {
        evicts: Instant,
        prefill: UpstreamId,
    },
    /// Its KV cache crosses the link; `until` is the expected end.
    Transferring {
        decode: UpstreamId,
        #[expect(dead_code, reason = "the forecast of free places is to read it")]
        until: Instant,
    },
}
