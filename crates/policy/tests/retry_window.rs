//! The retry budget holds over all instances in every window, without communication between them.

use {
    policy::{RetryBounds, RetryWindow},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

const INSTANCES: usize = 4;
const RATIO: f64 = 0.2;
const SLACK: f64 = 10.0;
const WINDOW: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum StepKind {
    Request,
    /// The instance crashes and restarts.
    Restart,
    Retry,
}

#[derive(Clone, Debug)]
struct Step {
    instance: usize,
    kind: StepKind,
    pause: u64,
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        20 => Just(StepKind::Request),
        1 => Just(StepKind::Restart),
        20 => Just(StepKind::Retry),
    ];
    (0..INSTANCES, kind, 0..400_u64).prop_map(|(instance, kind, pause)| Step {
        instance,
        kind,
        pause,
    })
}

/// How many of `times` are in the window that ends at `end`.
fn count_in(times: &[Instant], end: Instant) -> f64 {
    let inside = |time: &&Instant| **time <= end && end.duration_since(**time) < WINDOW;
    times.iter().filter(inside).count() as f64
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_has_more_repeats_than_all_instances_may_make(
        steps in proptest::collection::vec(step(), 1..400),
    ) {
        let bounds = RetryBounds::builder()
            .ratio(RATIO)
            .slack(SLACK)
            .window(WINDOW)
            .build();
        let mut now = Instant::now() + 4 * WINDOW;
        let mut windows = vec![RetryWindow::new(now); INSTANCES];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for step in &steps {
            now += Duration::from_millis(step.pause);
            let window = &mut windows[step.instance];
            match step.kind {
                StepKind::Request => {
                    window.note_request(&bounds, now);
                    requests.push(now);
                }
                StepKind::Restart => *window = RetryWindow::new(now),
                StepKind::Retry if window.take(&bounds, Some(INSTANCES), now) => retries.push(now),
                StepKind::Retry => {}
            }
        }
        for end in &retries {
            let retried = count_in(&retries, *end);
            // Requests of the window itself, of the one before it or of the one half a window earlier may fund the
            // retries.
            let requested = [Duration::ZERO, WINDOW / 2, WINDOW]
                .into_iter()
                .map(|back| count_in(&requests, *end - back))
                .fold(0.0, f64::max);
            prop_assert!(retried <= RATIO * requested + SLACK, "{retried} retries for {requested} requests");
        }
    }
}

#[test]
fn a_repeat_is_forgotten_after_the_window() {
    let bounds = RetryBounds::builder()
        .ratio(0.0)
        .slack(3.0)
        .window(WINDOW)
        .build();
    let started = Instant::now();
    let mut window = RetryWindow::new(started);
    assert!(
        !window.take(&bounds, Some(2), started),
        "the slack may have been used before the restart"
    );
    let now = started + WINDOW;
    assert!(window.take(&bounds, Some(2), now));
    assert!(!window.take(&bounds, Some(2), now + WINDOW / 2));
    assert!(window.take(&bounds, Some(2), now + WINDOW));
}

#[test]
fn an_instance_has_an_equal_part_of_the_slack_and_none_while_it_knows_no_number() {
    let bounds = RetryBounds::builder()
        .ratio(0.0)
        .slack(54.0)
        .window(WINDOW)
        .build();
    let started = Instant::now();
    let now = started + WINDOW;
    for (instances, limit) in [(Some(1), 37), (Some(7), 5), (Some(60), 0), (None, 0)] {
        let mut window = RetryWindow::new(started);
        let taken = (0..100).filter(|_| window.take(&bounds, instances, now));
        assert_eq!(taken.count(), limit, "{instances:?}");
    }
}
