//! Model requests to a fleet: prompts, expected answers and the streams that engines hold.

use {
    super::{Fleet, FleetPlan, HttpCall, TABLE, fleet::CallerEndpoint, wait_until},
    fake::{LengthSpread, expected_length, expected_token},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// The end marker of a streamed answer.
pub const DONE: &str = "[DONE]";

/// A prompt of `tokens` tokens whose prefix is unique to `number`.
pub fn long_prompt(number: usize, tokens: usize) -> String {
    let mut prompt = format!("log {number:06}: ");
    let length = 4 * tokens;
    while prompt.len() < length {
        prompt.push_str("cone 6, held for ten minutes; ");
    }
    prompt.truncate(length);
    prompt
}

/// The text of the complete answer to a prompt.
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    let length = expected_length(prompt, max_tokens, LengthSpread::default());
    (0..length)
        .map(|index| expected_token(prompt, index).to_string())
        .collect()
}

/// The text of a streamed answer, either a completion or a chat.
pub fn streamed_text(events: &[String]) -> String {
    let mut text = String::new();
    for event in events.iter().filter(|event| *event != DONE) {
        let chunk: Value = serde_json::from_str(event).unwrap();
        let choice = &chunk["choices"][0];
        let piece = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        text.push_str(piece.unwrap_or_default());
    }
    text
}

/// The error code of the last event; 0 when it is not an error.
pub fn error_code(events: &[String]) -> u64 {
    let Some(last) = events.last() else {
        return 0;
    };
    let value: Value = serde_json::from_str(last).unwrap_or_default();
    value["error"]["code"].as_u64().unwrap_or(0)
}

/// The median and the maximum of samples, for printed measurements.
pub fn median_and_max(mut samples: Vec<Duration>) -> (Duration, Duration) {
    samples.sort();
    (samples[samples.len() / 2], samples[samples.len() - 1])
}

impl CallerEndpoint {
    /// A call for a completion of a row.
    pub fn completion(&self, work: &str, prompt: &str, max_tokens: u32, stream: bool) -> HttpCall {
        let body = json!({ "max_tokens": max_tokens, "prompt": prompt, "stream": stream });
        self.post("/v1/completions").work(work).json(&body)
    }
}

impl Fleet {
    /// The allocator of the plan's model, as an entry instance sees it; empty when it knows none.
    pub async fn allocator(&self, entry: &str) -> String {
        let dump = self.dump(entry).await;
        let name = dump["flow"]["allocators"]["sondeo"].as_str();
        name.unwrap_or_default().to_owned()
    }

    /// Number of streams that an engine holds, in any state.
    pub async fn held_streams(&self, engine: &str) -> usize {
        let reply = self.process(engine).get("address", "/streams").send().await;
        reply.json::<Vec<Value>>().len()
    }

    /// Number of requests of an entry instance in a phase.
    pub async fn in_phase(&self, entry: &str, phase: &str) -> u64 {
        let dump = self.dump(entry).await;
        dump["flow"]["requests"][phase].as_u64().unwrap_or(0)
    }

    /// Starts a fleet with a table and waits until all of its instances are ready and agree on the allocator.
    pub async fn serving(plan: FleetPlan) -> Self {
        let fleet = plan.start().await;
        fleet.put_table(TABLE).await;
        // The allocator may still change until every instance serves, even if all already agree on one.
        fleet.wait_all_serving().await;
        fleet.wait_allocator_agreed().await;
        fleet
    }

    /// The sum of a counter that has one entry per key, such as a request or prompt.
    pub async fn counter_sum(&self, upstream: &str, counter: &str) -> u64 {
        let counters = self.counters(upstream).await;
        let map = counters[counter].as_object().unwrap();
        map.values().filter_map(Value::as_u64).sum()
    }

    /// Waits until every entry instance sees all entry instances in state `serving`.
    pub async fn wait_all_serving(&self) {
        let names = self.entry_names();
        for entry in &names {
            wait_until(&format!("{entry} sees all instances serving"), async || {
                let dump = self.dump(entry).await;
                let heard = dump["peer"]["members"]["heard"].as_array();
                let serving = heard.into_iter().flatten();
                serving
                    .filter(|member| member["state"] == "serving")
                    .count()
                    == names.len()
            })
            .await;
        }
    }

    /// Waits until all entry instances are ready and agree on one allocator.
    pub async fn wait_allocator_agreed(&self) {
        let entries = self.entry_names();
        for entry in &entries {
            self.wait_ready(entry).await;
        }
        wait_until("all instances agree on one allocator", async || {
            let mut names = Vec::new();
            for entry in &entries {
                names.push(self.allocator(entry).await);
            }
            names.dedup();
            names.len() == 1 && !names[0].is_empty()
        })
        .await;
    }

    /// Waits until none of the engines holds a stream and returns how long that took.
    pub async fn wait_idle(&self, engines: &[&str]) -> Duration {
        let started = Instant::now();
        for engine in engines {
            let what = format!("{engine} holds no stream");
            wait_until(&what, async || self.held_streams(engine).await == 0).await;
        }
        started.elapsed()
    }
}
