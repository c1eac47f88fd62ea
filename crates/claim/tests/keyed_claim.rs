//! Callers' idempotency keys: concurrent submissions, lost replies, expiry and sweeps of claims.

#[path = "support/flaky_rows.rs"]
mod flaky_rows;

use {
    claim::{
        ClaimEvent, ClaimKeeper, ClaimRecord, ClaimVerdict, ClaimWatch, ClockReading,
        IncarnationKey, KeyedClaim, SubmitVerdict, Ticket, TicketSettings, TicketTable, claim_key,
        claim_key::EPOCH_KEY,
        claim_sweep::{due_removals, is_sweeper},
    },
    flaky_rows::{CallFault, FlakyRows},
    kernel::ResultCode,
    plat::{StoredRow, Transaction},
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

const DIGEST: u64 = 5;
const LIFE: Duration = Duration::from_secs(60);

fn clock() -> ClockReading {
    ClockReading {
        now: Instant::now(),
        wall: SystemTime::now(),
    }
}

fn claim(instance: &str, digest: u64) -> KeyedClaim {
    let clock = clock();
    let life = IncarnationKey {
        incarnation: 7,
        instance: instance.into(),
    };
    let settings = TicketSettings::builder().secret(3).build();
    let mut table =
        TicketTable::<Vec<u8>>::new(clock.now, life, "riga-a".into(), settings).unwrap();
    let ticket = table.mint(clock.now, LIFE).unwrap();
    let SubmitVerdict::Run(permit) = table.submit(clock.now, &ticket, digest) else {
        panic!("no permit");
    };
    let record = ClaimRecord::under_permit(clock, &permit, ticket, digest);
    KeyedClaim::new(claim_key(3, "confirm", "studio-1", "key-1"), record)
}

struct Test {
    keeper: ClaimKeeper<FlakyRows>,
    store: Arc<FlakyRows>,
}

impl Test {
    fn new(faults: &[CallFault]) -> Self {
        let store = Arc::new(FlakyRows::with(faults));
        Self {
            keeper: ClaimKeeper::new(store.clone()),
            store,
        }
    }

    async fn settle(&self, claim: &mut KeyedClaim) -> ClaimVerdict {
        self.keeper.settle(claim, ClaimEvent::Start).await
    }

    fn stored_ticket(&self) -> Ticket {
        let rows = self.store.rows.lock().unwrap();
        let row = rows.values().find(|row| &*row.key != EPOCH_KEY).unwrap();
        ClaimRecord::from_value(&row.value).unwrap().ticket
    }
}

#[tokio::test]
async fn the_first_runs_and_the_second_goes_to_the_first() {
    let test = Test::new(&[]);
    let mut first = claim("entry-1", DIGEST);
    let mut second = claim("entry-2", DIGEST);
    assert_eq!(test.settle(&mut first).await, ClaimVerdict::Run);
    let ticket = first.ticket().clone();
    assert_eq!(
        test.settle(&mut second).await,
        ClaimVerdict::Forward(ticket)
    );
}

#[tokio::test]
async fn a_write_whose_reply_was_lost_is_recognised() {
    let test = Test::new(&[CallFault::LostReply]);
    let mut claim = claim("entry-1", DIGEST);
    assert_eq!(test.settle(&mut claim).await, ClaimVerdict::Run);
}

#[tokio::test]
async fn a_write_that_was_lost_is_sent_again() {
    let test = Test::new(&[CallFault::LostCall]);
    let mut claim = claim("entry-1", DIGEST);
    assert_eq!(test.settle(&mut claim).await, ClaimVerdict::Run);
    assert_eq!(test.stored_ticket(), *claim.ticket());
}

#[tokio::test]
async fn a_platform_that_is_down_means_not_run() {
    let test = Test::new(&[CallFault::LostCall; 8]);
    let mut claim = claim("entry-1", DIGEST);
    let verdict = test.settle(&mut claim).await;
    assert_eq!(verdict, ClaimVerdict::Refuse(ResultCode::PlatformDown));
}

#[tokio::test]
async fn another_request_under_the_key_is_refused() {
    let test = Test::new(&[]);
    test.settle(&mut claim("entry-1", DIGEST)).await;
    let verdict = test.settle(&mut claim("entry-2", DIGEST + 1)).await;
    assert_eq!(verdict, ClaimVerdict::Refuse(ResultCode::KeyTaken));
}

#[tokio::test]
async fn a_claim_that_its_origin_refused_gives_way() {
    let test = Test::new(&[]);
    test.settle(&mut claim("entry-1", DIGEST)).await;
    let mut second = claim("entry-2", DIGEST);
    test.settle(&mut second).await;
    let refused = ClaimEvent::OriginRefused;
    let verdict = test.keeper.settle(&mut second, refused).await;
    assert_eq!(verdict, ClaimVerdict::Run);
    assert_eq!(test.stored_ticket(), *second.ticket());
}

#[test]
fn keys_of_two_callers_are_two_claims() {
    let first = claim_key(3, "confirm", "studio-1", "key-1");
    assert!(first.starts_with("claims/confirm/"));
    assert_ne!(first, claim_key(3, "confirm", "studio-2", "key-1"));
    assert_ne!(first, claim_key(3, "confirm", "studio-1", "key-2"));
}

struct WatchTest {
    clock: ClockReading,
    record: ClaimRecord,
    row: StoredRow,
    watch: ClaimWatch,
}

impl WatchTest {
    fn new() -> Self {
        let claim = claim("entry-1", DIGEST);
        let clock = clock();
        let record = ClaimRecord {
            digest: DIGEST,
            ends: clock.wall + LIFE,
            life: LIFE,
            ticket: claim.ticket().clone(),
        };
        let row = StoredRow {
            key: "claims/confirm/1".into(),
            value: record.to_value(),
            version: 1,
        };
        Self {
            clock,
            record,
            row,
            watch: ClaimWatch::new(8),
        }
    }

    fn has_ended(&mut self) -> bool {
        self.watch.has_ended(self.clock, &self.row, &self.record)
    }

    fn removals(&mut self) -> Option<Transaction> {
        let rows = std::slice::from_ref(&self.row);
        due_removals(self.clock, &mut self.watch, 8, rows)
    }
}

#[test]
fn a_wall_clock_that_is_ahead_ends_no_claim() {
    let mut test = WatchTest::new();
    test.clock.wall += LIFE * 1000;
    assert!(!test.has_ended());
    test.clock.now += LIFE;
    assert!(!test.has_ended());
    test.clock.now += LIFE / 50;
    assert!(test.has_ended());
}

#[test]
fn a_claim_that_was_replaced_is_watched_afresh() {
    let mut test = WatchTest::new();
    test.clock.wall += LIFE;
    assert!(!test.has_ended());
    test.clock.now += LIFE * 2;
    test.row.version += 1;
    assert!(!test.has_ended());
}

#[test]
fn a_sweep_removes_a_claim_after_its_life_unchanged_and_starts_an_epoch() {
    let mut test = WatchTest::new();
    test.clock.wall += LIFE * 2;
    assert_eq!(test.removals(), None);
    test.clock.now += LIFE;
    assert_eq!(test.removals(), None);
    test.clock.now += LIFE;
    let removals = test.removals().unwrap();
    assert_eq!(removals.conditions[0].version, 1);
    assert_eq!(removals.writes[0].value, None);
    assert_eq!(&*removals.writes[1].key, EPOCH_KEY);
    assert_eq!(removals.conditions[1].version, 8);
}

#[test]
fn one_live_instance_sweeps() {
    let live: Vec<Arc<str>> = vec!["entry-1".into(), "entry-2".into(), "entry-3".into()];
    let sweepers = live.iter().filter(|own| is_sweeper(own, &live));
    assert_eq!(sweepers.count(), 1);
}
