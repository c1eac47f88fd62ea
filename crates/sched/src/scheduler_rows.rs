//! How much a scheduler remembers.

/// The number of rows of each table of a scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerRows {
    /// Places that ended lately.
    pub ended: usize,
    /// Places that requests have.
    pub places: usize,
    /// Requests that wait.
    pub queue: usize,
    /// Turns of refused requests.
    pub turns: usize,
}
