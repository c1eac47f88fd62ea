//! What a caller is told about a request that was handed over for another instance.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Uri},
    policy::{RepeatRule, ZoneFilter},
    relay::{
        CallerHead, CallerRequest, ErrorResponse, ForwardEnd, ForwardQueue, RequestTrace,
        RouteTarget, RunCount, TraceContext, UsedConnections, WorkRoute,
    },
    std::{
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
};

/// The statuses after which callers send a request again that may run once.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
const PATIENCE: Duration = Duration::from_secs(5);

fn request() -> Arc<CallerRequest> {
    let id: Arc<str> = "00aa".into();
    let since = Instant::now();
    let trace = RequestTrace::new(
        id.clone(),
        since,
        TraceContext {
            customer: None,
            list_age: Duration::ZERO,
            pause: None,
            service: "carta".into(),
            target: PATIENCE,
            version: 1,
            work: "book".into(),
        },
    );
    Arc::new(CallerRequest {
        access: None,
        body: Bytes::from_static(b"order"),
        body_memory: None,
        charge: None,
        connections: UsedConnections::default(),
        deadline: since + PATIENCE,
        head: CallerHead {
            after: None,
            id,
            prompt: None,
            resumes: None,
            wait: None,
        },
        headers: HeaderMap::new(),
        method: Method::POST,
        rank: 1,
        since,
        runs: RunCount::default(),
        suspects: OnceLock::new(),
        trace,
        target: Uri::from_static("/b/1"),
        zones: ZoneFilter::default(),
    })
}

fn route() -> Arc<WorkRoute> {
    Arc::new(WorkRoute {
        between_events: None,
        first_byte: PATIENCE,
        host: "shop.example".into(),
        is_public: false,
        patience: PATIENCE,
        prefix: "/b/".into(),
        rank: 1,
        regions: None,
        repeat: RepeatRule::Once,
        streams: false,
        targets: vec![RouteTarget {
            service: "carta".into(),
            weight: 1,
        }],
        tries: 1,
        work: "book".into(),
    })
}

/// Guards against a second run by a caller that is told that its request did not run: the task that had sent it ended without
/// an outcome, as at the end of a process.
#[tokio::test]
async fn a_request_whose_forwarding_ends_without_an_outcome_is_not_promised_to_have_not_run() {
    let queue = ForwardQueue::default();
    let mut jobs = queue.open().unwrap();
    let (request, route) = (request(), route());
    let service = "carta".into();
    let forwarding = queue.forward(&request, &route, &service, 0);
    let (end, ()) = tokio::join!(forwarding, async {
        drop(jobs.recv().await.unwrap());
    });
    let ForwardEnd::Lost(code) = end else {
        panic!("{end:?}");
    };
    let status = ErrorResponse::new(code).into_response().status().as_u16();
    assert!(
        !NOT_RUN_STATUSES.contains(&status),
        "{status}: {}",
        code.text()
    );
}
