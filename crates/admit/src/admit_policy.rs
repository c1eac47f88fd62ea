//! What the drivers ask of an allocator.

use {
    crate::{admit_action::AdmitAction, admit_event::AdmitEvent},
    std::time::Instant,
};

/// A policy that admits requests to one cell.
pub trait AdmitPolicy {
    /// Takes one event and appends what it decides to `actions`. `now` never goes down.
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>);
}
