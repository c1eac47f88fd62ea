//! At its origin a ticket runs at most once.

use {
    claim::{
        ClaimError, IncarnationKey, NotRunEvidence, PermitDispatch, RequestOutcome, SubmitVerdict,
        Ticket, TicketSettings, TicketTable, UnsentRequest,
    },
    kernel::ResultCode,
    std::time::{Duration, Instant},
};

const DIGEST: u64 = 5;
const MINUTE: Duration = Duration::from_secs(60);

struct Test {
    now: Instant,
    table: TicketTable<Vec<u8>>,
    ticket: Ticket,
}

impl Test {
    fn new() -> Self {
        Self::with(TicketSettings::builder().secret(3).build())
    }

    fn with(settings: TicketSettings) -> Self {
        let now = Instant::now();
        let life = IncarnationKey {
            incarnation: 7,
            instance: "entry-1".into(),
        };
        let mut table = TicketTable::new(now, life, "riga-a".into(), settings).unwrap();
        let ticket = table.mint(now, MINUTE).unwrap();
        Self { now, table, ticket }
    }

    fn code(&mut self) -> Option<ResultCode> {
        match self.table.submit(self.now, &self.ticket, DIGEST) {
            SubmitVerdict::Decided(outcome) => Some(outcome.code()),
            _ => None,
        }
    }

    fn run(&mut self, answer: &[u8]) {
        let SubmitVerdict::Run(permit) = self.table.submit(self.now, &self.ticket, DIGEST) else {
            panic!("no permit");
        };
        let PermitDispatch::Started { run, sent, .. } =
            permit.dispatch(self.now, UnsentRequest::from_caller(()))
        else {
            panic!("late");
        };
        self.table.finish(run, sent, answer.to_vec());
    }
}

#[test]
fn a_repeated_submission_gets_the_kept_answer() {
    let mut test = Test::new();
    test.run(b"answer");
    let verdict = test.table.submit(test.now, &test.ticket, DIGEST);
    let SubmitVerdict::Decided(RequestOutcome::Answered(answer)) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(answer, b"answer");
}

#[test]
fn another_request_with_a_used_ticket_is_refused() {
    let mut test = Test::new();
    test.run(b"answer");
    let verdict = test.table.submit(test.now, &test.ticket, DIGEST + 1);
    assert!(matches!(
        verdict,
        SubmitVerdict::Decided(RequestOutcome::Used)
    ));
}

#[test]
fn a_submission_while_running_never_runs() {
    let mut test = Test::new();
    let first = test.table.submit(test.now, &test.ticket, DIGEST);
    let second = test.table.submit(test.now, &test.ticket, DIGEST);
    assert!(matches!(first, SubmitVerdict::Run(_)));
    assert!(matches!(second, SubmitVerdict::Attach));
}

#[test]
fn a_refused_ticket_never_runs_later() {
    let mut test = Test::new();
    let SubmitVerdict::Run(permit) = test.table.submit(test.now, &test.ticket, DIGEST) else {
        panic!("no permit");
    };
    let unsent = UnsentRequest::from_caller(());
    test.table.refuse(permit, unsent, ResultCode::QueueFull);
    assert_eq!(test.code(), Some(ResultCode::QueueFull));
}

#[test]
fn an_unused_ticket_expires_as_not_run() {
    let mut test = Test::new();
    test.now += MINUTE;
    assert_eq!(test.code(), Some(ResultCode::TicketExpired));
}

#[test]
fn a_ticket_past_its_retention_is_unknown() {
    let mut test = Test::new();
    test.run(b"answer");
    test.now += Duration::from_secs(3600);
    assert_eq!(test.code(), Some(ResultCode::TicketForgotten));
    assert_eq!(test.table.counts().records, 0);
    assert_eq!(test.table.counts().kept_bytes, 0);
    assert_eq!(test.table.counts().outstanding, 0);
}

#[test]
fn a_used_ticket_is_remembered_past_its_expiry() {
    let mut test = Test::new();
    test.run(b"answer");
    test.now += MINUTE * 2;
    assert_eq!(test.code(), Some(ResultCode::Answered));
}

#[test]
fn a_holder_frozen_past_the_expiry_does_not_dispatch() {
    let mut test = Test::new();
    let SubmitVerdict::Run(permit) = test.table.submit(test.now, &test.ticket, DIGEST) else {
        panic!("no permit");
    };
    let resumed = test.now + MINUTE;
    let dispatch = permit.dispatch(resumed, UnsentRequest::from_caller(()));
    assert!(matches!(dispatch, PermitDispatch::Expired { .. }));
}

#[test]
fn an_undone_dispatch_gives_the_permit_back() {
    let mut test = Test::new();
    let SubmitVerdict::Run(permit) = test.table.submit(test.now, &test.ticket, DIGEST) else {
        panic!("no permit");
    };
    let PermitDispatch::Started { request, run, sent } =
        permit.dispatch(test.now, UnsentRequest::from_caller("request"))
    else {
        panic!("late");
    };
    let evidence = NotRunEvidence::from_refusal(503, Some(false)).unwrap();
    let (permit, unsent) = run.into_unsent(sent, evidence, request);
    test.table
        .refuse(permit, unsent, ResultCode::UpstreamRefused);
    assert_eq!(test.code(), Some(ResultCode::UpstreamRefused));
}

#[test]
fn an_upstream_that_may_have_run_it_is_no_evidence() {
    assert!(NotRunEvidence::from_refusal(503, None).is_none());
    assert!(NotRunEvidence::from_refusal(503, Some(true)).is_none());
    assert!(NotRunEvidence::from_refusal(500, Some(false)).is_none());
}

#[test]
fn a_damaged_ticket_is_unknown_here() {
    let mut test = Test::new();
    test.ticket.expiry += MINUTE;
    assert_eq!(test.code(), Some(ResultCode::TicketUnknown));
}

#[test]
fn another_life_of_the_same_instance_holds_no_ticket_of_the_first() {
    let mut test = Test::new();
    test.ticket.life.incarnation += 1;
    let verdict = test.table.submit(test.now, &test.ticket, DIGEST);
    assert!(matches!(verdict, SubmitVerdict::Elsewhere));
}

#[test]
fn kept_answers_are_bounded() {
    let settings = TicketSettings::builder().secret(3).cache_limit(10).build();
    let mut test = Test::with(settings);
    test.run(b"answer");
    let first = test.ticket.clone();
    test.ticket = test.table.mint(test.now, MINUTE).unwrap();
    test.run(b"answer");
    assert_eq!(test.code(), Some(ResultCode::Answered));
    test.ticket = first;
    assert_eq!(test.code(), Some(ResultCode::TicketUsed));
    assert_eq!(test.table.counts().kept_bytes, 6);
}

#[test]
fn minting_is_bounded() {
    let settings = TicketSettings::builder().secret(3).ticket_limit(1).build();
    let mut test = Test::with(settings);
    let error = test.table.mint(test.now, MINUTE).unwrap_err();
    assert_eq!(error, ClaimError::MintLimit { limit: 1 });
    test.now += Duration::from_secs(3600);
    assert!(test.table.mint(test.now, MINUTE).is_ok());
}
