//! A lease at the platform, and orders sent under it.

#[path = "../../claim/tests/support/flaky_rows.rs"]
mod flaky_rows;

use {
    engine::wire::{EngineOrder, OrderKind},
    flaky_rows::{CallFault, FlakyRows},
    kernel::UpstreamId,
    lease::{LeaseError, LeaseKeeper, LeaseRecord, LeaseSettings, OrderReply, OrderSender},
    std::sync::Arc,
};

const KEY: &str = "leases/test";

struct FixedSender(OrderReply);

impl OrderSender for FixedSender {
    async fn send_order(&self, _upstream: &UpstreamId, _order: &EngineOrder) -> OrderReply {
        self.0
    }
}

struct Test {
    store: Arc<FlakyRows>,
}

impl Test {
    fn new(faults: &[CallFault]) -> Self {
        Self {
            store: Arc::new(FlakyRows::with(faults)),
        }
    }

    fn keeper(&self, holder: &str) -> LeaseKeeper<FlakyRows> {
        let settings = LeaseSettings::builder().holder(holder).key(KEY).build();
        LeaseKeeper::new(self.store.clone(), settings)
    }

    fn record(&self) -> LeaseRecord {
        let rows = self.store.rows.lock().unwrap();
        LeaseRecord::from_value(&rows[KEY].value).unwrap()
    }
}

async fn order(
    keeper: &LeaseKeeper<FlakyRows>,
    reply: OrderReply,
    checks_fence: bool,
) -> Result<bool, LeaseError> {
    let kind = OrderKind::LoadModel {
        model: "glaze".into(),
    };
    let upstream = "engine-1".into();
    keeper
        .order(&FixedSender(reply), &upstream, checks_fence, kind)
        .await
}

#[tokio::test]
async fn the_first_holds_and_the_second_follows() {
    let test = Test::new(&[]);
    let (first, second) = (test.keeper("one"), test.keeper("two"));
    first.tick().await;
    second.tick().await;
    assert_eq!(first.hold().map(|hold| hold.fence), Some(1));
    assert_eq!(second.hold(), None);
    assert_eq!(order(&first, OrderReply::Done, false).await, Ok(true));
    let lost = order(&second, OrderReply::Done, false).await;
    assert!(matches!(lost, Err(LeaseError::LeaseLost { .. })));
}

#[tokio::test]
async fn a_write_whose_reply_was_lost_is_recognised() {
    let test = Test::new(&[CallFault::None, CallFault::LostReply]);
    let keeper = test.keeper("one");
    keeper.tick().await;
    assert_eq!(keeper.hold(), None);
    keeper.tick().await;
    assert_eq!(keeper.hold().map(|hold| hold.fence), Some(1));
    assert_eq!(test.record().write, 1);
}

#[tokio::test]
async fn a_released_lease_goes_on_with_a_greater_fence() {
    let test = Test::new(&[]);
    let first = test.keeper("one");
    first.tick().await;
    first.close().await;
    assert_eq!(test.record().holder, None);
    let second = test.keeper("two");
    second.tick().await;
    assert_eq!(second.hold().map(|hold| hold.fence), Some(2));
    assert_eq!(order(&second, OrderReply::Done, false).await, Ok(true));
}

#[tokio::test]
async fn a_lease_with_an_order_at_work_is_not_released() {
    let test = Test::new(&[]);
    let first = test.keeper("one");
    first.tick().await;
    let unknown = order(&first, OrderReply::Unknown, false).await;
    assert!(matches!(unknown, Err(LeaseError::OutcomeUnknown { .. })));
    let early = order(&first, OrderReply::Done, true).await;
    assert!(matches!(early, Err(LeaseError::TooEarly { .. })));
    first.close().await;
    assert_eq!(test.record().holder.as_deref(), Some("one"));
}

#[tokio::test]
async fn a_fenced_holder_steps_down_and_comes_back_above() {
    let test = Test::new(&[]);
    let keeper = test.keeper("one");
    keeper.tick().await;
    let fenced = order(&keeper, OrderReply::Fenced(9), true).await;
    assert!(matches!(
        fenced,
        Err(LeaseError::FenceRefused { seen: 9, .. })
    ));
    assert_eq!(keeper.hold(), None);
    keeper.tick().await;
    assert_eq!(keeper.hold().map(|hold| hold.fence), Some(10));
}

#[tokio::test]
async fn a_platform_that_is_down_takes_no_lease_away_before_its_end() {
    let mut faults = vec![CallFault::None; 2];
    faults.extend([CallFault::LostCall; 4]);
    let test = Test::new(&faults);
    let keeper = test.keeper("one");
    keeper.tick().await;
    keeper.tick().await;
    assert_eq!(keeper.hold().map(|hold| hold.fence), Some(1));
    assert_eq!(order(&keeper, OrderReply::Done, true).await, Ok(true));
}
