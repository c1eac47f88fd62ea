//! A request that waits for a place.

use {crate::PlaceRequest, kernel::InstanceId, std::time::Instant};

/// A request that waits for a place.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// When the caller's first known attempt arrived; earlier than this attempt if it kept its turn.
    pub arrived: Instant,
    /// When the instance last asked.
    pub asked_at: Instant,
    /// Whether it returned at the time that it was told.
    pub has_turn: bool,
    /// The instance that serves it.
    pub instance: InstanceId,
    /// When the caller stops to come back.
    pub leaves_at: Instant,
    /// Until when a place still leads to a first event on time.
    pub on_time_until: Instant,
    /// The request as its instance submitted it.
    pub request: PlaceRequest,
    /// Until when a place is of use at all.
    pub useful_until: Instant,
}

impl WaitingRequest {
    /// The tokens that it is expected to need: the prompt, and the hint or else the maximum output. At least 1.
    pub fn tokens(&self) -> u64 {
        let need = &self.request.need;
        let output = need.hint.unwrap_or(need.max_output).min(need.max_output);
        need.prompt.saturating_add(output).max(1)
    }
}
