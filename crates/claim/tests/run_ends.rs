//! Outcomes of runs in flight at the hand-over, as reported to the successor afterwards.

use {
    claim::{
        ClosedTable, HandOver, IncarnationKey, PermitDispatch, RequestOutcome, RunPermit,
        SubmitVerdict, Ticket, TicketSettings, TicketTable, UnsentRequest,
    },
    kernel::ResultCode,
    std::time::{Duration, Instant},
};

const DIGEST: u64 = 5;
const MINUTE: Duration = Duration::from_secs(60);

struct Test {
    closed: ClosedTable<Vec<u8>>,
    message: HandOver<Vec<u8>>,
    now: Instant,
    permit: RunPermit,
    running: Ticket,
    successor: TicketTable<Vec<u8>>,
    unused: Ticket,
}

impl Test {
    fn new() -> Self {
        let now = Instant::now();
        let mut origin = table(now, "entry-1");
        let successor = table(now, "entry-2");
        let running = origin.mint(now, MINUTE).unwrap();
        let unused = origin.mint(now, MINUTE).unwrap();
        let SubmitVerdict::Run(permit) = origin.submit(now, &running, DIGEST) else {
            panic!("no permit");
        };
        let (message, closed) = origin.hand_over(now, successor.life().clone());
        Self {
            closed,
            message,
            now,
            permit,
            running,
            successor,
            unused,
        }
    }

    fn record_outcomes(&mut self) {
        let message = self.closed.final_records(self.now);
        self.successor.record_outcomes(message);
    }

    fn outcome(&mut self, ticket: &Ticket) -> RequestOutcome<Vec<u8>> {
        match self.successor.submit(self.now, ticket, DIGEST) {
            SubmitVerdict::Decided(outcome) => outcome,
            verdict => panic!("{verdict:?}"),
        }
    }
}

fn table(now: Instant, instance: &str) -> TicketTable<Vec<u8>> {
    let settings = TicketSettings::builder().secret(3).build();
    let life = IncarnationKey {
        incarnation: 7,
        instance: instance.into(),
    };
    TicketTable::new(now, life, "riga-a".into(), settings).unwrap()
}

#[test]
fn the_successor_learns_the_answer_of_a_run_that_ended_after_the_hand_over() {
    let mut test = Test::new();
    let _ = test
        .successor
        .accept_hand_over(test.now, test.message.clone());
    let running = test.running.clone();
    assert_eq!(test.outcome(&running).code(), ResultCode::OriginGone);
    let unsent = UnsentRequest::from_caller(());
    let PermitDispatch::Started { run, sent, .. } = test.permit.dispatch(test.now, unsent) else {
        panic!("late");
    };
    test.closed.finish(run, sent, b"answer".to_vec());
    let message = test.closed.final_records(test.now);
    test.successor.record_outcomes(message);
    let SubmitVerdict::Decided(outcome) = test.successor.submit(test.now, &running, DIGEST) else {
        panic!("it runs again");
    };
    assert_eq!(outcome, RequestOutcome::Answered(b"answer".to_vec()));
}

#[test]
fn a_run_that_goes_on_stays_unknown_at_the_successor() {
    let mut test = Test::new();
    let _ = test
        .successor
        .accept_hand_over(test.now, test.message.clone());
    test.record_outcomes();
    let running = test.running.clone();
    assert_eq!(test.outcome(&running).code(), ResultCode::OriginGone);
}

#[test]
fn what_ran_at_the_successor_is_not_changed() {
    let mut test = Test::new();
    let _ = test
        .successor
        .accept_hand_over(test.now, test.message.clone());
    let unused = test.unused.clone();
    let SubmitVerdict::Run(permit) = test.successor.submit(test.now, &unused, DIGEST) else {
        panic!("no permit");
    };
    let unsent = UnsentRequest::from_caller(());
    let PermitDispatch::Started { run, sent, .. } = permit.dispatch(test.now, unsent) else {
        panic!("late");
    };
    test.successor.finish(run, sent, b"here".to_vec());
    test.record_outcomes();
    let outcome = test.outcome(&unused);
    assert_eq!(outcome, RequestOutcome::Answered(b"here".to_vec()));
}

#[test]
fn a_life_that_holds_nothing_learns_nothing() {
    let mut test = Test::new();
    test.record_outcomes();
    let running = test.running.clone();
    let verdict = test.successor.submit(test.now, &running, DIGEST);
    assert!(matches!(verdict, SubmitVerdict::Elsewhere));
}
