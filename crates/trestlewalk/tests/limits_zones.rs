//! Division of a row's limit among availability zones.

mod support;

use {
    serde_json::json,
    support::{FleetPlan, TABLE, wait_until},
};

const LIMITED: &str = "report,redactor,sondeo,5,1,1,,,1s,60s,yes,2,0";
const UNLIMITED: &str = "report,redactor,sondeo,5,1,,,,1s,60s,yes,2,0";

#[tokio::test]
async fn a_limit_below_the_number_of_zones_runs_in_one_of_them() {
    let plan = FleetPlan::new()
        .zones(&["gijon", "ferrol"])
        .prefill(1)
        .decode(1);
    let fleet = plan.start().await;
    fleet.put_table(&TABLE.replace(UNLIMITED, LIMITED)).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
    }
    wait_until(
        "one zone answers and the other refuses because of the limit",
        async || {
            let mut codes = Vec::new();
            for entry in fleet.entry_names() {
                let body = json!({ "prompt": "soundings", "max_tokens": 2 });
                let call = fleet
                    .entry(&entry)
                    .post("/v1/completions")
                    .work("report")
                    .json(&body);
                codes.push(call.send().await.code());
            }
            codes.sort_unstable();
            codes == [1000, 2005]
        },
    )
    .await;
}
