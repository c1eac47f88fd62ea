//! Checks that the stand-ins' page documents every setting, fault and counter.

use {
    fake::{
        EngineCounters, EngineFaults, EngineSettings, PlatformCounters, PlatformFaults,
        PlatformSettings, ServiceCounters, ServiceFaults, ServiceSettings,
    },
    serde::Serialize,
};

const PAGE: &str = include_str!("../../../docs/STANDINS.md");

/// Asserts that the section under a heading names each field in backticks.
fn assert_named<T: Default + Serialize>(heading: &str) {
    let start = PAGE.find(&format!("\n## {heading}\n")).unwrap();
    let part = &PAGE[start + 1..];
    let end = part.find("\n## ").unwrap_or(part.len());
    let value = serde_json::to_value(T::default()).unwrap();
    for field in value.as_object().unwrap().keys() {
        let name = format!("`{field}`");
        assert!(part[..end].contains(&name), "{heading} lacks {name}");
    }
}

#[test]
fn the_page_names_every_field() {
    assert_named::<PlatformSettings>("Platform");
    assert_named::<PlatformFaults>("Platform");
    assert_named::<PlatformCounters>("Platform");
    assert_named::<EngineSettings>("Model engine");
    assert_named::<EngineFaults>("Model engine");
    assert_named::<EngineCounters>("Model engine");
    assert_named::<ServiceSettings>("Plain service");
    assert_named::<ServiceFaults>("Plain service");
    assert_named::<ServiceCounters>("Plain service");
}
