//! Hand-over of the tickets of a closing instance: an unused ticket still runs at most once, at the successor.

use {
    claim::{
        ClosedTable, ForwardRoute, ForwardTable, HandOver, HandOverReply, IncarnationKey,
        PermitDispatch, SubmitVerdict, Ticket, TicketSettings, TicketTable, UnsentRequest,
    },
    kernel::ResultCode,
    std::time::{Duration, Instant},
};

const DIGEST: u64 = 5;
const MINUTE: Duration = Duration::from_secs(60);

fn incarnation_key(instance: &str, incarnation: u64) -> IncarnationKey {
    IncarnationKey {
        incarnation,
        instance: instance.into(),
    }
}

fn table(now: Instant, life: IncarnationKey) -> TicketTable<Vec<u8>> {
    let settings = TicketSettings::builder().secret(3).build();
    TicketTable::new(now, life, "riga-a".into(), settings).unwrap()
}

struct Test {
    closed: ClosedTable<Vec<u8>>,
    message: HandOver<Vec<u8>>,
    now: Instant,
    running: Ticket,
    successor: TicketTable<Vec<u8>>,
    unused: Ticket,
    used: Ticket,
}

impl Test {
    fn new() -> Self {
        let now = Instant::now();
        let mut origin = table(now, incarnation_key("entry-1", 7));
        let successor = table(now, incarnation_key("entry-2", 9));
        let mut mint = || origin.mint(now, MINUTE).unwrap();
        let (running, unused, used) = (mint(), mint(), mint());
        assert!(matches!(
            origin.submit(now, &running, DIGEST),
            SubmitVerdict::Run(_)
        ));
        let SubmitVerdict::Run(permit) = origin.submit(now, &used, DIGEST) else {
            panic!("no permit");
        };
        let PermitDispatch::Started { run, sent, .. } =
            permit.dispatch(now, UnsentRequest::from_caller(()))
        else {
            panic!("late");
        };
        origin.finish(run, sent, b"answer".to_vec());
        let (message, closed) = origin.hand_over(now, incarnation_key("entry-2", 9));
        Self {
            closed,
            message,
            now,
            running,
            successor,
            unused,
            used,
        }
    }

    fn accept(&mut self) -> HandOverReply {
        let message = self.message.clone();
        self.successor.accept_hand_over(self.now, message)
    }
}

fn code<A: claim::AnswerSize>(verdict: SubmitVerdict<A>) -> Option<ResultCode> {
    match verdict {
        SubmitVerdict::Decided(outcome) => Some(outcome.code()),
        _ => None,
    }
}

#[test]
fn the_successor_runs_an_unused_ticket_once() {
    let mut test = Test::new();
    assert_eq!(test.accept(), HandOverReply::Accepted);
    let first = test.successor.submit(test.now, &test.unused, DIGEST);
    assert!(matches!(first, SubmitVerdict::Run(_)));
    assert_eq!(test.accept(), HandOverReply::Accepted);
    let second = test.successor.submit(test.now, &test.unused, DIGEST);
    assert!(matches!(second, SubmitVerdict::Attach));
}

#[test]
fn the_successor_replays_a_kept_answer_and_runs_nothing_that_ran() {
    let mut test = Test::new();
    test.accept();
    let used = test.successor.submit(test.now, &test.used, DIGEST);
    let running = test.successor.submit(test.now, &test.running, DIGEST);
    assert_eq!(code(used), Some(ResultCode::Answered));
    assert_eq!(code(running), Some(ResultCode::OriginGone));
}

#[test]
fn the_closer_never_runs_nor_denies_what_it_handed_over() {
    let mut test = Test::new();
    let before = test.closed.submit(&test.unused, DIGEST);
    assert!(matches!(before, SubmitVerdict::Elsewhere));
    let successor = incarnation_key("entry-2", 9);
    test.closed.on_reply(&successor, HandOverReply::Accepted);
    let after = test.closed.submit(&test.unused, DIGEST);
    assert!(matches!(after, SubmitVerdict::Elsewhere));
    let running = test.closed.submit(&test.running, DIGEST);
    assert!(matches!(running, SubmitVerdict::Attach));
}

#[test]
fn the_closer_denies_what_the_successor_refused_for_good() {
    let mut test = Test::new();
    let later_incarnation = incarnation_key("entry-2", 10);
    test.closed
        .on_reply(&later_incarnation, HandOverReply::Refused);
    let verdict = test.closed.submit(&test.unused, DIGEST);
    assert!(matches!(verdict, SubmitVerdict::Elsewhere));
    let successor = incarnation_key("entry-2", 9);
    test.closed.on_reply(&successor, HandOverReply::Refused);
    let verdict = test.closed.submit(&test.unused, DIGEST);
    assert_eq!(code(verdict), Some(ResultCode::Closing));
}

#[test]
fn only_the_named_life_takes_a_hand_over() {
    let test = Test::new();
    let mut other = table(test.now, incarnation_key("entry-2", 10));
    let reply = other.accept_hand_over(test.now, test.message);
    assert_eq!(reply, HandOverReply::Refused);
}

#[test]
fn what_the_closer_took_for_ended_is_ended_at_the_successor() {
    let now = Instant::now();
    let mut origin = table(now, incarnation_key("entry-1", 7));
    let ticket = origin.mint(now, MINUTE).unwrap();
    let ended = now + MINUTE;
    let verdict = origin.submit(ended, &ticket, DIGEST);
    assert_eq!(code(verdict), Some(ResultCode::TicketExpired));
    let (message, _) = origin.hand_over(ended, incarnation_key("entry-2", 9));
    let mut successor = table(now, incarnation_key("entry-2", 9));
    successor.accept_hand_over(ended + MINUTE, message);
    let verdict = successor.submit(ended + MINUTE, &ticket, DIGEST);
    assert_eq!(code(verdict), Some(ResultCode::TicketExpired));
}

#[test]
fn a_closed_instance_takes_no_hand_over_but_owns_up_to_an_earlier_one() {
    let mut test = Test::new();
    test.accept();
    let (_, closed) = test
        .successor
        .hand_over(test.now, incarnation_key("entry-3", 1));
    assert_eq!(
        closed.accept_hand_over(&test.message),
        HandOverReply::Accepted
    );
    let (_, closed) = table(test.now, incarnation_key("entry-2", 9))
        .hand_over(test.now, incarnation_key("entry-3", 1));
    assert_eq!(
        closed.accept_hand_over(&test.message),
        HandOverReply::Refused
    );
}

#[test]
fn requests_follow_the_tickets() {
    let now = Instant::now();
    let (first, second) = (incarnation_key("entry-1", 7), incarnation_key("entry-2", 9));
    let mut table = ForwardTable::new(MINUTE);
    let none = |_: &IncarnationKey| false;
    assert_eq!(table.route(&first, none, none), ForwardRoute::Gone);
    let live = |life: &IncarnationKey| *life == second;
    table.add_successor(now, first.clone(), second.clone());
    assert_eq!(
        table.route(&first, none, live),
        ForwardRoute::Remote(second.clone())
    );
    assert_eq!(table.route(&first, live, none), ForwardRoute::Local);
    table.add_successor(now, second.clone(), first.clone());
    assert_eq!(table.route(&first, none, none), ForwardRoute::Gone);
    table.sweep(now + MINUTE);
    assert_eq!(table.successors().count(), 0);
}
