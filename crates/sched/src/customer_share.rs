//! What one customer got of the decode places.

/// The use of one customer, over all ranks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerShare {
    /// Tokens of the places that it got since it is known; a customer that is idle for a minute is forgotten.
    pub served: u64,
    /// The share of its tokens in those of all known customers, 0 to 1.
    pub share: f64,
    /// Requests that wait.
    pub waiting: usize,
}
