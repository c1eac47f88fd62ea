//! Decisions are free of network access, clocks and tasks.

use std::{
    fs,
    path::{Path, PathBuf},
};

const MANIFEST: &str = include_str!("../Cargo.toml");

#[test]
fn the_manifest_names_no_library_for_networks_or_tasks() {
    let section = MANIFEST.split("[dependencies]").nth(1).unwrap();
    let section = section.split("[dev-dependencies]").next().unwrap();
    for line in section.lines() {
        let name = line.split(['.', ' ', '=']).next().unwrap();
        let is_network = ["tokio", "hyper", "quinn", "http", "socket"]
            .iter()
            .any(|library| name.starts_with(library));
        assert!(!is_network, "{line}");
    }
}

/// The source files in a folder and those below it.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => files.extend(sources(&path)),
            false => files.push(path),
        }
    }
    files
}

#[test]
fn no_decision_reads_a_clock() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for path in sources(&folder) {
        let text = fs::read_to_string(&path).unwrap();
        for clock in ["Instant::now", "SystemTime::now"] {
            assert!(!text.contains(clock), "{clock} in {}", path.display());
        }
    }
}
