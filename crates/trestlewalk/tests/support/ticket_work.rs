//! Calls with tickets and idempotency keys, and counts of how often they ran.

use {
    super::{CallReply, Fleet, FleetPlan, HttpCall, TABLE, wait_until},
    serde_json::{Value, json},
};

/// The header that carries a ticket.
pub const TICKET_HEADER: &str = "trestlewalk-ticket";
/// The header that carries a caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

const RUN_KEY_HEADER: &str = "x-run-key";
const SLOT_PATH: &str = "/services/carta/slots/7";

impl Fleet {
    /// Mints a ticket at an entry instance.
    pub async fn mint(&self, entry: &str) -> String {
        let reply = self.entry(entry).post("/v1/tickets").send().await;
        ticket_of(&reply)
    }

    /// Mints a ticket that is valid for `millis` milliseconds.
    pub async fn mint_for(&self, entry: &str, millis: u64) -> String {
        let call = self.entry(entry).post("/v1/tickets");
        let reply = call.json(&json!({ "expires_in_ms": millis })).send().await;
        ticket_of(&reply)
    }

    /// A call of the row `confirm`, which must not be repeated; the plain service counts its runs under `run_key`.
    pub fn confirm(&self, entry: &str, run_key: &str) -> HttpCall {
        let call = self.entry(entry).post(SLOT_PATH).work("confirm");
        call.header(RUN_KEY_HEADER, run_key).body("kiln 7")
    }

    /// How often the first plain replicas of all zones ran calls with a run key.
    pub async fn runs(&self, run_key: &str) -> u64 {
        let mut runs = 0;
        for zone in self.zones() {
            let counters = self.counters(&format!("{zone}-plain-1")).await;
            runs += counters["runs_by_key"][run_key].as_u64().unwrap_or(0);
        }
        runs
    }

    /// The section `tickets` of an entry instance's state dump.
    pub async fn ticket_dump(&self, entry: &str) -> Value {
        self.dump(entry).await["tickets"].take()
    }

    /// Waits until every entry instance receives heartbeats from all others.
    pub async fn wait_members(&self) {
        let names = self.entry_names();
        for entry in &names {
            wait_until(&format!("{entry} hears all members"), async || {
                let dump = self.dump(entry).await;
                let heard = dump["peer"]["members"]["heard"].as_array();
                heard.is_some_and(|heard| heard.len() == names.len())
            })
            .await;
        }
    }

    fn zones(&self) -> Vec<String> {
        self.plan.zones.clone()
    }
}

/// Starts a fleet and waits until its table is in force and all instances know each other and the plain service.
pub async fn start_ready(plan: FleetPlan) -> Fleet {
    let fleet = plan.start().await;
    fleet.put_table(TABLE).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
        wait_until(&format!("{entry} knows the service"), async || {
            let call = fleet.entry(&entry).get("/services/carta/tile");
            let reply = call.work("tile").try_send().await;
            reply.is_ok_and(|reply| reply.code() == 1000)
        })
        .await;
    }
    fleet.wait_members().await;
    fleet
}

fn ticket_of(reply: &CallReply) -> String {
    assert_eq!(
        (reply.status.as_u16(), reply.code()),
        (201, 1000),
        "{}",
        reply.text()
    );
    let ticket = reply.json::<Value>()["ticket"].take();
    ticket.as_str().expect("a ticket").to_owned()
}
