//! Builders for tests of the real binary.
//!
//! [`Test`] runs the binary once:
//!
//! ```ignore
//! Test::new().file("a.yaml", "zone: 7").args(["check", "a.yaml"]).stderr_has("a.yaml:1: zone").status(51).run();
//! ```
//!
//! [`FleetPlan`] starts separate processes on free loopback ports: the platform, engines, plain services and entry
//! instances, each behind a relay that a test can block or slow. All are killed when the [`Fleet`] is dropped, and a
//! test that panics prints the end of their logs.
//!
//! ```ignore
//! let mut fleet = FleetPlan::new().zones(&["gijon", "ferrol"]).entries(2).plain(1).start().await;
//! fleet.put_table(TABLE).await;
//! fleet.wait_ready("gijon-1").await;
//! let reply = fleet.entry("gijon-1").get("/services/carta/tile").send().await;
//! fleet.pause("gijon-1").await;                // SIGSTOP; see also resume, terminate and kill.
//! fleet.partition_zones("gijon", "ferrol");          // heal_zones reconnects them.
//! fleet.platform_relay("gijon-1").set(RelayMode::Silent);
//! fleet.upstream_relay("gijon-plain-1").set(RelayMode::Slow(Duration::from_millis(50)));
//! assert_eq!(fleet.metric("gijon-1", "peer_dropped_total", &[]).await, Some(0.0));
//! wait_until("ferrol-1 answers", async || fleet.entry("ferrol-1").get("/x").try_send().await.is_ok()).await;
//! ```
//!
//! Names: entry instances are `{zone}-{n}`, upstreams `{zone}-prefill-{n}`, `{zone}-decode-{n}` and `{zone}-plain-{n}`,
//! counted from 1. Waits poll a condition and panic after [`WAIT_TIMEOUT`](wait::WAIT_TIMEOUT), which is far longer
//! than any expected duration.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the support module"
)]

pub mod answer_check;
pub mod cli_test;
pub mod fleet;
pub mod fleet_plan;
pub mod fleet_process;
pub mod fleet_start;
pub mod fleet_table;
pub mod fleet_zones;
pub mod http_call;
pub mod member_load;
pub mod model_work;
pub mod relay_mode;
pub mod sse_reply;
pub mod tcp_relay;
pub mod ticket_work;
pub mod udp_relay;
pub mod wait;

#[allow(
    unused_imports,
    reason = "each test file uses its own part of the support module"
)]
pub use {
    cli_test::{CliOutput, Test},
    fleet::Fleet,
    fleet_plan::FleetPlan,
    fleet_process::FleetProcess,
    fleet_table::TABLE,
    http_call::{CallReply, HttpCall},
    member_load::{LoadReport, MemberLoad},
    relay_mode::{RelayMode, RelaySwitch},
    sse_reply::SseReply,
    tcp_relay::TcpRelay,
    ticket_work::{KEY_HEADER, TICKET_HEADER, start_ready},
    udp_relay::UdpRelay,
    wait::wait_until,
};

/// The binary under test.
pub const BINARY: &str = env!("CARGO_BIN_EXE_trestlewalk");
