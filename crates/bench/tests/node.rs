//! The parts of `bench node` that have no need of a long run.

use {
    bench::node::{LineFit, ProcessUsage, SlopePoint, SlopeSeries, member_fleet::MemberFleet},
    peer::MemberSettings,
    std::time::Duration,
};

#[test]
fn a_line_goes_through_points_that_lie_on_one() {
    let fit = LineFit::new(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.base - 3.0).abs() < 1e-9);
    assert!(fit.error < 1e-9);
}

#[test]
fn one_size_gives_no_line() {
    assert_eq!(LineFit::new(&[(1.0, 5.0), (1.0, 7.0)]), None);
    assert_eq!(LineFit::new(&[]), None);
}

#[test]
fn a_series_has_a_line_for_each_value() {
    let points = vec![
        SlopePoint::new(1.0, [("bytes", 10.0)]),
        SlopePoint::new(2.0, [("bytes", 20.0)]),
    ];
    let series = SlopeSeries::new("links", "members", points);
    assert!((series.fits["bytes"].slope - 10.0).abs() < 1e-9);
}

#[test]
fn a_fleet_hears_itself_and_takes_an_edit() {
    let mut fleet = MemberFleet::new(30, 2, &MemberSettings::default());
    fleet.begin();
    fleet.run(Duration::from_secs(20));
    fleet.edit(3);
    fleet.run(Duration::from_secs(2));
    for index in 0..fleet.len() {
        assert_eq!(fleet.core(index).heard().count(), 30);
        assert_eq!(fleet.core(index).table().version, 1);
    }
    assert!(fleet.counts.bytes > 0);
}

#[test]
fn a_process_uses_memory() {
    assert!(ProcessUsage::now().resident > 0);
}
