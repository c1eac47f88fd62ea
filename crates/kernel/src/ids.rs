//! Type aliases for the ids that cross crates.

use std::sync::Arc;

/// Names one entry instance, as its settings give it.
pub type InstanceId = Arc<str>;
/// Names one availability zone.
pub type ZoneId = Arc<str>;
/// Names one upstream: a model engine or a replica of a plain service.
pub type UpstreamId = Arc<str>;
/// Names one service, such as `redactor` or `booking-app`.
pub type ServiceId = Arc<str>;
/// Names one customer, as the operators declare it.
pub type CustomerId = Arc<str>;
/// Names one model.
pub type ModelId = Arc<str>;
/// Names one kind of work: the key of a row of the table.
pub type WorkId = Arc<str>;
/// Names one ticket.
pub type TicketId = Arc<str>;
/// Tells two lives of one entry instance apart; a later life has a greater number. Unix microseconds at start.
pub type Incarnation = u64;
/// Counts the accepted edits of the table; it never goes down.
pub type TableVersion = u64;
/// The hash of a table's whole content.
pub type TableDigest = u64;
/// The fencing number of a lease; a later lease has a greater number.
pub type FencingToken = u64;
/// The hash of one block of a prompt's prefix, chained over all blocks before it.
pub type BlockHash = u64;
