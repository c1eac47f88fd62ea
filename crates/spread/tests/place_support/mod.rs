//! What the tests of the exchange of decode places have in common.

use {
    peer::{AddressTable, PeerEndpoint, PeerKeys},
    sched::{PlaceRequest, StreamNeed},
    std::time::Duration,
};

/// An endpoint that the others of its test find in `addresses`.
pub(crate) fn endpoint(name: &str, addresses: &AddressTable, keys: &PeerKeys) -> PeerEndpoint {
    let endpoint = PeerEndpoint::builder()
        .address("127.0.0.1:0".parse().unwrap())
        .addresses(addresses.clone())
        .incarnation(1)
        .instance(name.into())
        .keys(keys)
        .build()
        .unwrap();
    addresses.set(name.into(), endpoint.local_address().unwrap());
    endpoint
}

/// A request that may wait for `patience`.
pub(crate) fn request(key: &str, need: StreamNeed, patience: Duration) -> PlaceRequest {
    PlaceRequest {
        avoid: Vec::new(),
        customer: None,
        first_event_left: patience,
        holders: Vec::new(),
        is_foreign: false,
        key: key.into(),
        left: patience,
        need,
        rank: 1,
        software: None,
        target_left: patience,
        turn: None,
        work: "note".into(),
    }
}
