//! The sum of the calls of all instances to an upstream that states a rate limit, with views of the fleet that differ.

use {
    kernel::{InstanceId, UpstreamId, ZoneId, seeded_rng},
    policy::{CallRate, FleetMember, FleetMembers, RateStatement, RateTable},
    proptest::prelude::*,
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);
/// The window in which operators count.
const WINDOW: Duration = Duration::from_secs(4);
/// One view in this many lacks a given other instance.
const MISSING_INTERVAL: u64 = 4;
const SPAN: Duration = Duration::from_secs(12);
const ZONES: [&str; 3] = ["near", "far", "further"];

fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

fn members(count: usize) -> Vec<FleetMember> {
    let member = |index: usize| FleetMember {
        capacity: 1,
        instance: format!("front-{index}").into(),
        zone: ZONES[index % ZONES.len()].into(),
    };
    (0..count).map(member).collect()
}

/// What one instance knows; with `is_partial`, it lacks some of the others.
fn view(all: &[FleetMember], own: &InstanceId, is_partial: bool) -> Arc<FleetMembers> {
    let mut members = all.to_vec();
    members.retain(|member| {
        let hash = seeded_rng::rendezvous_score(own, &member.instance);
        !is_partial || member.instance == *own || !hash.is_multiple_of(MISSING_INTERVAL)
    });
    Arc::new(FleetMembers::new(members))
}

/// The instances after all of them have learned of the limit within a second.
fn tables(count: usize, rate: f64, is_partial: bool, start: Instant) -> Vec<RateTable> {
    let all = members(count);
    let mut tables = Vec::new();
    for (index, member) in all.iter().enumerate() {
        let mut table = RateTable::new(member.instance.clone());
        table.set_fleet(&view(&all, &member.instance, is_partial), start);
        let learned = start + SECOND.mul_f64(index as f64 / count as f64);
        let statement = RateStatement::Limited(CallRate::from(rate));
        let upstream = (&UpstreamId::from("a"), &ZoneId::from("near"));
        table.note_answer(upstream, statement, learned, learned);
        tables.push(table);
    }
    tables
}

/// The largest number of calls in any window and the number of all calls, when every instance calls whenever it may.
fn count_calls(tables: &mut [RateTable], from: Instant) -> (usize, usize) {
    let id = UpstreamId::from("a");
    let (mut recent, mut most, mut all) = (VecDeque::new(), 0, 0);
    let mut now = from;
    while now < from + SPAN {
        for table in &mut *tables {
            if table.wait(&id, now).is_some_and(|wait| wait.is_zero()) {
                table.note_call(&id, now);
                recent.push_back(now);
                all += 1;
            }
        }
        while recent.front().is_some_and(|at| now - *at >= WINDOW) {
            recent.pop_front();
        }
        most = most.max(recent.len());
        now += TICK;
    }
    (most, all)
}

#[test]
fn instances_with_the_same_view_use_most_of_the_rate_and_no_more() {
    let start = Instant::now();
    for count in [1, 3, 9, 86, 300, 1_000] {
        for rate in [0.5, 1.6, 7.0, 40.0] {
            let mut tables = tables(count, rate, false, start);
            // After a calm nothing is saved up beyond one call of each regular caller.
            let (most, all) = count_calls(&mut tables, start + 60 * SECOND);
            assert!(most as f64 <= allowed(rate), "{count} at {rate}: {most}");
            let used = all as f64 / (rate * SPAN.as_secs_f64());
            assert!(used >= 0.6, "{count} at {rate}: {used}");
        }
    }
}

#[test]
fn an_instance_that_does_not_call_regularly_finds_a_turn() {
    let start = Instant::now();
    let id = UpstreamId::from("a");
    let tables = tables(30, 1.6, false, start);
    for table in &tables {
        let mut now = start;
        let has_turn = loop {
            if table.wait(&id, now).is_some_and(|wait| wait.is_zero()) {
                break true;
            }
            now += 100 * Duration::from_millis(1);
            if now > start + 400 * SECOND {
                break false;
            }
        };
        assert!(has_turn);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(50), ..ProptestConfig::default() })]

    /// Instances that have just joined, left or been cut off know a part of the fleet only.
    #[test]
    fn instances_with_different_views_stay_within_the_bound(count in 1_usize..300, rate in 0.05_f64..60.0) {
        let start = Instant::now();
        let mut tables = tables(count, rate, true, start);
        let (most, _) = count_calls(&mut tables, start + 3 * SECOND);
        prop_assert!(most as f64 <= allowed(rate), "{count} at {rate}: {most}");
    }

    #[test]
    fn a_fleet_whose_members_change_stays_within_the_bound(count in 2_usize..200, rate in 0.05_f64..60.0, seed in 0_u64..1_000) {
        let start = Instant::now();
        let id = UpstreamId::from("a");
        let mut tables = tables(count, rate, false, start);
        let (mut recent, mut most) = (VecDeque::new(), 0);
        let all = members(count);
        for tick in 0..600_u32 {
            let now = start + 3 * SECOND + TICK * tick;
            if tick % 50 == 0 {
                let hash = seeded_rng::mix(seed, &tick.to_le_bytes());
                let left = all.iter().enumerate().filter(|(index, _)| (hash >> (index % 32)) & 7 != 0);
                let fleet = Arc::new(FleetMembers::new(left.map(|(_, member)| member.clone()).collect()));
                for table in &mut tables {
                    table.set_fleet(&fleet, now);
                }
            }
            for table in &mut tables {
                if table.wait(&id, now).is_some_and(|wait| wait.is_zero()) {
                    table.note_call(&id, now);
                    recent.push_back(now);
                }
            }
            while recent.front().is_some_and(|at| now - *at >= WINDOW) {
                recent.pop_front();
            }
            most = most.max(recent.len());
        }
        prop_assert!(most as f64 <= allowed(rate), "{count} at {rate}: {most}");
    }
}
