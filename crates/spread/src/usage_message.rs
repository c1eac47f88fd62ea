//! Messages with which instances share how much quota their customers use. The order of fields and
//! variants is the wire format.

use {
    kernel::{CustomerId, Incarnation, InstanceId, ZoneId},
    policy::{UseRow, UseTotals},
    serde::{Deserialize, Serialize},
};

/// Value of [`UsageSummary::reach`] of an instance that hears from all zones.
pub const FULL_REACH: f64 = 100.0;

/// Reports usage to another instance and requests the usage that others reported.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRequest {
    /// Levels of the token buckets that are low according to the sender, in units of the quota.
    pub bucket_levels: UseTotals,
    /// Usage that changed since the last request.
    pub rows: Vec<UseRow>,
    /// Customers to return usage for; `None` for all.
    pub customers: Option<Vec<CustomerId>>,
    /// The sender's zone if it is the aggregator of another zone and reports that zone's total;
    /// `None` from an instance of the same zone.
    pub zone: Option<ZoneId>,
}

/// Answer to a [`UsageRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum UsageReply {
    /// Another instance is the aggregator of this zone; this one knows only a part of the zone's
    /// usage.
    Redirect(InstanceId),
    /// The usage known here.
    Summary(UsageSummary),
}

/// Usage known to the receiver without the requester's own; to another zone, the usage of the
/// receiver's zone.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageSummary {
    /// Estimated usage of others beyond what they reported, in units of the quota.
    pub assumed: UseTotals,
    /// Whether the sender has run long enough for its bucket levels to be reliable.
    pub is_settled: bool,
    /// Incarnation of the sender. Totals of different incarnations are unrelated.
    pub incarnation: Incarnation,
    /// Share of the zones that the sender hears from, in percent.
    pub reach: u8,
    /// Levels of the token buckets according to the sender's reports, in units of the quota.
    pub bucket_levels: UseTotals,
    /// Total usage by customer, in units of the quota.
    pub totals: UseTotals,
}
