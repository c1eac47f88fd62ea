//! Values of answers and entries that are put into further calls, whatever characters they have.
//!
//! Guards against a value that is left out of a call since no header can carry it, or that changes the path it is put into.

use {
    http::{Method, Request},
    platform::HttpDialect,
    policy::{UpstreamRecord, UpstreamStage},
    relay::{EngineResource, KvHandle, UpstreamDialect},
    std::time::Duration,
};

/// Names of KV caches and reservations, each with the path that releases it.
const NAMES: [(&str, &str); 6] = [
    ("3fa09c", "3fa09c"),
    ("a?b", "a%3Fb"),
    ("a#b", "a%23b"),
    ("../other", "..%2Fother"),
    ("a b", "a%20b"),
    ("ķ\u{1}", "%C4%B7%01"),
];

fn engine() -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 8_080).into(),
        cold_for: Duration::ZERO,
        id: "i-1".into(),
        leaving: false,
        name: "i-1".into(),
        service: "redactor".into(),
        slots: 8,
        software: "v1".into(),
        stage: UpstreamStage::Decode,
        zone: "gijon".into(),
    }
}

// Guards against the release of another resource, or of none.
#[test]
fn a_resource_is_released_under_its_name_whatever_characters_it_has() {
    let engine = engine();
    for (name, path) in NAMES {
        let kv = EngineResource::Kv(KvHandle {
            address: engine.address,
            name: name.into(),
        });
        let slot = EngineResource::Slot(name.into());
        for (resource, prefix) in [(kv, "/kv-handle/"), (slot, "/hold-drop/")] {
            let call: Request<_> = HttpDialect.release_call(&engine, &resource);
            assert_eq!(call.method(), Method::DELETE);
            assert_eq!(call.uri().to_string(), format!("{prefix}{path}"));
        }
    }
}
