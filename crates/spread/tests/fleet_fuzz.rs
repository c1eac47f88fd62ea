//! Sixty instances in three zones in virtual time, with random faults of the store and of the links
//! between them.
//!
//! The load is the control traffic of many instances while the store refuses, is silent or slow,
//! and while many or all start together.

mod fleet_model;

use {
    fleet_model::{FleetFault, FleetModel, StoreMode},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
};

const ZONES: usize = 3;
const PER_ZONE: usize = 20;
/// Maximum number of calls per zone to the store in any second: periodic reads of the reader, one
/// probe, and the attempts of early readers and standbys. A start of all instances adds one read of
/// the directory each, which the model does not include.
const MAX_ZONE_CALLS_PER_SECOND: usize = 12;
/// Maximum age of the data of an instance that the store answers. An edit must take effect within 2
/// s, and a read of the routes follows that of the list.
const MAX_AGE: Duration = Duration::from_millis(1_800);
/// Time from the end of all faults until all instances have current data again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

fn healthy_fleet() -> FleetModel {
    let mut model = FleetModel::new(ZONES, PER_ZONE);
    model.run(seconds(6));
    model
}

#[test]
fn in_calm_times_one_instance_of_all_reads_in_its_period() {
    let mut model = healthy_fleet();
    let before = model.calls.len();
    model.run(seconds(9));
    assert_eq!(model.calls.len() - before, 10);
    assert!(model.oldest_data_age() < Duration::from_millis(1_250));
}

#[test]
fn when_all_start_together_few_of_a_zone_read_the_store() {
    let mut model = healthy_fleet();
    let before = model.calls.len();
    model.fault(&FleetFault::KillAll);
    model.run(seconds(2));
    assert!(
        model.calls.len() - before <= ZONES * 8,
        "{}",
        model.calls.len() - before
    );
    assert!(model.oldest_data_age() < Duration::from_millis(1_250));
}

#[test]
fn a_store_that_answers_nobody_is_probed_by_few_of_a_zone() {
    for mode in [StoreMode::Refuses, StoreMode::Silent] {
        let mut model = healthy_fleet();
        let before = model.calls.len();
        model.fault(&FleetFault::Store(mode, 0, ZONES * PER_ZONE, seconds(9)));
        model.run(seconds(9));
        let calls = model.calls.len() - before;
        assert!(calls <= ZONES * 9 * 4, "{mode:?}: {calls}");
        model.run(RECOVERY_TIME);
        assert!(
            model.oldest_data_age() < Duration::from_millis(1_250),
            "{mode:?}"
        );
    }
}

#[test]
fn while_the_store_answers_some_everybody_has_news() {
    // The first instances of each zone by name are refused; its reader may or may not be one of
    // them.
    for refused in [7, 15, 19] {
        let mut model = healthy_fleet();
        let ranges = (0..ZONES).map(|zone| zone * PER_ZONE);
        for first in ranges {
            let until = first + refused;
            model.fault(&FleetFault::Store(
                StoreMode::Refuses,
                first,
                until,
                seconds(9),
            ));
        }
        for _ in 0..7 {
            model.run(seconds(1));
            assert!(
                model.oldest_data_age() < seconds(4),
                "{refused}: {:?}",
                model.oldest_data_age()
            );
        }
    }
}

#[test]
fn when_the_store_refuses_the_readers_of_all_zones_others_take_their_place() {
    // The reader of each zone and the ones after it, this many in total per zone.
    for refused in [1, 2] {
        let mut model = healthy_fleet();
        for zone in 0..ZONES {
            for reader in model.readers(zone, refused) {
                let fault = FleetFault::Store(StoreMode::Refuses, reader, reader + 1, seconds(9));
                model.fault(&fault);
            }
        }
        let mut oldest = Duration::ZERO;
        for _ in 0..80 {
            model.run(Duration::from_millis(100));
            oldest = oldest.max(model.oldest_data_age());
        }
        // A leaving upstream must get no new work after two seconds. Each further refused reader
        // costs one standby delay.
        let most = Duration::from_millis(1_500) + Duration::from_millis(500) * refused as u32;
        assert!(oldest < most, "{refused}: {oldest:?}");
    }
}

#[test]
fn a_zone_whose_instances_are_all_refused_goes_on_by_the_readings_of_others() {
    let mut model = healthy_fleet();
    model.fault(&FleetFault::Store(
        StoreMode::Refuses,
        0,
        PER_ZONE,
        seconds(9),
    ));
    for _ in 0..8 {
        model.run(seconds(1));
        assert!(
            model.oldest_data_age() < Duration::from_millis(2_400),
            "{:?}",
            model.oldest_data_age()
        );
    }
}

#[test]
fn a_zone_has_news_soon_after_its_reader_died() {
    let mut model = healthy_fleet();
    for dead in 0..4 {
        let reader = model.reader(0);
        model.fault(&FleetFault::Die(reader));
        model.run(Duration::from_millis(2_100));
        assert!(
            model.oldest_data_age() < Duration::from_millis(2_100),
            "{dead}: {:?}",
            model.oldest_data_age()
        );
        model.run(seconds(3));
        assert!(
            model.oldest_data_age() < Duration::from_millis(1_250),
            "{dead}"
        );
    }
}

#[test]
fn an_end_under_a_request_is_known_to_all_at_once() {
    let mut model = healthy_fleet();
    for node in [0, 7, 33, 59] {
        model.fault(&FleetFault::Crash(node));
        model.run(Duration::from_millis(100));
        assert_eq!(model.missing_report_count(), 0, "{node}");
    }
}

#[test]
fn an_end_under_a_request_is_known_to_all_while_the_store_answers_nobody() {
    for mode in [StoreMode::Refuses, StoreMode::Silent] {
        let mut model = healthy_fleet();
        model.fault(&FleetFault::Store(mode, 0, ZONES * PER_ZONE, seconds(20)));
        model.run(seconds(5));
        for node in [0, 7, 33, 59] {
            model.fault(&FleetFault::Crash(node));
            model.run(seconds(3));
            assert_eq!(model.missing_report_count(), 0, "{mode:?} {node}");
        }
    }
}

#[test]
fn an_end_seen_by_an_instance_that_the_store_refuses_is_known_to_all() {
    // The first instances of each zone by name are refused; its reader may or may not be one of
    // them.
    for refused in [7, 15, 19] {
        let mut model = healthy_fleet();
        for first in (0..ZONES).map(|zone| zone * PER_ZONE) {
            let until = first + refused;
            let fault = FleetFault::Store(StoreMode::Refuses, first, until, seconds(20));
            model.fault(&fault);
        }
        for node in [0, 3, 26] {
            model.fault(&FleetFault::Crash(node));
            model.run(RECOVERY_TIME);
            assert_eq!(model.missing_report_count(), 0, "{refused} {node}");
        }
    }
}

#[test]
fn a_zone_that_is_cut_off_knows_of_ends_elsewhere_as_soon_as_it_reads_the_store() {
    let mut model = healthy_fleet();
    model.fault(&FleetFault::CutZone(1, seconds(5)));
    model.fault(&FleetFault::Crash(0));
    model.run(seconds(5));
    model.run(seconds(2));
    assert_eq!(model.missing_report_count(), 0);
}

// Guards against instances that pass over all that a restored store says, since its versions are lower than before.
#[test]
fn after_a_restore_of_the_store_everybody_has_news_and_reports() {
    for phase in 0..10 {
        let mut model = healthy_fleet();
        model.fault(&FleetFault::Crash(0));
        model.run(seconds(2) + Duration::from_millis(100) * phase);
        model.fault(&FleetFault::Restore);
        let mut oldest = Duration::ZERO;
        for _ in 0..40 {
            model.run(Duration::from_millis(100));
            oldest = oldest.max(model.oldest_data_age());
        }
        assert!(oldest < MAX_AGE, "{oldest:?}");
        // Whoever starts now reads the reports in the store.
        model.fault(&FleetFault::KillAll);
        model.run(RECOVERY_TIME);
        assert_eq!(model.stored_report_count(), 1);
    }
}

fn fault(per_zone: usize) -> impl Strategy<Value = FleetFault> {
    let any_node = 0..ZONES * per_zone;
    let span = (1..60_u64).prop_map(|tenths| Duration::from_millis(100 * tenths));
    let mode = prop_oneof![
        Just(StoreMode::Refuses),
        Just(StoreMode::Silent),
        Just(StoreMode::Slow),
    ];
    prop_oneof![
        3 => any_node.clone().prop_map(FleetFault::Crash),
        2 => any_node.clone().prop_map(FleetFault::Kill),
        1 => any_node.clone().prop_map(FleetFault::Die),
        1 => Just(FleetFault::KillAll),
        2 => (0..ZONES).prop_map(FleetFault::KillReader),
        2 => (any_node.clone(), span.clone()).prop_map(|(node, span)| FleetFault::Freeze(node, span)),
        2 => (0..ZONES, span.clone()).prop_map(|(zone, span)| FleetFault::CutZone(zone, span)),
        3 => (mode, any_node.clone(), any_node, span)
            .prop_map(|(mode, from, to, span)| FleetFault::Store(mode, from.min(to), from.max(to) + 1, span)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// Versions never go back, which the model asserts at each update. Calls stay within the bound
    /// in each second. Once all faults are over, all instances have current data, and each zone
    /// makes no more calls than its reader does.
    #[test]
    fn news_reach_everybody_and_calls_stay_few(
        faults in prop::collection::vec((fault(PER_ZONE), 0..25_u64), 1..12),
    ) {
        let mut model = healthy_fleet();
        let mut left = Duration::ZERO;
        for (fault, pause) in &faults {
            model.fault(fault);
            left = left.max(fault.span());
            let pause = Duration::from_millis(100 * pause);
            model.run(pause);
            left = left.saturating_sub(pause);
        }
        model.run(left + RECOVERY_TIME);
        prop_assert!(model.oldest_data_age() < Duration::from_millis(1_250), "{:?}", model.oldest_data_age());
        prop_assert_eq!(model.missing_report_count(), 0);
        let most = model.max_calls_per_second();
        prop_assert!(most <= MAX_ZONE_CALLS_PER_SECOND, "{most} calls in a second");
        model.run(seconds(8));
        let before = model.calls.len();
        model.run(seconds(9));
        let calls = model.calls.len() - before;
        prop_assert!(calls <= 12 * ZONES, "{calls} calls in 9 s");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(34),
        ..ProptestConfig::default()
    })]

    /// An instance that the store answers has current data, whatever the instances before it do.
    #[test]
    fn in_small_zones_whoever_the_store_answers_has_news(
        (per_zone, faults) in (2..4_usize).prop_flat_map(|per_zone| {
            (Just(per_zone), prop::collection::vec((fault(per_zone), 0..25_u64), 1..12))
        }),
    ) {
        let mut model = FleetModel::new(ZONES, per_zone);
        model.run(seconds(6));
        let step = Duration::from_millis(50);
        for (fault, pause) in &faults {
            model.fault(fault);
            for _ in 0..2 * pause + 1 {
                model.run(step);
                let oldest = model.oldest_data_age_of_healthy(seconds(3));
                prop_assert!(oldest < MAX_AGE, "{oldest:?}");
            }
        }
        for _ in 0..140 {
            model.run(step);
            let oldest = model.oldest_data_age_of_healthy(seconds(3));
            prop_assert!(oldest < MAX_AGE, "{oldest:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(56),
        ..ProptestConfig::default()
    })]

    /// The same with a store that comes back from older copies between the other faults.
    #[test]
    fn news_reach_everybody_although_the_store_comes_back_older(
        faults in prop::collection::vec((prop_oneof![
            1 => Just(FleetFault::Restore),
            2 => fault(PER_ZONE),
        ], 0..25_u64), 1..12),
    ) {
        let mut model = healthy_fleet();
        let mut left = Duration::ZERO;
        for (fault, pause) in &faults {
            model.fault(fault);
            left = left.max(fault.span());
            let pause = Duration::from_millis(100 * pause);
            model.run(pause);
            left = left.saturating_sub(pause);
        }
        model.run(left + RECOVERY_TIME);
        prop_assert!(model.oldest_data_age() < Duration::from_millis(1_250), "{:?}", model.oldest_data_age());
        prop_assert_eq!(model.missing_report_count(), 0);
        let most = model.max_calls_per_second();
        prop_assert!(most <= MAX_ZONE_CALLS_PER_SECOND, "{most} calls in a second");
    }
}

/// Guards against stale data in zones of two or three instances when the store refuses all their
/// readers at once, at any phase of the period: the remaining instance must supply all three zones.
#[test]
fn in_small_zones_whoever_is_left_takes_the_place_of_the_readers() {
    for per_zone in [2, 3] {
        for phase in 0..10 {
            let mut model = FleetModel::new(ZONES, per_zone);
            model.run(seconds(6) + Duration::from_millis(100) * phase);
            for zone in 0..ZONES {
                for reader in model.readers(zone, 1) {
                    let fault =
                        FleetFault::Store(StoreMode::Refuses, reader, reader + 1, seconds(9));
                    model.fault(&fault);
                }
            }
            let mut oldest = Duration::ZERO;
            for _ in 0..80 {
                model.run(Duration::from_millis(100));
                oldest = oldest.max(model.oldest_data_age());
            }
            // A leaving upstream must get no new work after two seconds.
            assert!(oldest < seconds(2), "{per_zone}, {phase}: {oldest:?}");
        }
    }
}

/// Guards against a requester that never gives up on a silent reader because each new report starts
/// another request: all requests share one timeout.
#[test]
fn reports_of_ended_upstreams_do_not_put_off_leaving_a_silent_reader() {
    for per_zone in [2, 3, 20] {
        for cut in 0..ZONES {
            let mut model = FleetModel::new(ZONES, per_zone);
            model.run(seconds(6));
            model.fault(&FleetFault::CutZone(cut, seconds(6)));
            let mut oldest = Duration::ZERO;
            for round in 0..20 {
                for zone in (0..ZONES).filter(|zone| *zone != cut) {
                    model.fault(&FleetFault::Crash(zone * per_zone + round % per_zone));
                }
                model.run(Duration::from_millis(300));
                for zone in (0..ZONES).filter(|zone| *zone != cut) {
                    oldest = oldest.max(model.oldest_data_age_in(zone));
                }
            }
            // Within two seconds an edit must take effect, and a leaving upstream must get no new
            // work.
            assert!(oldest < seconds(2), "{per_zone}, {cut}: {oldest:?}");
        }
    }
}

/// Guards against requests in a tight loop while the reader has only old data.
#[test]
fn old_news_are_not_asked_for_again_at_once() {
    for mode in [StoreMode::Refuses, StoreMode::Silent] {
        for per_zone in [2, 3, 20] {
            let mut model = FleetModel::new(ZONES, per_zone);
            model.run(seconds(6));
            let all = ZONES * per_zone;
            model.fault(&FleetFault::Store(mode, 0, all, seconds(6)));
            for _ in 0..12 {
                let before = model.requests;
                model.run(Duration::from_millis(500));
                let asked = model.requests - before;
                assert!(asked <= 6 * all, "{mode:?} {per_zone}: {asked} in 0.5 s");
            }
        }
    }
}

/// Guards against a burst of calls when a reader dies while the store is silent: the instances that
/// turn to the next one must not each read the store.
#[test]
fn the_death_of_a_reader_while_the_store_is_silent_brings_no_herd() {
    let mut model = healthy_fleet();
    let span = Duration::from_millis(1_400);
    model.fault(&FleetFault::Store(StoreMode::Silent, 0, 39, span));
    model.fault(&FleetFault::KillReader(1));
    model.run(span + RECOVERY_TIME);
    let most = model.max_calls_per_second();
    assert!(
        most <= MAX_ZONE_CALLS_PER_SECOND,
        "{most} calls in a second"
    );
}

/// Guards against holding back newer data: a standby that returns to its reader must not wait for
/// the reader's next read.
#[test]
fn newer_news_are_not_held_back() {
    let mut model = healthy_fleet();
    let span = Duration::from_millis(2_700);
    model.fault(&FleetFault::Store(StoreMode::Silent, 0, 31, span));
    model.run(span + RECOVERY_TIME);
    let oldest = model.oldest_data_age();
    assert!(oldest < Duration::from_millis(1_250), "{oldest:?}");
}
