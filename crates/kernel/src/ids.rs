//! Type aliases for the ids that cross crates.

use std::sync::Arc;

/// Identifies one instance, as named in its settings.
pub type InstanceId = Arc<str>;
/// Identifies one availability zone.
pub type ZoneId = Arc<str>;
/// Identifies one region: some availability zones close to each other.
pub type RegionId = Arc<str>;
/// Identifies one upstream: a model engine or a replica of a plain service.
pub type UpstreamId = Arc<str>;
/// Identifies one service, such as `redactor` or `booking-app`.
pub type ServiceId = Arc<str>;
/// Identifies one customer, as declared by the operators.
pub type CustomerId = Arc<str>;
/// Identifies one model.
pub type ModelId = Arc<str>;
/// The version of an upstream's software, as it states it. Compared for equality only.
pub type SoftwareVersion = Arc<str>;
/// Identifies one kind of work: the key of a row of the table.
pub type WorkId = Arc<str>;
/// Identifies one ticket.
pub type TicketId = Arc<str>;
/// Distinguishes restarts of one instance: Unix microseconds at start, so a later start has a greater number.
pub type Incarnation = u64;
/// Counts the accepted edits of the table; never decreases.
pub type TableVersion = u64;
/// The hash of the entire content of a table.
pub type TableDigest = u64;
/// The fencing token of a lease; a later lease has a greater token.
pub type FencingToken = u64;
/// The hash of one block of a prompt prefix, chained over all preceding blocks.
pub type BlockHash = u64;
