//! Tests of the fleet builder itself: processes, the platform's list and relays.

mod support;

use {
    plat::{InstanceRecord, InstanceState},
    std::time::Duration,
    support::{FleetPlan, HttpCall, RelayMode},
};

#[tokio::test]
async fn processes_listen_and_stand_in_the_list() {
    let fleet = FleetPlan::new()
        .zones(&["gijon", "ferrol"])
        .entries(2)
        .plain(1)
        .start()
        .await;
    let call = HttpCall::new(hyper::Method::GET, fleet.platform_address(), "/instances");
    let mut names: Vec<String> = call
        .send()
        .await
        .json::<Vec<InstanceRecord>>()
        .iter()
        .map(|record| record.name.to_string())
        .collect();
    names.sort();
    assert_eq!(
        names,
        [
            "ferrol-1",
            "ferrol-2",
            "ferrol-plain-1",
            "gijon-1",
            "gijon-2",
            "gijon-plain-1"
        ]
    );
}

#[tokio::test]
async fn the_list_says_which_instance_is_leaving() {
    let fleet = FleetPlan::new().plain(1).start().await;
    fleet
        .set_listed_state("gijon-plain-1", InstanceState::Leaving)
        .await;
    let call = HttpCall::new(hyper::Method::GET, fleet.platform_address(), "/instances");
    let records: Vec<InstanceRecord> = call.send().await.json();
    let leaving: Vec<&InstanceRecord> = records
        .iter()
        .filter(|record| record.state == InstanceState::Leaving)
        .collect();
    assert_eq!(leaving.len(), 1);
    assert_eq!(&*leaving[0].name, "gijon-plain-1");
}

#[tokio::test]
async fn a_killed_instance_refuses_connections_until_it_is_restarted() {
    let mut fleet = FleetPlan::new().start().await;
    fleet.kill("gijon-1").await;
    assert!(fleet.admin("gijon-1", "/live").try_send().await.is_err());
    fleet.restart_entry("gijon-1").await;
    assert_eq!(fleet.admin("gijon-1", "/live").send().await.status, 200);
}

#[tokio::test]
async fn a_paused_instance_answers_after_it_is_resumed() {
    let fleet = FleetPlan::new().start().await;
    fleet.pause("gijon-1").await;
    let call = tokio::spawn(fleet.admin("gijon-1", "/live").send());
    assert!(!call.is_finished());
    fleet.resume("gijon-1");
    assert_eq!(call.await.unwrap().status, 200);
}

#[tokio::test]
async fn a_reset_relay_refuses_and_an_open_one_passes() {
    let fleet = FleetPlan::new().plain(1).start().await;
    let relay = fleet.upstream_relay("gijon-plain-1");
    let call = || HttpCall::new(hyper::Method::GET, relay.address(), "/tile");
    relay.set(RelayMode::Reset);
    assert!(call().try_send().await.is_err());
    relay.set(RelayMode::Slow(Duration::from_millis(1)));
    assert!(call().try_send().await.is_ok());
}

#[tokio::test]
async fn a_silent_relay_holds_a_call_back_until_it_opens() {
    let fleet = FleetPlan::new().plain(1).start().await;
    let relay = fleet.upstream_relay("gijon-plain-1");
    relay.set(RelayMode::Silent);
    let call = HttpCall::new(hyper::Method::GET, relay.address(), "/tile");
    let call = tokio::spawn(call.send());
    tokio::task::yield_now().await;
    assert!(!call.is_finished());
    relay.set(RelayMode::Open);
    assert!(call.await.unwrap().status.is_success());
}

#[tokio::test]
async fn a_udp_relay_drops_the_datagrams_of_a_blocked_sender_alone() {
    let target = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let blocked = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let allowed = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let relay = support::UdpRelay::start(target.local_addr().unwrap()).await;
    relay.block(blocked.local_addr().unwrap());
    blocked.send_to(b"no", relay.address()).await.unwrap();
    allowed.send_to(b"yes", relay.address()).await.unwrap();
    let mut data = [0; 8];
    let (length, sender) = target.recv_from(&mut data).await.unwrap();
    assert_eq!(&data[..length], b"yes");
    target.send_to(b"back", sender).await.unwrap();
    let (length, _) = allowed.recv_from(&mut data).await.unwrap();
    assert_eq!(&data[..length], b"back");
}
