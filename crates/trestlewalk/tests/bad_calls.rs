//! Invalid calls get a clear error with a numbered result code.

mod support;

use {
    serde_json::{Value, json},
    support::{Fleet, FleetPlan, TABLE, wait_until},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const ENTRY: &str = "gijon-1";

async fn serving() -> Fleet {
    let fleet = FleetPlan::new().prefill(1).decode(1).plain(1).start().await;
    fleet.put_table(TABLE).await;
    fleet.wait_ready(ENTRY).await;
    fleet
}

#[tokio::test]
async fn bad_calls_are_refused_with_a_number_and_a_reason() {
    let fleet = serving().await;
    let cases = [
        ("assist", json!({ "prompt": "" }).to_string(), 2002, 400),
        ("assist", "{".to_owned(), 2002, 400),
        (
            "assist",
            json!({ "max_tokens": 0, "prompt": "x" }).to_string(),
            2002,
            400,
        ),
        (
            "assist",
            json!({ "model": "other", "prompt": "x" }).to_string(),
            2002,
            400,
        ),
        ("confirm", json!({ "prompt": "x" }).to_string(), 2002, 400),
        ("nothing", json!({ "prompt": "x" }).to_string(), 2001, 404),
        ("assist", "x".repeat(10 << 20), 2003, 413),
    ];
    for (work, body, code, status) in cases {
        let call = fleet
            .entry(ENTRY)
            .post("/v1/completions")
            .work(work)
            .body(body);
        let reply = call.send().await;
        assert_eq!(
            (reply.code(), reply.status.as_u16()),
            (code, status),
            "{}",
            reply.text()
        );
        let error = &reply.json::<Value>()["error"];
        assert_eq!(
            (&error["code"], &error["not_run"]),
            (&json!(code), &json!(true))
        );
        assert!(
            error["message"]
                .as_str()
                .is_some_and(|message| !message.is_empty())
        );
    }
}

#[tokio::test]
async fn a_header_bomb_is_refused_and_the_instance_serves_on() {
    let fleet = serving().await;
    let address = fleet.entry(ENTRY).address;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\n")
        .await
        .unwrap();
    let line = format!("x-bomb: {}\r\n", "b".repeat(1000));
    for _ in 0..1000 {
        if stream.write_all(line.as_bytes()).await.is_err() {
            break;
        }
    }
    let mut answer = Vec::new();
    // The connection may be reset before the whole answer is read.
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 431"),
        "{text}"
    );
    assert_eq!(fleet.admin(ENTRY, "/ready").send().await.status, 200);
}

#[tokio::test]
async fn a_caller_that_closes_its_sending_side_is_taken_for_gone() {
    let fleet = serving().await;
    let body =
        json!({ "max_tokens": 20_000, "prompt": "a long report", "stream": true }).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\ntrestlewalk-work: report\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(fleet.entry(ENTRY).address)
        .await
        .unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    wait_until("a decode place is used", async || {
        fleet.counters("gijon-decode-1").await["places_used"] == 1
    })
    .await;
    stream.shutdown().await.unwrap();
    wait_until("the decode place is free", async || {
        fleet.counters("gijon-decode-1").await["places_used"] == 0
    })
    .await;
}
