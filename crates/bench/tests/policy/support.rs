//! Scenarios of the repository, cut short.

use {
    bench::scenario::scenario_file::ScenarioFile,
    std::{
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// Every scenario of the repository.
pub(crate) const NAMES: [&str; 8] = [
    "batimetria",
    "burst",
    "cancels",
    "deaths",
    "krasns",
    "overload",
    "stale",
    "uneven",
];

/// Where a scenario's file is.
pub(crate) fn path(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    root.join(format!("{name}.yaml"))
}

/// A scenario whose arrivals end after `seconds`.
pub(crate) fn short(name: &str, seconds: u64) -> Arc<ScenarioFile> {
    let mut file = ScenarioFile::load(&path(name)).unwrap();
    file.duration = Duration::from_secs(seconds);
    file.day.clear();
    Arc::new(file)
}
