//! The policies that the bench compares.

mod bench_policy;
mod clairvoyant_fates;
mod clairvoyant_foresight;
mod clairvoyant_order;
mod clairvoyant_plan;
mod clairvoyant_policy;
pub(crate) mod clairvoyant_view;
mod naive_policy;
mod pool_view;
mod reserve_policy;

pub use {
    bench_policy::BenchPolicy, clairvoyant_order::ClairvoyantOrder,
    clairvoyant_plan::ClairvoyantPlan, clairvoyant_policy::ClairvoyantPolicy,
    naive_policy::NaivePolicy, reserve_policy::ReservePolicy,
};
