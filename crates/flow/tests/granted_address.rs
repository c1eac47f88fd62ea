//! The addresses of engines that this instance does not list yet.

use {
    flow::{
        CellFrame, CellGrant, CellHub, CellRoute, GrantFrame, GrantRouter, GrantSink, ModelRequest,
        UpstreamRegistry,
    },
    kernel::{ModelId, ResultCode, UpstreamId},
    plat::{InstanceKind, InstanceRecord, InstanceState},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::{self, UnboundedReceiver},
};

const ALLOCATOR: &str = "gijon-2";
const ENGINE: &str = "p1";
const INSTANCE: &str = "gijon-1";
/// More addresses than a registry keeps.
const MANY: usize = 10_000;
const MODEL: &str = "glaze";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(port: u16) -> InstanceRecord {
    InstanceRecord {
        address: address(port).to_string().into(),
        checks_fence: true,
        kind: InstanceKind::Prefill,
        model: Some(MODEL.into()),
        name: ENGINE.into(),
        service: Some("glaze-llm".into()),
        state: InstanceState::Live,
        zone: "gijon".into(),
    }
}

fn registry() -> Arc<UpstreamRegistry> {
    Arc::new(UpstreamRegistry::new(Vec::new()))
}

fn engine() -> UpstreamId {
    ENGINE.into()
}

/// A hub with a queued request, whose cell another instance allocates.
fn hub(
    registry: &Arc<UpstreamRegistry>,
) -> (
    CellHub,
    UnboundedReceiver<CellGrant>,
    UnboundedReceiver<CellFrame>,
) {
    let hub = CellHub::new(INSTANCE.into(), 1, registry.clone());
    let (frames, outbox) = mpsc::unbounded_channel();
    let route = CellRoute {
        allocator: ALLOCATOR.into(),
        frames,
    };
    hub.set_route(&MODEL.into(), route);
    let request = ModelRequest {
        arrived: Instant::now(),
        max_tokens: 16,
        model: MODEL.into(),
        prompt: "a free kiln?".into(),
        run_by: None,
        stream: false,
        work: "report".into(),
    };
    let grants = hub.submit(&hub.next_key(), &request);
    (hub, grants, outbox)
}

fn grant_frame(hub: &CellHub) -> GrantFrame {
    let mut key = hub.next_key();
    key.serial -= 1;
    GrantFrame {
        address: Some(address(1)),
        grant: CellGrant::Prefill(engine()),
        key,
        model: MODEL.into(),
    }
}

// Guards against calls and cancels that do not reach an engine which only the allocator lists yet.
#[test]
fn a_granted_engine_that_is_not_listed_has_an_address() {
    let registry = registry();
    registry.note_granted(&engine(), address(1));
    assert_eq!(registry.address(ENGINE), None);
    assert_eq!(registry.call_address(ENGINE), Some(address(1)));
    assert_eq!(registry.last_address(ENGINE), Some(address(1)));
}

// Guards against calls to an old address once this instance lists the engine, or after it has left the list.
#[test]
fn the_list_replaces_the_address_of_a_grant() {
    let registry = registry();
    registry.note_granted(&engine(), address(1));
    registry.put_list(&[record(2)]);
    assert_eq!(registry.call_address(ENGINE), Some(address(2)));
    assert_eq!(registry.last_address(ENGINE), Some(address(2)));
    registry.put_list(&[]);
    assert_eq!(registry.call_address(ENGINE), None);
    assert_eq!(registry.last_address(ENGINE), Some(address(2)));
}

// Guards against new work for an engine that left, by the grant of an allocator that has not seen it leave.
#[test]
fn a_grant_does_not_bring_back_an_engine_that_left() {
    let registry = registry();
    registry.put_list(&[record(1)]);
    registry.note_granted(&engine(), address(3));
    assert_eq!(registry.call_address(ENGINE), Some(address(1)));
    registry.put_list(&[]);
    registry.note_granted(&engine(), address(3));
    assert_eq!(registry.call_address(ENGINE), None);
    assert_eq!(registry.last_address(ENGINE), Some(address(1)));
    registry.put_list(&[record(2)]);
    assert_eq!(registry.call_address(ENGINE), Some(address(2)));
}

// Guards against a registry that grows with every engine that was ever granted, and against one that drops the last.
#[test]
fn granted_addresses_are_bounded() {
    let registry = registry();
    let names: Vec<UpstreamId> = (0..MANY)
        .rev()
        .map(|at| format!("p{at:05}").into())
        .collect();
    for name in &names {
        registry.note_granted(name, address(1));
        assert_eq!(registry.call_address(name), Some(address(1)));
    }
    let kept = names
        .iter()
        .filter(|name| registry.call_address(name).is_some());
    assert!(kept.count() <= MANY / 2);
}

// Guards against a request that has its grant before the address of the engine is known.
#[test]
fn a_grant_brings_the_address_of_its_engine() {
    let registry = registry();
    let (hub, mut grants, _outbox) = hub(&registry);
    hub.on_grant(&ALLOCATOR.into(), grant_frame(&hub));
    assert_eq!(grants.try_recv(), Ok(CellGrant::Prefill(engine())));
    assert_eq!(registry.call_address(ENGINE), Some(address(1)));
}

// Guards against addresses from an instance that is no longer the cell's allocator.
#[test]
fn a_dropped_grant_brings_no_address() {
    let registry = registry();
    let (hub, mut grants, _outbox) = hub(&registry);
    hub.on_grant(&"gijon-3".into(), grant_frame(&hub));
    assert!(grants.try_recv().is_err());
    assert_eq!(registry.call_address(ENGINE), None);
}

// Guards against an allocator that grants an engine by its name alone.
#[test]
fn a_router_adds_the_address_that_it_lists() {
    let registry = registry();
    registry.put_list(&[record(2)]);
    let hub = Arc::new(CellHub::new(ALLOCATOR.into(), 1, registry.clone()));
    let router = GrantRouter::new(hub, ALLOCATOR.into(), registry);
    let (session, mut frames) = mpsc::unbounded_channel();
    router.attach(INSTANCE.into(), session);
    let key = CellHub::new(INSTANCE.into(), 1, self::registry()).next_key();
    let model: ModelId = MODEL.into();
    let refusal = CellGrant::Refuse {
        code: ResultCode::PatienceEnded,
        retry_after: Duration::from_secs(1),
    };
    let grants = [
        (CellGrant::Prefill(engine()), Some(address(2))),
        (CellGrant::Decode(engine()), Some(address(2))),
        (CellGrant::Decode("d9".into()), None),
        (refusal, None),
        (CellGrant::Resync, None),
    ];
    for (grant, address) in grants {
        router.deliver(&model, key.clone(), grant.clone());
        let frame = frames.try_recv().unwrap();
        assert_eq!((frame.grant, frame.address), (grant, address));
    }
}
