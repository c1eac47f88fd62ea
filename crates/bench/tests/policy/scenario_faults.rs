use {
    crate::support::{NAMES, path},
    bench::scenario::scenario_file::ScenarioFile,
    std::path::Path,
};

/// A faulty version of a scenario, and what is said of it.
struct FaultCase {
    text: String,
}

impl FaultCase {
    fn new() -> Self {
        let text = std::fs::read_to_string(path("deaths")).unwrap();
        Self { text }
    }

    fn with(mut self, old: &str, new: &str) -> Self {
        assert!(self.text.contains(old), "{old}");
        self.text = self.text.replacen(old, new, 1);
        self
    }

    fn says(self, words: &[&str]) {
        let parsed = ScenarioFile::parse(Path::new("some.yaml"), &self.text);
        let message = parsed.unwrap_err().to_string();
        for word in words.iter().chain(&["some.yaml"]) {
            assert!(message.contains(word), "`{word}` is not in: {message}");
        }
    }
}

#[test]
fn the_scenarios_of_the_repository_have_no_faults() {
    for name in NAMES {
        ScenarioFile::load(&path(name)).unwrap();
    }
}

#[test]
fn an_unknown_field_is_named_with_its_line() {
    FaultCase::new()
        .with("entries: 3", "entrys: 3")
        .says(&["entrys", "line"]);
}

#[test]
fn a_missing_field_is_named() {
    FaultCase::new().with("load: 0.7\n", "").says(&["load"]);
}

#[test]
fn a_time_without_a_unit_is_refused() {
    FaultCase::new()
        .with("drain: 60s", "drain: 60")
        .says(&["60"]);
}

#[test]
fn every_bad_value_is_named_with_its_field() {
    FaultCase::new()
        .with("load: 0.7", "load: 0")
        .with("share: 60", "share: -1")
        .with("sigma: 0.5", "sigma: -1")
        .says(&[
            "field `load`",
            "field `rows[0].share`",
            "field `rows[0].prompt`",
        ]);
}

#[test]
fn a_fault_needs_an_engine_that_exists() {
    FaultCase::new()
        .with("engine: decode-1", "engine: decode-7")
        .says(&["field `faults[0]`", "names no engine"]);
}

#[test]
fn two_rows_of_one_name_are_refused() {
    FaultCase::new()
        .with("work: assistant", "work: confirmation")
        .says(&["field `rows[1].work`", "twice"]);
}
