//! The ways in which one side can lose track of a request.

use {
    crate::track_world::{DECODE, TrackWorld, decode, prefill, prefill_done},
    admit::{AdmitEvent, CellAllocator},
    flow::{CellNotice, cell_notice::CellGrant},
    kernel::{ResultCode, UpstreamId},
    route::UpstreamRole,
};

// Guards against a request that waits forever because its allocator forgot it together with the decode engine.
#[test]
fn a_request_refused_by_an_engine_that_is_gone_gets_another_place() {
    let mut world = TrackWorld::new();
    let mut request = world.submit_and_place();
    let gone: UpstreamId = DECODE.into();
    world.driver.on_event(AdmitEvent::UpstreamGone(gone));
    world.notify(&request, CellNotice::DecodeRefused);
    world.engine_up(DECODE, UpstreamRole::Decode);
    world.pump();
    // The refused transfer is expected to occupy the link until it would have ended.
    world.finish_transfer();
    assert_eq!(request.next_grant(), decode());
}

// Guards against an allocator that counts a decode place as free while one of its own streams runs there.
#[test]
fn a_stream_that_outlives_the_loss_of_its_engine_is_counted_again() {
    let mut world = TrackWorld::new();
    let request = world.submit_and_place();
    let gone: UpstreamId = DECODE.into();
    world.driver.on_event(AdmitEvent::UpstreamGone(gone));
    world.engine_up(DECODE, UpstreamRole::Decode);
    world.notify(&request, CellNotice::FirstToken);
    world.pump();
    let counts = world.driver.inspect(CellAllocator::counts);
    assert_eq!((counts.decoding, counts.places), (1, 1));
}

// Guards against a request that waits for a grant that was lost with its session.
#[test]
fn a_grant_lost_with_its_session_is_given_again() {
    let mut world = TrackWorld::new();
    world.set_broken(true);
    let mut request = world.submit();
    world.set_broken(false);
    world.open_session();
    assert_eq!(request.next_grant(), prefill());
    world.set_broken(true);
    world.notify(&request, prefill_done());
    world.set_broken(false);
    world.open_session();
    world.finish_transfer();
    assert_eq!(request.next_grant(), decode());
    let counts = world.driver.inspect(CellAllocator::counts);
    assert_eq!((counts.running, counts.transferring), (1, 1));
}

// Guards against a second grant to a request that already has the one it needs.
#[test]
fn a_new_session_grants_nothing_anew() {
    let mut world = TrackWorld::new();
    let mut request = world.submit();
    assert_eq!(request.next_grant(), prefill());
    world.open_session();
    assert_eq!(request.next_grant(), None);
    world.notify(&request, prefill_done());
    assert_eq!(request.next_grant(), decode());
    world.open_session();
    world.notify(&request, CellNotice::FirstToken);
    world.open_session();
    assert_eq!(request.next_grant(), None);
    let counts = world.driver.inspect(CellAllocator::counts);
    assert_eq!((counts.running, counts.decoding), (1, 1));
}

// Guards against a request of an earlier incarnation that waits for an allocator which does not accept it.
#[test]
fn a_request_named_before_its_instance_has_a_new_life_is_refused() {
    let mut world = TrackWorld::new();
    let key = world.hub.next_key();
    world.hub.renew(2);
    world.driver.on_event(AdmitEvent::HolderGone {
        before: 2,
        instance: key.instance.clone(),
    });
    let mut request = world.submit_as(key);
    let grant = request.next_grant();
    let is_refused = matches!(
        grant,
        Some(CellGrant::Refuse {
            code: ResultCode::UpstreamMissing,
            ..
        })
    );
    assert!(is_refused, "{grant:?}");
}
