//! Sixty instances of three zones in virtual time, with the store and the links between them misbehaving at random.
//!
//! Pattern of load: control traffic of a large number of instances while the store refuses, is silent or slow, and while
//! many or all start together.

mod fleet_model;

use {
    fleet_model::{FleetFault, FleetModel, StoreMode},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
};

const ZONES: usize = 3;
const EACH: usize = 20;
/// Calls to the store that a zone makes in any second, at most: the reader's own in its period, one probe, the tries of
/// early readers and of standbys. The start of all adds one question each to the directory, which the model has not.
const CALLS_A_ZONE_AND_SECOND: usize = 12;
/// How old the news of an instance may be that the store answers: an edit has to be in force after 2 s, and a reading of the
/// routes follows that of the list.
const NEWS_BOUND: Duration = Duration::from_millis(1_800);
/// From the end of all faults until everybody has news again.
const SETTLED: Duration = Duration::from_secs(4);

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

fn calm() -> FleetModel {
    let mut model = FleetModel::new(ZONES, EACH);
    model.run(seconds(6));
    model
}

#[test]
fn in_calm_times_one_instance_of_all_reads_in_its_period() {
    let mut model = calm();
    let before = model.calls.len();
    model.run(seconds(9));
    assert_eq!(model.calls.len() - before, 10);
    assert!(model.oldest_news() < Duration::from_millis(1_250));
}

#[test]
fn when_all_start_together_few_of_a_zone_read_the_store() {
    let mut model = calm();
    let before = model.calls.len();
    model.fault(&FleetFault::KillAll);
    model.run(seconds(2));
    assert!(
        model.calls.len() - before <= ZONES * 8,
        "{}",
        model.calls.len() - before
    );
    assert!(model.oldest_news() < Duration::from_millis(1_250));
}

#[test]
fn a_store_that_answers_nobody_is_probed_by_few_of_a_zone() {
    for mode in [StoreMode::Refuses, StoreMode::Silent] {
        let mut model = calm();
        let before = model.calls.len();
        model.fault(&FleetFault::Store(mode, 0, ZONES * EACH, seconds(9)));
        model.run(seconds(9));
        let calls = model.calls.len() - before;
        assert!(calls <= ZONES * 9 * 4, "{mode:?}: {calls}");
        model.run(SETTLED);
        assert!(
            model.oldest_news() < Duration::from_millis(1_250),
            "{mode:?}"
        );
    }
}

#[test]
fn while_the_store_answers_some_everybody_has_news() {
    // Each zone's first fifteen by name are refused; who reads for it is among them or not.
    for refused in [7, 15, 19] {
        let mut model = calm();
        let ranges = (0..ZONES).map(|zone| zone * EACH);
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
                model.oldest_news() < seconds(4),
                "{refused}: {:?}",
                model.oldest_news()
            );
        }
    }
}

#[test]
fn when_the_store_refuses_the_readers_of_all_zones_others_take_their_place() {
    // The reader of each zone, and those after it in the order, so many of each.
    for refused in [1, 2] {
        let mut model = calm();
        for zone in 0..ZONES {
            for reader in model.readers(zone, refused) {
                let fault = FleetFault::Store(StoreMode::Refuses, reader, reader + 1, seconds(9));
                model.fault(&fault);
            }
        }
        let mut oldest = Duration::ZERO;
        for _ in 0..80 {
            model.run(Duration::from_millis(100));
            oldest = oldest.max(model.oldest_news());
        }
        // An upstream that leaves gets no new work after two seconds; each further reader that is refused costs a standby's
        // turn.
        let most = Duration::from_millis(1_500) + Duration::from_millis(500) * refused as u32;
        assert!(oldest < most, "{refused}: {oldest:?}");
    }
}

#[test]
fn a_zone_whose_instances_are_all_refused_goes_on_by_the_readings_of_others() {
    let mut model = calm();
    model.fault(&FleetFault::Store(StoreMode::Refuses, 0, EACH, seconds(9)));
    for _ in 0..8 {
        model.run(seconds(1));
        assert!(
            model.oldest_news() < Duration::from_millis(2_400),
            "{:?}",
            model.oldest_news()
        );
    }
}

#[test]
fn a_zone_has_news_soon_after_its_reader_died() {
    let mut model = calm();
    for dead in 0..4 {
        let reader = model.reader(0);
        model.fault(&FleetFault::Die(reader));
        model.run(Duration::from_millis(2_100));
        assert!(
            model.oldest_news() < Duration::from_millis(2_100),
            "{dead}: {:?}",
            model.oldest_news()
        );
        model.run(seconds(3));
        assert!(model.oldest_news() < Duration::from_millis(1_250), "{dead}");
    }
}

#[test]
fn an_end_under_a_request_is_known_to_all_at_once() {
    let mut model = calm();
    for node in [0, 7, 33, 59] {
        model.fault(&FleetFault::End(node));
        model.run(Duration::from_millis(100));
        assert_eq!(model.uninformed(), 0, "{node}");
    }
}

#[test]
fn an_end_under_a_request_is_known_to_all_while_the_store_answers_nobody() {
    for mode in [StoreMode::Refuses, StoreMode::Silent] {
        let mut model = calm();
        model.fault(&FleetFault::Store(mode, 0, ZONES * EACH, seconds(20)));
        model.run(seconds(5));
        for node in [0, 7, 33, 59] {
            model.fault(&FleetFault::End(node));
            model.run(seconds(3));
            assert_eq!(model.uninformed(), 0, "{mode:?} {node}");
        }
    }
}

#[test]
fn an_end_seen_by_an_instance_that_the_store_refuses_is_known_to_all() {
    // Each zone's first ones by name are refused; who reads for it is among them or not.
    for refused in [7, 15, 19] {
        let mut model = calm();
        for first in (0..ZONES).map(|zone| zone * EACH) {
            let until = first + refused;
            let fault = FleetFault::Store(StoreMode::Refuses, first, until, seconds(20));
            model.fault(&fault);
        }
        for node in [0, 3, 26] {
            model.fault(&FleetFault::End(node));
            model.run(SETTLED);
            assert_eq!(model.uninformed(), 0, "{refused} {node}");
        }
    }
}

#[test]
fn a_zone_that_is_cut_off_knows_of_ends_elsewhere_as_soon_as_it_reads_the_store() {
    let mut model = calm();
    model.fault(&FleetFault::CutZone(1, seconds(5)));
    model.fault(&FleetFault::End(0));
    model.run(seconds(5));
    model.run(seconds(2));
    assert_eq!(model.uninformed(), 0);
}

fn fault(each: usize) -> impl Strategy<Value = FleetFault> {
    let any_node = 0..ZONES * each;
    let span = (1..60_u64).prop_map(|tenths| Duration::from_millis(100 * tenths));
    let mode = prop_oneof![
        Just(StoreMode::Refuses),
        Just(StoreMode::Silent),
        Just(StoreMode::Slow),
    ];
    prop_oneof![
        3 => any_node.clone().prop_map(FleetFault::End),
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

    /// Versions never go back (the model asserts it at each reading); calls stay under the bound in each second; once all is
    /// well everybody has news, and each zone makes no more calls than its reader.
    #[test]
    fn news_reach_everybody_and_calls_stay_few(
        faults in prop::collection::vec((fault(EACH), 0..25_u64), 1..12),
    ) {
        let mut model = calm();
        let mut left = Duration::ZERO;
        for (fault, pause) in &faults {
            model.fault(fault);
            left = left.max(fault.span());
            let pause = Duration::from_millis(100 * pause);
            model.run(pause);
            left = left.saturating_sub(pause);
        }
        model.run(left + SETTLED);
        prop_assert!(model.oldest_news() < Duration::from_millis(1_250), "{:?}", model.oldest_news());
        prop_assert_eq!(model.uninformed(), 0);
        let most = model.most_calls_a_second();
        prop_assert!(most <= CALLS_A_ZONE_AND_SECOND, "{most} calls in a second");
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

    /// An instance that the store answers has new news, whatever those before it do.
    #[test]
    fn in_small_zones_whoever_the_store_answers_has_news(
        (each, faults) in (2..4_usize).prop_flat_map(|each| {
            (Just(each), prop::collection::vec((fault(each), 0..25_u64), 1..12))
        }),
    ) {
        let mut model = FleetModel::new(ZONES, each);
        model.run(seconds(6));
        let step = Duration::from_millis(50);
        for (fault, pause) in &faults {
            model.fault(fault);
            for _ in 0..2 * pause + 1 {
                model.run(step);
                let oldest = model.oldest_news_of_well(seconds(3));
                prop_assert!(oldest < NEWS_BOUND, "{oldest:?}");
            }
        }
        for _ in 0..140 {
            model.run(step);
            let oldest = model.oldest_news_of_well(seconds(3));
            prop_assert!(oldest < NEWS_BOUND, "{oldest:?}");
        }
    }
}

/// Zones of two or three instances, whose readers the store refuses all at once: the one that is left has to keep all three
/// zones in news, whenever in its period that begins.
#[test]
fn in_small_zones_whoever_is_left_takes_the_place_of_the_readers() {
    for each in [2, 3] {
        for phase in 0..10 {
            let mut model = FleetModel::new(ZONES, each);
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
                oldest = oldest.max(model.oldest_news());
            }
            // An upstream that leaves gets no new work after two seconds.
            assert!(oldest < seconds(2), "{each}, {phase}: {oldest:?}");
        }
    }
}

/// A silent reader is left within the time of one question, however often the asker has something else to tell it.
#[test]
fn reports_of_ended_upstreams_do_not_put_off_leaving_a_silent_reader() {
    for each in [2, 3, 20] {
        for cut in 0..ZONES {
            let mut model = FleetModel::new(ZONES, each);
            model.run(seconds(6));
            model.fault(&FleetFault::CutZone(cut, seconds(6)));
            let mut oldest = Duration::ZERO;
            for round in 0..20 {
                for zone in (0..ZONES).filter(|zone| *zone != cut) {
                    model.fault(&FleetFault::End(zone * each + round % each));
                }
                model.run(Duration::from_millis(300));
                for zone in (0..ZONES).filter(|zone| *zone != cut) {
                    oldest = oldest.max(model.oldest_news_in(zone));
                }
            }
            // An edit is in force after two seconds, and an upstream that leaves gets no new work.
            assert!(oldest < seconds(2), "{each}, {cut}: {oldest:?}");
        }
    }
}

/// While its reader has old news alone, an instance does not ask for them again and again.
#[test]
fn old_news_are_not_asked_for_again_at_once() {
    for mode in [StoreMode::Refuses, StoreMode::Silent] {
        for each in [2, 3, 20] {
            let mut model = FleetModel::new(ZONES, each);
            model.run(seconds(6));
            let all = ZONES * each;
            model.fault(&FleetFault::Store(mode, 0, all, seconds(6)));
            for _ in 0..12 {
                let before = model.questions;
                model.run(Duration::from_millis(500));
                let asked = model.questions - before;
                assert!(asked <= 6 * all, "{mode:?} {each}: {asked} in 0.5 s");
            }
        }
    }
}

/// A reader dies while the store is silent: those that ask the next one do not each read the store.
#[test]
fn the_death_of_a_reader_while_the_store_is_silent_brings_no_herd() {
    let mut model = calm();
    let span = Duration::from_millis(1_400);
    model.fault(&FleetFault::Store(StoreMode::Silent, 0, 39, span));
    model.fault(&FleetFault::KillReader(1));
    model.run(span + SETTLED);
    let most = model.most_calls_a_second();
    assert!(most <= CALLS_A_ZONE_AND_SECOND, "{most} calls in a second");
}

/// A standby goes back to its reader, which has newer news: it does not wait for the next ones.
#[test]
fn newer_news_are_not_held_back() {
    let mut model = calm();
    let span = Duration::from_millis(2_700);
    model.fault(&FleetFault::Store(StoreMode::Silent, 0, 31, span));
    model.run(span + SETTLED);
    let oldest = model.oldest_news();
    assert!(oldest < Duration::from_millis(1_250), "{oldest:?}");
}
