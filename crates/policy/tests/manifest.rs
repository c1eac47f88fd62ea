//! Decisions are free of network access, clocks and tasks.

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

#[test]
fn no_decision_reads_a_clock() {
    let sources = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
    for file in std::fs::read_dir(sources).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        for clock in ["Instant::now", "SystemTime::now"] {
            assert!(!text.contains(clock), "{clock} in {}", path.display());
        }
    }
}
