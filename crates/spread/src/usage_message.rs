//! What instances say to each other about what their customers use.

use {
    kernel::{CustomerId, Incarnation, InstanceId, ZoneId},
    policy::{UsageRow, UsageTotals},
    serde::{Deserialize, Serialize},
};

/// The reach of an instance that hears of all zones.
pub const FULL_REACH: f64 = 100.0;

/// Tells another instance what was used, and asks what others have used.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRequest {
    /// What is in the buckets that are low by the view of the one that asks, units.
    pub bucket_levels: UsageTotals,
    /// What changed since the last call.
    pub rows: Vec<UsageRow>,
    /// The customers that are asked for; none for all.
    pub customers: Option<Vec<CustomerId>>,
    /// The zone whose first instance tells what all of it have used; none for one of the own zone.
    pub zone: Option<ZoneId>,
}

/// The answer to a [`UsageRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum UsageReply {
    /// The first of the zone is another instance: to another zone, this one would tell a part of it.
    Redirect(InstanceId),
    /// What was used.
    Summary(UsageSummary),
}

/// What others than the one that asks have used; to another zone, what the own one has.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageSummary {
    /// What others are taken to have used beyond what they have told, units.
    pub assumed: UsageTotals,
    /// Whether the one asked has lived long enough for its bucket_levels to be gone by.
    pub is_settled: bool,
    /// The life of the one asked: amounts of one life alone go on from each other.
    pub life: Incarnation,
    /// The part of the zones that the one asked hears of, in 100 parts.
    pub reach: u8,
    /// What is in the buckets by what the one asked was told, units.
    pub bucket_levels: UsageTotals,
    /// What was used, units.
    pub totals: UsageTotals,
}
