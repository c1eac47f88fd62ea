//! Sends many concurrent completions and chats, streamed and not, and compares every byte of the answers.

use {
    super::{
        Fleet,
        fleet::CallerEndpoint,
        http_call::CallReply,
        model_work::{DONE, error_code, expected_text, long_prompt, streamed_text},
    },
    serde_json::{Value, json},
    tokio::task::JoinSet,
};

/// Outcomes of many requests whose answers were compared with the expected text.
#[derive(Clone, Debug, Default)]
pub struct AnswerCounts {
    /// Result codes of the requests without a complete answer.
    pub codes: Vec<u64>,
    /// Requests with a complete answer.
    pub complete: usize,
}

/// Requests of one row, completions and chats, streamed and not, spread over all entry instances.
#[derive(Clone, Debug)]
pub struct RequestMix {
    /// Number of requests.
    pub count: usize,
    /// Token limit of each answer.
    pub max_tokens: u32,
    /// Name of the row in the table.
    pub work: String,
}

impl RequestMix {
    /// A mix of `count` requests of a row.
    pub fn new(work: &str, count: usize, max_tokens: u32) -> Self {
        Self {
            count,
            max_tokens,
            work: work.to_owned(),
        }
    }

    /// Sends all requests at once and checks all answers.
    pub async fn run(&self, fleet: &Fleet) -> AnswerCounts {
        let entries = fleet.entry_names();
        let mut tasks = JoinSet::new();
        for number in 0..self.count {
            let endpoint = fleet.entry(&entries[number % entries.len()]);
            let mix = self.clone();
            tasks.spawn(async move { mix.run_one(endpoint, number).await });
        }
        let mut counts = AnswerCounts::default();
        while let Some(code) = tasks.join_next().await {
            match code.unwrap() {
                1000 => counts.complete += 1,
                code => counts.codes.push(code),
            }
        }
        counts
    }

    async fn run_one(self, endpoint: CallerEndpoint, number: usize) -> u64 {
        let text = long_prompt(number, 20 + number % 40);
        let stream = number / 2 % 2 == 1;
        if number.is_multiple_of(2) {
            let call = endpoint.completion(&self.work, &text, self.max_tokens, stream);
            return self.check(call, &text, stream).await;
        }
        let body = json!({
            "max_tokens": self.max_tokens,
            "messages": [{ "content": text, "role": "user" }],
            "stream": stream,
        });
        let call = endpoint
            .post("/v1/chat/completions")
            .work(&self.work)
            .json(&body);
        let prompt = format!("user: {text}\nassistant:");
        self.check(call, &prompt, stream).await
    }

    async fn check(&self, call: super::HttpCall, prompt: &str, stream: bool) -> u64 {
        let expected = expected_text(prompt, self.max_tokens);
        if !stream {
            return check_json(&call.send().await, &expected);
        }
        let mut reply = call.stream().await;
        if reply.code() != 1000 {
            return u64::from(reply.code());
        }
        let events = reply.all_events().await;
        check_stream(&events, &expected)
    }
}

/// Checks an answer that was not streamed: the expected text, or an error without any text. Returns the result code.
pub fn check_json(reply: &CallReply, expected: &str) -> u64 {
    let body: Value = reply.json();
    if reply.code() != 1000 {
        assert!(body["choices"].is_null(), "{body}");
        assert_eq!(body["error"]["code"], reply.code(), "{body}");
        return u64::from(reply.code());
    }
    let choice = &body["choices"][0];
    let text = choice["text"]
        .as_str()
        .or(choice["message"]["content"].as_str());
    assert_eq!(text, Some(expected), "the text of the answer");
    1000
}

/// Checks a streamed answer: the expected text and the end marker, or a prefix of the text and a final error. Returns
/// the result code.
pub fn check_stream(events: &[String], expected: &str) -> u64 {
    let text = streamed_text(events);
    if events.last().is_some_and(|last| last == DONE) {
        assert_eq!(text, expected, "the text of the stream");
        return 1000;
    }
    assert!(!events.iter().any(|event| event == DONE), "{events:?}");
    assert!(expected.starts_with(&text), "{text:?} of {expected:?}");
    let code = error_code(events);
    assert!(
        code > 1000,
        "a stream without an end marker or error: {:?}",
        events.last()
    );
    code
}
