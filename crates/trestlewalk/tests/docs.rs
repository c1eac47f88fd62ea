//! The pages under `docs` match the code.

mod support;

use {
    kernel::{LockRank, ResultCode},
    serde_json::Value,
    std::{collections::BTreeMap, fs, path::PathBuf},
    support::Test,
    trestlewalk::{
        EntrySettings, exit_code,
        settings::{PeerSettings, TestKeys, UpstreamSettings, parse_settings},
    },
};

const EXAMPLE: &str = "settings/gijon-1.yaml";

#[test]
fn the_codes_page_lists_every_result_code() {
    let mut expected = Vec::new();
    for code in ResultCode::ALL {
        expected.push(format!(
            "| {} | {code:?} | {} | {} | {} |",
            code.number(),
            code.status(),
            exit_code::of(*code),
            code.text()
        ));
    }
    assert_eq!(table_rows("docs/CODES.md", "| code |"), expected);
}

#[test]
fn exit_codes_stay_clear_of_those_without_a_result_code() {
    for code in ResultCode::ALL {
        let exit = exit_code::of(*code);
        assert!(exit == 0 || exit > exit_code::USAGE_FAULT, "{code:?}");
        assert_eq!(exit == 0, *code == ResultCode::Answered, "{code:?}");
    }
}

#[test]
fn the_locks_page_lists_every_rank_in_rising_order() {
    let mut expected = Vec::new();
    for rank in LockRank::ALL {
        expected.push(format!(
            "| {} | {rank:?} | {} |",
            rank.number(),
            rank.text()
        ));
    }
    assert_eq!(table_rows("docs/LOCKS.md", "| rank |"), expected);
    assert!(LockRank::ALL.is_sorted());
}

#[test]
fn the_settings_page_lists_every_field_with_its_default() {
    let mut documented = BTreeMap::new();
    for row in table_rows("docs/SETTINGS.md", "| field |") {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        documented.insert(
            cells[0].trim_matches('`').to_owned(),
            cells[2].trim_matches('`').to_owned(),
        );
    }
    let mut expected = BTreeMap::new();
    flatten("", &all_fields(), &mut expected);
    let fields: Vec<&String> = documented.keys().collect();
    assert_eq!(fields, expected.keys().collect::<Vec<_>>());
    for (field, default) in &documented {
        if ["none", "required"].contains(&default.as_str()) {
            continue;
        }
        assert_eq!(default, &expected[field], "{field}");
    }
}

#[test]
fn the_example_settings_have_no_faults() {
    let content = fs::read(root().join(EXAMPLE)).unwrap();
    Test::new()
        .file("gijon-1.yaml", content)
        .args(["check", "gijon-1.yaml"])
        .stdout_has("no faults in the settings of instance gijon-1 in availability zone gijon")
        .run();
}

#[test]
fn the_example_settings_give_every_field_but_inline_keys() {
    let content = fs::read(root().join(EXAMPLE)).unwrap();
    let settings = parse_settings(EXAMPLE, &content, Vec::new()).unwrap();
    let mut given = BTreeMap::new();
    flatten("", &serde_json::to_value(&settings).unwrap(), &mut given);
    let mut expected = BTreeMap::new();
    flatten("", &all_fields(), &mut expected);
    expected.retain(|field, _| {
        !field.starts_with("keys.test") && !field.starts_with("defaults.services")
    });
    for field in expected.keys() {
        assert_ne!(
            given.get(field).map(String::as_str),
            Some("null"),
            "{field}"
        );
        assert!(given.contains_key(field), "{field}");
    }
}

/// The default settings with one item in each list.
fn all_fields() -> Value {
    let mut settings = EntrySettings::default();
    settings
        .defaults
        .services
        .insert("NAME".into(), "WORK".into());
    settings.keys.test = Some(TestKeys::default());
    settings.peers.push(PeerSettings::default());
    settings.upstreams.push(UpstreamSettings::default());
    serde_json::to_value(settings).unwrap()
}

/// Collects the path and value of each field; all items of a list share one path, and a set value replaces `null`.
fn flatten(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Array(items) => {
            for item in items {
                flatten(&format!("{path}[]"), item, fields);
            }
        }
        Value::Object(entries) if entries.is_empty() => {
            fields.insert(path.to_owned(), "{}".to_owned());
        }
        Value::Object(entries) => {
            for (key, value) in entries {
                let path = format!("{path}.{key}");
                flatten(path.trim_start_matches('.'), value, fields);
            }
        }
        Value::Null => {
            fields.entry(path.to_owned()).or_insert("null".to_owned());
        }
        Value::String(text) => {
            fields.insert(path.to_owned(), text.clone());
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The rows of all tables of a page whose heading starts with `heading`.
fn table_rows(page: &str, heading: &str) -> Vec<String> {
    let text = fs::read_to_string(root().join(page)).unwrap();
    let mut rows = Vec::new();
    let mut inside = false;
    for line in text.lines() {
        inside = line.starts_with(heading) || inside && line.starts_with('|');
        if inside && !line.starts_with(heading) && !line.starts_with("|---") {
            rows.push(line.to_owned());
        }
    }
    rows
}

#[test]
fn the_relay_page_lists_every_field_of_its_settings() {
    let mut documented = Vec::new();
    for row in table_rows("docs/RELAY.md", "| field |") {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        let default = cells[2].trim_matches('`').to_owned();
        documented.push((cells[0].trim_matches('`').to_owned(), default));
    }
    documented.sort();
    let settings = serde_json::to_value(trestlewalk::settings::RelayFile::default()).unwrap();
    let mut expected = BTreeMap::new();
    flatten("", &settings, &mut expected);
    let fields: Vec<&String> = documented.iter().map(|(field, _)| field).collect();
    assert_eq!(fields, expected.keys().collect::<Vec<_>>());
    for (field, default) in &documented {
        if ["none", "required"].contains(&default.as_str()) {
            continue;
        }
        assert_eq!(default, &expected[field], "{field}");
    }
}

#[test]
fn the_template_of_the_deploy_file_makes_settings_without_faults() {
    let template = fs::read_to_string(root().join("deploy/relay.yaml")).unwrap();
    let filled = [
        ("{{Node|json}}", "\"front-gijon-1\""),
        ("{{Zone|json}}", "\"gijon\""),
        ("{{Region|json}}", "\"cantabrico\""),
        (
            "{{#Bootstrap}}true{{/Bootstrap}}{{^Bootstrap}}false{{/Bootstrap}}",
            "true",
        ),
        (
            "{{#Bounds.QuotaWindowS}}{{Bounds.QuotaOverage}}{{/Bounds.QuotaWindowS}}{{^Bounds.QuotaWindowS}}0{{/Bounds.QuotaWindowS}}",
            "0.1",
        ),
        (
            "{{#Bounds.QuotaWindowS}}{{Bounds.QuotaSlack}}{{/Bounds.QuotaWindowS}}{{^Bounds.QuotaWindowS}}0{{/Bounds.QuotaWindowS}}",
            "140000",
        ),
        (
            "{{#Bounds.QuotaWindowS}}{{Bounds.QuotaWindowS}}{{/Bounds.QuotaWindowS}}{{^Bounds.QuotaWindowS}}1{{/Bounds.QuotaWindowS}}",
            "8",
        ),
        (
            "{{#Bounds.StrictRevoke}}{{Bounds.RevokeMs}}ms{{/Bounds.StrictRevoke}}{{^Bounds.StrictRevoke}}null{{/Bounds.StrictRevoke}}",
            "5000ms",
        ),
        (
            "{{#HeartbeatMs}}{{HeartbeatMs}}ms{{/HeartbeatMs}}{{^HeartbeatMs}}1s{{/HeartbeatMs}}",
            "1200ms",
        ),
        ("{{Listen.Ready|json}}", "\"10.1.0.38:8141\""),
        ("{{Listen.Front|json}}", "\"10.1.0.38:8149\""),
        ("{{Ip}}", "10.1.0.38"),
        ("{{Limits.CpuShare}}", "0.25"),
        ("{{Limits.LinkMbps}}", "1000.0"),
        ("{{Limits.MemoryMb}}", "110"),
        ("{{Zones|json}}", "{\"gijon\": \"cantabrico\", \"santander\": \"cantabrico\"}"),
        ("{{PortRange.0}}", "7380"),
        ("{{Provider.Address|json}}", "\"10.200.1.7:8142\""),
        (
            "{{#Bounds.GraceS}}{{Bounds.GraceS}}s{{/Bounds.GraceS}}{{^Bounds.GraceS}}8s{{/Bounds.GraceS}}",
            "7.5s",
        ),
        ("{{Bounds.RequireFence}}", "true"),
        ("{{Bounds.LeaseMs}}", "3000"),
        ("{{Bounds.BudgetRatio}}", "0.2"),
        ("{{Bounds.BudgetSlack}}", "58"),
        ("{{Bounds.BudgetWindowS}}", "10"),
        (
            "{{#Zones}}\"{{@}}\"{{,}}{{/Zones}}",
            "\"gijon\",\"santander\",\"ferrol\"",
        ),
    ]
    .into_iter()
    .fold(template, |text, (name, value)| text.replace(name, value));
    assert!(!filled.contains("{{"), "{filled}");
    Test::new()
        .file("front.yaml", filled)
        .args(["check", "--relay", "front.yaml"])
        .stdout_has(
            "no faults in the settings of instance front-gijon-1 in availability zone gijon",
        )
        .run();
}
