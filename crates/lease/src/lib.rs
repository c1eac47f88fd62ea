//! Orders to engines: leases with fencing tokens, the gate before each order, and the rate limit on model loads.
//!
//! [`LeaseCore`] and [`OrderGate`] do no I/O and take the time as an argument.
//! [`LeaseKeeper`] reads and writes the lease's row at the platform and sends the orders.

pub mod clock_drift;
pub mod lease_core;
pub mod lease_error;
pub mod lease_hold;
pub mod lease_keeper;
pub mod lease_record;
pub mod lease_settings;
pub mod order_gate;
pub mod order_sender;
pub mod weight_budget;

pub use {
    lease_core::{LeaseAction, LeaseCore, LeaseEvent},
    lease_error::LeaseError,
    lease_hold::LeaseHold,
    lease_keeper::LeaseKeeper,
    lease_record::LeaseRecord,
    lease_settings::LeaseSettings,
    order_gate::{GateVerdict, OrderGate},
    order_sender::{OrderReply, OrderSender},
    weight_budget::WeightBudget,
};
