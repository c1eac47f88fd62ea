//! A zone whose instances share the memory of decode engines through a scheduler.

use {
    super::{RelayTest, UpstreamMode, ZoneRun},
    kernel::{InstanceId, seeded_rng},
    serde_json::{Value, json},
    std::time::Duration,
};

pub const DECODE_ENGINES: usize = 2;
/// Room for two streams at each engine.
pub const ENGINE_TOKENS: u64 = 3_600;
pub const INSTANCES: usize = 5;

/// Starts the instances and engines. Streams stand still for `pause` after their second event.
pub async fn start_places(pause: Duration) -> ZoneRun {
    let more = json!({"TargetGapMs": 3000, "Resumable": true, "MaxAttempts": 2, "TimeoutMs": 9000, "TargetLatencyMs": 4000});
    let run = RelayTest::new()
        .engines("redactor", DECODE_ENGINES, 1)
        .route("/note/", "streaming", "redactor", &more)
        .start_zone(INSTANCES)
        .await;
    for index in 0..INSTANCES {
        run.wait_ready(index).await;
    }
    for upstream in &run.upstreams {
        upstream.state.lock().unwrap().memory_tokens = ENGINE_TOKENS;
        upstream.set(UpstreamMode::PauseAfter(2, pause));
    }
    run
}

/// The position of the instance that schedules the engines.
pub fn scheduler(is_alive: impl Fn(usize) -> bool) -> usize {
    let names: Vec<InstanceId> = (1..=INSTANCES)
        .map(|number| InstanceId::from(format!("front-{number}")))
        .collect();
    let alive = (0..INSTANCES).filter(|index| is_alive(*index));
    let first = seeded_rng::rendezvous("redactor/0", alive.map(|index| &names[index]));
    let first = first.unwrap();
    names.iter().position(|name| name == first).unwrap()
}

/// The section of the state dump about places.
pub async fn places(run: &ZoneRun, index: usize) -> Value {
    let process = &run.instances[index].process;
    let reply = process.get("admin", "/dump").send().await;
    let dump: Value = serde_json::from_slice(&reply.body).unwrap();
    dump["places"].clone()
}

/// How many places the engines that an instance schedules have in use, by its own count.
pub async fn scheduled_streams(run: &ZoneRun, index: usize) -> u64 {
    let places = places(run, index).await;
    let engines = places["scheduled_here"].as_array().unwrap();
    let streams = engines.iter().map(|engine| engine["streams"].as_u64());
    streams.map(Option::unwrap).sum()
}

/// Whether an instance schedules all decode engines and knows their memory.
pub async fn knows_engines(run: &ZoneRun, index: usize) -> bool {
    let places = places(run, index).await;
    let engines = places["scheduled_here"].as_array().unwrap();
    let known = engines
        .iter()
        .filter(|engine| engine["capacity"] == ENGINE_TOKENS);
    known.count() == DECODE_ENGINES
}
