//! Calls that end after their upstream was removed from the list must not bring its metrics back.

use {
    kernel::{LockRank, RankedLock},
    policy::{CallVerdict, UpstreamRecord, UpstreamStage, UpstreamTable},
    prometheus::{Encoder, Registry, TextEncoder},
    relay::{OpenCall, RelayCounts},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

#[test]
fn a_call_that_ends_after_its_upstream_is_gone_leaves_no_counter() {
    let record = UpstreamRecord {
        address: ([127, 0, 0, 1], 8_080).into(),
        cold_for: Duration::ZERO,
        id: "i-1".into(),
        leaving: false,
        name: "i-1".into(),
        report_number: None,
        service: "carta".into(),
        slots: 8,
        software: "v1".into(),
        stage: UpstreamStage::Plain,
        zone: "gijon".into(),
    };
    let (counts, registry) = (RelayCounts::new(), Registry::new());
    counts.register(&registry).unwrap();
    let table = UpstreamTable::default();
    let upstreams = Arc::new(RankedLock::new(LockRank::Upstreams, table));
    let now = Instant::now();
    upstreams
        .lock()
        .replace(std::slice::from_ref(&record), None, now);
    let call = OpenCall::new(&upstreams, &counts, Arc::new(record), 0);
    for gone in upstreams.lock().replace(&[], None, now) {
        counts.forget_upstream(&gone);
    }
    call.close(CallVerdict::Answered);
    let mut text = Vec::new();
    TextEncoder::new()
        .encode(&registry.gather(), &mut text)
        .unwrap();
    let text = String::from_utf8(text).unwrap();
    assert!(!text.contains("i-1"), "{text}");
}
