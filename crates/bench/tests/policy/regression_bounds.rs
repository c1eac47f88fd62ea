use {
    crate::support::{NAMES, short},
    bench::{
        bounds::{bounds_file::BoundsFile, measure_bound::MeasureBound, measure_name::MeasureName},
        policy_command::compare,
        policy_run::PolicyName,
    },
    std::path::Path,
};

fn bound(at_least: Option<f64>, at_most: Option<f64>) -> MeasureBound {
    MeasureBound {
        at_least,
        at_most,
        measure: MeasureName::GoodputShare,
        of: None,
        policy: PolicyName::Reserve,
        row: None,
    }
}

#[test]
fn the_bounds_of_the_repository_have_no_faults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../bench-bounds.yaml");
    let file = BoundsFile::load(&path).unwrap();
    assert_eq!(file.scenarios.len(), NAMES.len());
}

#[test]
fn a_bound_holds_or_fails_by_the_figure() {
    let file = short("krasns", 10);
    let reports = compare(&file, &[PolicyName::Reserve], 1, 1);
    let figure = reports[0].mean().goodput_share;
    assert!(bound(Some(figure), Some(figure)).check(&reports).holds);
    assert!(!bound(Some(figure + 1e-6), None).check(&reports).holds);
    assert!(!bound(None, Some(figure - 1e-6)).check(&reports).holds);
}

#[test]
fn a_bound_without_a_figure_fails() {
    let reports = compare(&short("krasns", 2), &[PolicyName::Naive], 1, 1);
    assert!(!bound(Some(0.0), None).check(&reports).holds);
}
