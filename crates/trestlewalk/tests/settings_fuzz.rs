//! Settings of any content are read or refused without a panic, and faults name existing lines.

use {
    proptest::{prelude::*, sample::Index, test_runner::RngSeed},
    std::{fs, path::PathBuf},
    trestlewalk::settings::{FaultPlace, SettingOverride, SettingsFault, parse_settings},
};

const CASES: u32 = 400;
const EXAMPLE: &str = "../../settings/gijon-1.yaml";
const SEED: u64 = 20_261_202;

/// One mutation of a line of the example settings.
#[derive(Clone, Debug)]
enum LineChange {
    Truncate(Index),
    Duplicate,
    Remove,
    Indent,
    Insert(Index, char),
    Value(String),
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn change() -> impl Strategy<Value = LineChange> {
    prop_oneof![
        any::<Index>().prop_map(LineChange::Truncate),
        Just(LineChange::Duplicate),
        Just(LineChange::Remove),
        Just(LineChange::Indent),
        (any::<Index>(), any::<char>()).prop_map(|(at, char)| LineChange::Insert(at, char)),
        value().prop_map(LineChange::Value),
    ]
}

fn value() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("[]".to_owned()),
        Just("{a: 1}".to_owned()),
        Just("~".to_owned()),
        Just("-1".to_owned()),
        Just("1e400".to_owned()),
        Just("99999999999999999999".to_owned()),
        Just("*alias".to_owned()),
        Just("18446744073709551615GiB".to_owned()),
        "[0-9]{1,30}(ms|s|min|y|B|GiB)",
        "\\PC{0,20}",
    ]
}

fn example() -> Vec<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(EXAMPLE);
    let text = fs::read_to_string(path).unwrap();
    text.lines().map(str::to_owned).collect()
}

fn apply(lines: &mut Vec<String>, at: Index, change: LineChange) {
    if lines.is_empty() {
        return;
    }
    let number = at.index(lines.len());
    let line = lines[number].clone();
    let char_start = |index: Index| {
        let starts: Vec<usize> = line.char_indices().map(|(start, _)| start).collect();
        if starts.is_empty() {
            return 0;
        }
        starts[index.index(starts.len())]
    };
    match change {
        LineChange::Truncate(index) => lines[number].truncate(char_start(index)),
        LineChange::Duplicate => lines.insert(number, line.clone()),
        LineChange::Remove => {
            lines.remove(number);
        }
        LineChange::Indent => lines[number].insert_str(0, "  "),
        LineChange::Insert(index, char) => lines[number].insert(char_start(index), char),
        LineChange::Value(value) => {
            let key = line.split_inclusive(": ").next().unwrap_or_default();
            lines[number] = format!("{key}{value}");
        }
    }
}

fn check_fault_lines(content: &[u8], faults: &[SettingsFault]) -> Result<(), TestCaseError> {
    let line_breaks = content.iter().filter(|byte| **byte == b'\n').count();
    let last_line = u64::try_from(line_breaks + 1).unwrap();
    prop_assert!(!faults.is_empty());
    for fault in faults {
        if let FaultPlace::Line(line) = fault.place {
            prop_assert!(line <= last_line, "{} of {last_line} lines", fault);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_refused(content in prop::collection::vec(any::<u8>(), 0..200)) {
        let faults = parse_settings("a.yaml", &content, Vec::new()).unwrap_err();
        check_fault_lines(&content, &faults)?;
    }

    #[test]
    fn a_changed_example_is_read_or_refused(
        changes in prop::collection::vec((any::<Index>(), change()), 1..6),
    ) {
        let mut lines = example();
        for (at, change) in changes {
            apply(&mut lines, at, change);
        }
        let text = lines.join("\n");
        if let Err(faults) = parse_settings("a.yaml", text.as_bytes(), Vec::new()) {
            check_fault_lines(text.as_bytes(), &faults)?;
        }
    }

    #[test]
    fn any_override_is_read_or_refused(field in "[a-z_.]{0,20}", value in value()) {
        let Ok(setting) = format!("{field}={value}").parse::<SettingOverride>() else {
            return Ok(());
        };
        let content = example().join("\n");
        let _ = parse_settings("a.yaml", content.as_bytes(), vec![setting]);
    }

    #[test]
    fn sound_settings_read_again_are_the_same(
        changes in prop::collection::vec((any::<Index>(), change()), 0..3),
    ) {
        let mut lines = example();
        for (at, change) in changes {
            apply(&mut lines, at, change);
        }
        let Ok(settings) = parse_settings("a.yaml", lines.join("\n").as_bytes(), Vec::new()) else {
            return Ok(());
        };
        let text = serde_json::to_string(&settings).unwrap();
        let again = parse_settings("b.yaml", text.as_bytes(), Vec::new());
        prop_assert_eq!(again, Ok(settings));
    }
}
