//! Messages with which instances share how much quota their customers use. The order of fields and
//! variants is the wire format.

use {
    kernel::{CustomerId, Incarnation, InstanceId, ZoneId},
    policy::{UsageRow, UsageTotals},
    serde::{Deserialize, Serialize},
};

/// Value of [`UsageSummary::coverage`] of an instance that hears from all zones.
pub const FULL_COVERAGE: f64 = 100.0;

/// Reports usage to another instance and requests the usage that others reported.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRequest {
    /// Balances of the token buckets that are low according to the requester, in units of the
    /// quota.
    pub balances: UsageTotals,
    /// Usage that changed since the last request.
    pub rows: Vec<UsageRow>,
    /// Customers to return usage for; `None` for all.
    pub customers: Option<Vec<CustomerId>>,
    /// The requester's zone if it is that zone's aggregator and reports the total of the zone;
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

/// Usage known to the answering instance without the requester's own; to another zone, the usage of
/// the answering instance's zone.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageSummary {
    /// Estimated usage of others beyond what they reported, in units of the quota.
    pub assumed: UsageTotals,
    /// Whether the answering instance has run long enough for its bucket balances to be reliable.
    pub is_settled: bool,
    /// Incarnation of the answering instance. Totals of different incarnations are unrelated.
    pub incarnation: Incarnation,
    /// Share of the zones that the answering instance hears from, in percent.
    pub coverage: u8,
    /// Balances of the token buckets according to the reports that the answering instance received,
    /// in units of the quota.
    pub balances: UsageTotals,
    /// Total usage by customer, in units of the quota.
    pub totals: UsageTotals,
}
