//! One instance gets most new connections of its availability zone.
//!
//! Guards against an instance that goes unready, leaves connections unread or refuses what its upstreams could serve
//! because its share was meant for an equal part of the traffic.

mod relay_support;
mod support;

use {
    hyper::Method,
    relay_support::{Caller, RelayTest, ZoneRun, caller::request_text},
    serde_json::json,
    std::sync::Arc,
    support::http_call::HttpCall,
};

/// New connections at once, on one instance.
const CONNECTIONS: usize = 200;
/// How often that many come.
const WAVES: usize = 3;
/// The share that has to be served at the first attempt, in quarters.
const SERVED_QUARTERS: usize = 3;

async fn zone() -> ZoneRun {
    let run = RelayTest::new()
        .plain("carta", 4)
        .route("/t/", "safe", "carta", &json!({"MaxAttempts": 2}))
        .start_zone(3)
        .await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
    }
    run
}

async fn is_ready(run: &ZoneRun, index: usize) -> bool {
    let address = run.instances[index].process.address("admin");
    let reply = HttpCall::new(Method::GET, address, "/ready").send().await;
    reply.status.as_u16() == 200
}

#[tokio::test]
async fn an_instance_that_gets_most_connections_serves_them_and_stays_ready() {
    let run = Arc::new(zone().await);
    let address = run.instances[0].process.address("callers");
    let mut kept = Caller::connect(address).await;
    for wave in 0..WAVES {
        let mut callers = Vec::new();
        for number in 0..CONNECTIONS {
            callers.push(tokio::spawn(async move {
                let mut caller = Caller::connect(address).await;
                let id = format!("{wave:04x}{number:04x}");
                let more = "X-Deadline-Ms: 4000\r\n";
                caller
                    .write(&request_text("GET", "/t/1", &id, more, ""))
                    .await;
                caller.read().await.status()
            }));
        }
        let more = "X-Deadline-Ms: 4000\r\n";
        let id = format!("{wave:04x}kept");
        kept.write(&request_text("GET", "/t/1", &id, more, ""))
            .await;
        assert_eq!(kept.read().await.status(), 200);
        assert!(is_ready(&run, 0).await);
        let mut served = 0;
        for caller in callers {
            served += usize::from(caller.await.unwrap() == 200);
        }
        assert!(served * 4 >= CONNECTIONS * SERVED_QUARTERS, "{served}");
        assert!(is_ready(&run, 0).await);
    }
}
