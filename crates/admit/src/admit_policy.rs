//! The interface between a driver and an allocator.

use {
    crate::{admit_action::AdmitAction, admit_event::AdmitEvent},
    std::time::Instant,
};

/// A policy that admits requests to one cell.
pub trait AdmitPolicy {
    /// Handles one event and appends the resulting decisions to `actions`. `now` never decreases.
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>);
}
