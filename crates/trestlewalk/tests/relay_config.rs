//! The operators' routes and the list of upstreams: when changes take effect, and what happens while the store is down.

mod relay_support;
mod support;

use {
    relay_support::{
        RelayRun, RelayTest, UpstreamMode,
        caller::{fresh_id, request_text},
        relay_test::STREAM_HEADERS,
    },
    serde_json::{Value, json},
    std::time::Duration,
    support::wait::wait_until,
};

/// A head well within the limit of 16 KB, larger than half of it.
const LONG_HEAD_BYTES: usize = 12_000;

fn one_route() -> RelayTest {
    RelayTest::new()
        .plain("carta", 2)
        .route("/t/", "safe", "carta", &json!({}))
}

#[tokio::test]
async fn without_routes_an_instance_is_not_ready_and_promises_that_nothing_ran() {
    let run = one_route().start().await;
    assert_eq!(run.ready_status().await, 503);
    let reply = run.call("GET", "/t/1", "").await;
    assert_eq!(
        (reply.status(), reply.header("trestlewalk-result")),
        (503, Some("2009"))
    );
    run.put_config();
    run.wait_ready().await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
}

/// Guards against a smaller limit for the connections that an instance accepts before it knows the operators' limits.
#[tokio::test]
async fn a_connection_from_before_the_first_routes_takes_heads_up_to_the_usual_limit() {
    let run = one_route().start().await;
    let mut early = run.caller().await;
    run.put_config();
    run.wait_ready().await;
    let more = format!("X-Long: {}\r\n", "l".repeat(LONG_HEAD_BYTES));
    for caller in [&mut run.caller().await, &mut early] {
        let text = request_text("GET", "/t/1", &fresh_id(), &more, "");
        caller.write(&text).await;
        assert_eq!(caller.read().await.status(), 200);
    }
}

#[tokio::test]
async fn a_changed_route_comes_into_force_and_an_older_version_never_does() {
    let mut run = one_route().start_ready().await;
    run.change(|config| {
        let mut route = config["Routes"][0].clone();
        route["Prefix"] = json!("/new/");
        config["Routes"].as_array_mut().unwrap().push(route);
    });
    wait_until("the new route", async || {
        run.call("GET", "/new/1", "").await.status() == 200
    })
    .await;
    run.store.put(
        "op",
        "config",
        &json!({"Version": 7, "Routes": [], "Services": [], "Limits": null}),
    );
    let calls = run.store.calls("/rows-feed");
    wait_until("the watch went on", async || {
        run.store.calls("/rows-feed") > calls
    })
    .await;
    assert_eq!(run.call("GET", "/new/1", "").await.status(), 200);
}

#[tokio::test]
async fn routes_are_read_whole_when_the_history_is_lost() {
    let mut run = one_route().start_ready().await;
    run.store.forget();
    run.change(|config| config["Routes"][0]["Prefix"] = json!("/moved/"));
    run.store.forget();
    wait_until("the moved route", async || {
        run.call("GET", "/moved/1", "").await.status() == 200
    })
    .await;
}

#[tokio::test]
async fn an_upstream_that_leaves_or_is_gone_gets_no_new_work() {
    let run = one_route().start_ready().await;
    run.store
        .put("servers", "i-carta-0", &run.upstreams[0].report("draining"));
    wait_until("the list is read", async || {
        let before = run.upstreams[0].runs().len();
        for _ in 0..8 {
            run.call("GET", "/t/1", "").await;
        }
        run.upstreams[0].runs().len() == before
    })
    .await;
    run.store.remove("servers", "i-carta-1");
    wait_until("no upstream is left", async || {
        run.call("GET", "/t/1", "").await.status() == 503
    })
    .await;
}

/// Takes the store down and waits until the instance has noticed.
async fn take_store_down(run: &RelayRun) {
    run.store.set_down(true);
    let calls = run.store.calls("/rows-get");
    wait_until("the outage is noticed", async || {
        run.store.calls("/rows-get") > calls + 1
    })
    .await;
}

#[tokio::test]
async fn entries_that_lapse_while_the_store_is_away_are_kept_for_a_moment_and_then_gone() {
    let run = one_route().start_ready().await;
    take_store_down(&run).await;
    run.store.remove("servers", "i-carta-0");
    run.store.remove("servers", "i-carta-1");
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
    run.store.set_down(false);
    let calls = run.store.calls("/rows-get");
    wait_until("the list is read", async || {
        run.store.calls("/rows-get") > calls
    })
    .await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
    run.store
        .put("servers", "i-carta-1", &run.upstreams[1].report("ready"));
    wait_until("the lapsed one is gone", async || {
        let before = run.upstreams[0].runs().len();
        for _ in 0..8 {
            assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
        }
        run.upstreams[0].runs().len() == before
    })
    .await;
}

/// An outage shorter than the heartbeat interval lets no upstream lapse: one that is missing from the list has left.
#[tokio::test]
async fn an_upstream_that_left_during_a_short_outage_gets_no_work() {
    let run = one_route().heartbeat("60s").start_ready().await;
    take_store_down(&run).await;
    run.store.remove("servers", "i-carta-0");
    run.store.set_down(false);
    let calls = run.store.calls("/rows-get");
    wait_until("the list is read and taken", async || {
        run.store.calls("/rows-get") > calls + 2
    })
    .await;
    let before = run.upstreams[0].runs().len();
    for _ in 0..8 {
        assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
    }
    assert_eq!(run.upstreams[0].runs().len(), before);
}

#[tokio::test]
async fn a_store_that_talks_nonsense_changes_nothing() {
    let run = one_route().start_ready().await;
    run.store.set_garbled(true);
    let calls = run.store.calls("/rows-get");
    wait_until("garbled answers were read", async || {
        run.store.calls("/rows-get") > calls + 2
    })
    .await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
    assert_eq!(run.ready_status().await, 200);
}

#[tokio::test]
async fn rows_that_cannot_be_read_are_passed_over() {
    let run = one_route().start_ready().await;
    run.store.put(
        "servers",
        "i-no-address",
        &json!({"Service": "carta", "Zone": "gijon"}),
    );
    run.store.put_text("servers", "i-no-json", "{");
    run.store.remove("servers", "i-carta-1");
    wait_until("the list is read", async || {
        run.process.log().contains("can't be read")
    })
    .await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
}

#[tokio::test]
async fn a_row_whose_service_has_no_upstreams_is_refused_with_a_time_to_come_back() {
    let run = one_route()
        .route("/empty/", "unsafe", "nowhere", &json!({}))
        .start_ready()
        .await;
    let reply = run.call("POST", "/empty/1", "x").await;
    assert_eq!(
        (reply.status(), reply.header("trestlewalk-result")),
        (503, Some("2004"))
    );
    assert!(reply.header("retry-after").is_some());
}

#[tokio::test]
async fn a_hangup_signal_reads_the_settings_again_and_faults_leave_them_as_they_were() {
    let run = one_route().start_ready().await;
    let path = run.folder.path().join("front-1.yaml");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "instance: 7\nzone: [").unwrap();
    run.process.signal(rustix::process::Signal::HUP);
    wait_until("the fault is reported", async || {
        run.process.log().contains("stay as they were")
    })
    .await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
    std::fs::write(&path, good).unwrap();
    run.process.signal(rustix::process::Signal::HUP);
    wait_until("the settings are reloaded", async || {
        run.process.log().contains("settings read again")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
}

#[tokio::test]
async fn rows_of_another_writer_name_no_upstream_and_the_others_hold() {
    let run = RelayTest::new()
        .plain("carta", 3)
        .route("/t/", "safe", "carta", &json!({}))
        .start_ready()
        .await;
    let odd = &run.upstreams[0];
    let change = |field: &str, value: Option<Value>| {
        let mut report = odd.report("ready");
        match value {
            Some(value) => report[field] = value,
            None => {
                report.as_object_mut().unwrap().remove(field);
            }
        }
        report
    };
    let reports = [
        change("State", Some(json!("resting"))),
        change("State", None),
        change("State", Some(json!(1))),
        change("Slots", None),
        change("Slots", Some(json!("8"))),
        change("Service", Some(json!(["carta"]))),
        change("Address", Some(json!("nowhere"))),
        change("Stage", Some(json!("both"))),
        change("born", Some(json!("yesterday"))),
        change("born", Some(json!(1.5))),
    ];
    for report in reports {
        // The row is valid for a moment, so that each case starts with an upstream in use.
        run.store.put("servers", "i-carta-0", &odd.report("ready"));
        wait_until("the upstream is used", async || {
            let before = odd.runs().len();
            run.call("GET", "/t/1", "").await;
            odd.runs().len() > before
        })
        .await;
        run.store.put("servers", "i-carta-0", &report);
        let calls = run.store.calls("/rows-get");
        wait_until("the odd row was read", async || {
            run.store.calls("/rows-get") > calls + 1
        })
        .await;
        let before = odd.runs().len();
        for _ in 0..40 {
            assert_eq!(run.call("GET", "/t/1", "").await.status(), 200, "{report}");
        }
        assert_eq!(odd.runs().len(), before, "{report}");
    }
}

#[tokio::test]
async fn an_upstream_that_starts_again_under_its_name_is_another_one() {
    let run = one_route().start_ready().await;
    let life = |born: u64| {
        let mut report = run.upstreams[0].report("ready");
        report["born"] = json!(born);
        report
    };
    run.store.remove("servers", "i-carta-1");
    run.store
        .put("servers", "i-carta-0", &life(1_790_000_000_123));
    wait_until("the first incarnation is known", async || {
        run.call("GET", "/t/1", "").await;
        run.metric_names("i-carta-0/1790000000123").await
    })
    .await;
    run.store
        .put("servers", "i-carta-0", &life(1_790_000_009_456));
    wait_until(
        "the second incarnation is known, and nothing is left of the first",
        async || {
            run.call("GET", "/t/1", "").await;
            run.metric_names("i-carta-0/1790000009456").await
                && !run.metric_names("i-carta-0/1790000000123").await
        },
    )
    .await;
    let named = run.upstreams[0].runs();
    let mut named = named
        .iter()
        .map(|received| received.message.header("x-expect-instance"));
    assert!(named.all(|name| name == Some("i-carta-0")));
}

/// Waits until the configuration that was written last is in force.
async fn wait_in_force(run: &RelayRun) {
    let version = format!(" {}", run.version());
    wait_until("the routes are in force", async || {
        let lines = run.metric_lines("trestlewalk_relay_table_version").await;
        lines.iter().any(|line| line.ends_with(&version))
    })
    .await;
}

// Guards against requests that end without an answer because their route or service changed meanwhile.
#[tokio::test]
async fn requests_in_progress_are_answered_whatever_becomes_of_their_routes() {
    let mut run = RelayTest::new()
        .plain("carta", 1)
        .plain("other", 1)
        .engines("redactor", 1, 0)
        .route("/t/", "unsafe", "carta", &json!({}))
        .route(
            "/s/",
            "streaming",
            "redactor",
            &json!({"TargetLatencyMs": 20_000}),
        )
        .start_ready()
        .await;
    let engine = run.upstream("i-redactor-d0").clone();
    let pause = Duration::from_millis(2_500);
    run.upstream("i-carta-0").set(UpstreamMode::Slow(pause));
    engine.set(UpstreamMode::PauseAfter(2, pause));
    let mut plain = run.caller().await;
    let text = request_text("POST", "/t/1", &fresh_id(), "", "x");
    plain.write(&text).await;
    let mut stream = run.caller().await;
    let text = request_text("POST", "/s/1", &fresh_id(), STREAM_HEADERS, "p");
    stream.write(&text).await;
    wait_until("the stream runs", async || engine.runs().len() == 1).await;
    engine.set(UpstreamMode::Shed);
    let mut waiting = run.caller().await;
    let text = request_text("POST", "/s/2", &fresh_id(), STREAM_HEADERS, "p");
    waiting.write(&text).await;
    run.change(|config| {
        config["Routes"][0]["Service"] = json!("other");
        config["Routes"][0]["TimeoutMs"] = json!(200);
        config["Routes"][1]["TimeoutMs"] = json!(200);
        config["Limits"]["IdleTimeoutMs"] = json!(300);
    });
    wait_in_force(&run).await;
    run.change(|config| {
        config["Routes"] = json!([config["Routes"][0]]);
        config["Services"] = json!([config["Services"][1]]);
    });
    wait_in_force(&run).await;
    engine.set(UpstreamMode::Answer);
    for caller in [&mut plain, &mut stream] {
        let reply = caller.read().await;
        assert_eq!((reply.status(), reply.whole), (200, true));
    }
    let reply = waiting.read().await;
    assert!([200, 503].contains(&reply.status()), "{}", reply.status());
}

// Guards against a kept connection that is lost with an answer that its upstream broke off.
#[tokio::test]
async fn a_connection_is_kept_after_an_answer_that_its_upstream_broke_off() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut caller = run.caller().await;
    for (mode, status) in [
        (UpstreamMode::CutBody, 502),
        (UpstreamMode::Answer, 200),
        (UpstreamMode::Reset, 502),
        (UpstreamMode::Answer, 200),
    ] {
        run.upstreams[0].set(mode);
        let text = request_text("POST", "/t/1", &fresh_id(), "", "x");
        caller.write(&text).await;
        assert_eq!(caller.read().await.status(), status, "{mode:?}");
    }
}
