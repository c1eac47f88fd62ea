//! Orders to engines carry the lease holder, a fencing token from the store, and the expected count of orders.

mod relay_support;
mod support;

use {
    relay_support::{RelayRun, RelayTest, relay_test::start_again},
    serde_json::{Value, json},
    support::wait::wait_until,
};

fn orders(run: &RelayRun) -> Vec<Value> {
    let received = run
        .upstreams
        .iter()
        .flat_map(|upstream| upstream.received());
    received
        .filter(|received| received.message.word(1) == "/order")
        .map(|received| serde_json::from_slice(&received.message.body).unwrap())
        .collect()
}

#[tokio::test]
async fn prefill_engines_beyond_the_goal_are_ordered_to_decode_under_a_lease() {
    let run = RelayTest::new()
        .engines("redactor", 8, 4)
        .route("/note/", "streaming", "redactor", &json!({}))
        .orders()
        .start_ready()
        .await;
    wait_until("an order", async || !orders(&run).is_empty()).await;
    let order = &orders(&run)[0];
    assert_eq!(order["Op"], "Stage");
    assert_eq!(order["Stage"], "decode");
    assert_eq!(order["Expected"], 0);
    assert_eq!(order["Fence"], 1);
    assert!(order["Holder"].as_str().unwrap().starts_with("front-1/"));
    let rows = run.store.rows("trestlewalk");
    let keys: Vec<&str> = rows.iter().map(|(key, _)| &**key).collect();
    assert_eq!(keys, ["peers/software", "stages/redactor"]);
    let lease: Value = serde_json::from_str(&rows[1].1).unwrap();
    assert_eq!(
        (&lease["fence"], &lease["holder"]),
        (&json!(1), &order["Holder"])
    );
    assert_eq!(orders(&run).len(), 1);
}

#[tokio::test]
async fn no_order_is_given_while_another_holds_the_lease() {
    let test = RelayTest::new()
        .engines("redactor", 8, 4)
        .route("/note/", "streaming", "redactor", &json!({}))
        .orders();
    let run = test.start().await;
    let lease =
        json!({"fence": 9, "holder": "other/1", "life": 3000, "longest_order": 12000, "write": 1});
    run.store.put("trestlewalk", "stages/redactor", &lease);
    run.put_config();
    run.wait_ready().await;
    wait_until("the lease is read", async || {
        run.process
            .log()
            .contains("another instance gives the orders")
    })
    .await;
    assert_eq!(orders(&run).len(), 0);
}

// Guards against two holders with one fencing token: a restored store may lack the lease, or show an earlier one.
#[tokio::test]
async fn fencing_tokens_rise_although_the_store_comes_back_older() {
    let mut run = RelayTest::new()
        .engines("redactor", 8, 4)
        .route("/note/", "streaming", "redactor", &json!({}))
        .orders()
        .start_ready()
        .await;
    let mut copy = run.store.copy();
    copy.clear_table("trestlewalk");
    wait_until("an order", async || !orders(&run).is_empty()).await;
    let count = orders(&run).len();
    run.store.restore(&copy);
    run.process.kill().await;
    run.process = start_again("front-1", &run.folder).await;
    wait_until("another order", async || orders(&run).len() > count).await;
    let all = orders(&run);
    let fence = |order: &Value| order["Fence"].as_u64().unwrap();
    assert!(fence(&all[count]) > fence(&all[count - 1]), "{all:?}");
}
