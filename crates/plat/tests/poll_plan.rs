//! Which instances poll the platform and when, and the load on it after an outage, in virtual time.

use {
    kernel::InstanceId,
    plat::{CallBudget, CallKind, CallRate, PollAction, PollEvent, PollPlan, PollSettings},
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

fn names(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|index| format!("entry-{index}").into())
        .collect()
}

fn plans(now: Instant, members: &[InstanceId]) -> Vec<PollPlan> {
    let mut plans = Vec::new();
    for (index, member) in members.iter().enumerate() {
        let settings = PollSettings::builder().seed(index as u64).build();
        let mut plan = PollPlan::new(now, "gijon".into(), member.clone(), settings);
        let event = PollEvent::Members(members.to_vec());
        plan.on_event(now, event, &mut Vec::new());
        plans.push(plan);
    }
    plans
}

/// Runs the plans and counts the polls in each second; each poll completes immediately.
fn run(plans: &mut [PollPlan], now: &mut Instant, seconds: u32, answered: bool) -> Vec<usize> {
    let mut counts = vec![0; seconds as usize];
    let mut wakes = vec![*now; plans.len()];
    for second in 0..seconds {
        let end = *now + SECOND * (second + 1);
        for (plan, wake) in plans.iter_mut().zip(&mut wakes) {
            while *wake < end {
                counts[second as usize] += step(plan, wake, answered);
            }
        }
    }
    *now += SECOND * seconds;
    counts
}

/// Wakes a plan and sets its next wake time; returns the number of polls it made.
fn step(plan: &mut PollPlan, wake: &mut Instant, answered: bool) -> usize {
    let mut actions = Vec::new();
    plan.on_event(*wake, PollEvent::Tick, &mut actions);
    let polls = actions.contains(&PollAction::Poll);
    if polls {
        plan.on_event(*wake, PollEvent::Done { answered }, &mut actions);
    }
    let Some(PollAction::WakeAt(next)) = actions.last() else {
        panic!("{actions:?}");
    };
    *wake = *next;
    usize::from(polls)
}

#[test]
fn a_few_instances_of_a_zone_poll_and_the_next_take_over() {
    let now = Instant::now();
    let members = names(9);
    let mut plans = plans(now, &members);
    let pollers: Vec<usize> = (0..9).filter(|index| plans[*index].is_poller()).collect();
    assert_eq!(pollers.len(), 2);
    let left: Vec<InstanceId> = members
        .iter()
        .filter(|member| **member != members[pollers[0]])
        .cloned()
        .collect();
    for plan in &mut plans {
        plan.on_event(now, PollEvent::Members(left.clone()), &mut Vec::new());
    }
    let others = (0..9).filter(|index| *index != pollers[0] && plans[*index].is_poller());
    assert_eq!(others.count(), 2);
    assert!(plans[pollers[1]].is_poller());
}

#[test]
fn one_poll_is_under_way_at_most_and_a_hanging_one_ends() {
    let now = Instant::now();
    let mut plan = plans(now, &names(1)).remove(0);
    let polls = |plan: &mut PollPlan, at: Instant| {
        let mut actions = Vec::new();
        plan.on_event(at, PollEvent::Tick, &mut actions);
        actions.contains(&PollAction::Poll)
    };
    assert!(polls(&mut plan, now + SECOND));
    assert!(!polls(&mut plan, now + 5 * SECOND));
    assert!(!polls(&mut plan, now + 6 * SECOND));
    assert!(polls(&mut plan, now + 9 * SECOND));
}

#[test]
fn an_hour_of_outage_backs_off_and_ends_without_a_thundering_herd() {
    let mut now = Instant::now();
    let members = names(300);
    // No plan knows other members, so all instances poll.
    let mut plans: Vec<PollPlan> = Vec::new();
    for (index, member) in members.iter().enumerate() {
        let settings = PollSettings::builder().seed(index as u64).build();
        plans.push(PollPlan::new(now, "zone".into(), member.clone(), settings));
    }
    let before = run(&mut plans, &mut now, 10, true);
    let outage = run(&mut plans, &mut now, 3600, false);
    let after = run(&mut plans, &mut now, 60, true);
    let late: usize = outage[3000..].iter().sum();
    // With a backoff of 15 to 30 s, 300 instances make 10 to 20 polls per second.
    assert!(
        (600 * 10..=600 * 20).contains(&late),
        "{late} polls in ten minutes"
    );
    let most = outage[100..].iter().max();
    assert!(
        most.is_some_and(|most| *most <= 45),
        "{most:?} polls in a second of outage"
    );
    // After the outage no second has more than 5/4 of the ordinary maximum of polls.
    let ordinary = before[5..].iter().max().copied().unwrap_or_default();
    let herd = after.iter().max().copied().unwrap_or_default();
    assert!(
        herd <= ordinary * 5 / 4,
        "{herd} polls in a second, {ordinary} before"
    );
    let settled: usize = after[40..].iter().sum();
    assert!(
        settled >= 20 * 300,
        "{settled} polls in the last twenty seconds"
    );
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    let trace = || {
        let start = Instant::now();
        let mut plan = plans(start, &names(1)).remove(0);
        let mut wakes = Vec::new();
        for step in 0..200 {
            let mut actions = Vec::new();
            plan.on_event(start + step * SECOND / 4, PollEvent::Tick, &mut actions);
            if actions.contains(&PollAction::Poll) {
                wakes.push(step);
                let done = PollEvent::Done {
                    answered: step % 3 == 0,
                };
                plan.on_event(start + step * SECOND / 4, done, &mut actions);
            }
        }
        wakes
    };
    assert_eq!(trace(), trace());
}

#[test]
fn the_budget_holds_reads_and_writes_apart_and_says_how_long_to_wait() {
    let now = Instant::now();
    let rate = |burst: f64, per_second: f64| CallRate { burst, per_second };
    let mut budget = CallBudget::new(now, rate(2.0, 4.0), rate(1.0, 0.0));
    assert_eq!(budget.take(now, CallKind::Read), Ok(()));
    assert_eq!(budget.take(now, CallKind::Read), Ok(()));
    assert_eq!(budget.take(now, CallKind::Read), Err(SECOND / 4));
    assert_eq!(budget.take(now, CallKind::Write), Ok(()));
    assert_eq!(budget.take(now, CallKind::Write), Err(Duration::MAX));
    assert_eq!(budget.take(now + SECOND / 4, CallKind::Read), Ok(()));
    let mut taken = 0;
    for step in 0..1000 {
        let at = now + SECOND + step * SECOND / 100;
        taken += u32::from(budget.take(at, CallKind::Read).is_ok());
    }
    assert!((40..=42).contains(&taken), "{taken} reads in ten seconds");
}
