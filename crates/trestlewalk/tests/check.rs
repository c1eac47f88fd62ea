//! `trestlewalk check` with valid and invalid settings and tables.

mod support;

use support::Test;

/// Settings with only the required fields.
const MINIMAL_SETTINGS: &str = "\
instance: gijon-1
zone: gijon
platform: {address: \"127.0.0.1:6100\"}
keys: {authority: a.pem, certificate: c.pem, key: k.key}
";
const FAULTS_LINE: &str = "error 5001: the settings have faults\n";
const INVALID_STATUS: i32 = 51;

#[test]
fn settings_with_the_required_fields_alone_have_no_faults() {
    check(MINIMAL_SETTINGS)
        .stdout(
            "a.yaml: no faults in the settings of instance gijon-1 in availability zone gijon\n",
        )
        .run();
}

#[test]
fn every_fault_is_told_with_its_line_and_field_in_one_go() {
    check(concat!(
        "instance: gijon 1\n",
        "zone: gijon\n",
        "nonsense: 1\n",
        "platform: {address: \"127.0.0.1:6100\"}\n",
        "keys: {authority: a.pem, certificate: c.pem, key: k.key}\n",
        "limits:\n",
        "  body: 4 MB\n",
        "  queue: 9000\n",
        "peers:\n",
        "  - {instance: a, zone: b, address: \"127.0.0.1:1\"}\n",
        "  - {instance: a, zone: b, address: nowhere}\n",
    ))
    .stderr(concat!(
        "a.yaml:1: instance: `gijon 1` may have letters, digits, `-`, `_` and `.` only\n",
        "a.yaml:3: nonsense: unknown field `nonsense`, expected one of `control`, `defaults`, `heartbeat`, ",
        "`instance`, `keys`, `limits`, `listen`, `log`, `peers`, `platform`, `region`, `secret`, `upstreams`, ",
        "`zone`\n",
        "a.yaml:7: limits.body: invalid value: string \"4 MB\", expected a size such as `1MiB`\n",
        "a.yaml:8: limits.queue: is greater than `limits.open_requests`\n",
        "a.yaml:11: peers[1].address: invalid socket address syntax\n",
        "a.yaml:11: peers[1].instance: `a` is taken by `peers[0]`\n",
        "error 5001: the settings have faults\n",
    ))
    .status(INVALID_STATUS)
    .run();
}

#[test]
fn each_missing_required_field_is_named() {
    check("log: {level: info}\n")
        .stderr(concat!(
            "a.yaml:1: instance: missing\n",
            "a.yaml:1: zone: missing\n",
            "a.yaml:1: keys.authority: missing\n",
            "a.yaml:1: keys.certificate: missing\n",
            "a.yaml:1: keys.key: missing\n",
            "a.yaml:1: platform.address: missing\n",
            "error 5001: the settings have faults\n",
        ))
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn a_missing_file_is_named() {
    Test::new()
        .args(["check", "nowhere.yaml"])
        .stderr_has("nowhere.yaml: can't read the file: No such file")
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn an_empty_file_is_refused() {
    check_faults("", "a.yaml: the file is empty\n");
}

#[test]
fn text_that_is_not_utf_8_is_refused_with_its_line() {
    Test::new()
        .file("a.yaml", b"instance: a\nzone: \xff\n")
        .args(["check", "a.yaml"])
        .stderr(&format!("a.yaml:2: the text is not UTF-8\n{FAULTS_LINE}"))
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn text_that_is_not_yaml_is_refused_with_its_line() {
    check("instance: a\nzone: [b\n")
        .stderr_has("a.yaml:2: not YAML: ")
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn a_duration_without_a_unit_is_refused() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}limits: {{close: 5}}\n"),
        "a.yaml:5: limits.close: invalid type: integer `5`, expected a duration such as `500ms`\n",
    );
}

#[test]
fn a_duration_of_nothing_is_refused() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}limits: {{idle: 0s}}\n"),
        "a.yaml:5: limits.idle: has to be longer than 0s\n",
    );
}

#[test]
fn a_duration_without_an_end_is_refused() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}limits: {{close: 10000000000years}}\n"),
        "a.yaml:5: limits.close: has to be at most 1day\n",
    );
}

#[test]
fn sizes_out_of_range_are_refused() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}limits:\n  body: 2GiB\n  headers: 8B\n"),
        concat!(
            "a.yaml:6: limits.body: has to be from 1B to 1GiB\n",
            "a.yaml:7: limits.headers: has to be from 1KiB to 1MiB\n",
        ),
    );
}

#[test]
fn a_field_given_twice_is_refused_with_both_lines() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}log:\n  level: info\n  level: warn\n"),
        "a.yaml:7: log.level: given twice, first on line 6\n",
    );
}

#[test]
fn an_unknown_choice_is_refused_with_the_known_ones() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}log: {{format: xml}}\n"),
        "a.yaml:5: log.format: unknown variant `xml`, expected `json` or `text`\n",
    );
}

#[test]
fn a_section_of_the_wrong_form_is_refused() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}listen: 8080\nupstreams: none\n"),
        "a.yaml:5: listen: expected a section of fields\na.yaml:6: upstreams: expected a list\n",
    );
}

#[test]
fn two_upstreams_of_one_name_are_refused() {
    let upstreams = concat!(
        "upstreams:\n",
        "- {name: u, zone: z, service: s, address: \"127.0.0.1:1\"}\n",
        "- {name: u, zone: z, service: s, address: \"127.0.0.1:2\"}\n",
    );
    check_faults(
        &format!("{MINIMAL_SETTINGS}{upstreams}"),
        "a.yaml:7: upstreams[1].name: `u` is taken by `upstreams[0]`\n",
    );
}

#[test]
fn an_engine_without_a_model_is_refused() {
    let upstreams = concat!(
        "upstreams:\n",
        "- {name: u, zone: z, service: s, role: decode, address: \"127.0.0.1:1\"}\n",
    );
    check_faults(
        &format!("{MINIMAL_SETTINGS}{upstreams}"),
        "a.yaml:6: upstreams[0].model: missing\n",
    );
}

#[test]
fn one_address_for_callers_and_operators_is_refused() {
    check_faults(
        &format!(
            "{MINIMAL_SETTINGS}listen: {{admin: \"0.0.0.0:80\", callers: \"127.0.0.1:80\"}}\n"
        ),
        "a.yaml:5: listen.callers: `127.0.0.1:80` is `listen.admin` too\n",
    );
}

#[test]
fn a_wildcard_for_peers_needs_an_address_to_advertise() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}listen: {{peers: \"0.0.0.0:7400\"}}\n"),
        "a.yaml:5: listen.advertise: missing: `listen.peers` names no single address\n",
    );
}

#[test]
fn heartbeat_times_that_do_not_rise_are_refused() {
    check_faults(
        &format!("{MINIMAL_SETTINGS}heartbeat: {{period: 2s, dead_after: 1s}}\n"),
        concat!(
            "a.yaml:5: heartbeat.suspect_after: has to be longer than `heartbeat.period`\n",
            "a.yaml:5: heartbeat.dead_after: has to be longer than `heartbeat.suspect_after`\n",
        ),
    );
}

#[test]
fn an_override_takes_the_place_of_a_faulty_value() {
    Test::new()
        .file(
            "a.yaml",
            format!("{MINIMAL_SETTINGS}limits: {{body: 4 MB}}\n"),
        )
        .args(["check", "a.yaml", "--set", "limits.body=4MiB"])
        .run();
}

#[test]
fn a_faulty_override_is_told_without_a_line() {
    Test::new()
        .file("a.yaml", MINIMAL_SETTINGS)
        .args(["check", "a.yaml", "--set", "limits.body=4"])
        .stderr_has("--set: limits.body: invalid type: integer `4`, expected a size such as `1MiB`")
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn an_override_below_a_plain_value_is_refused() {
    Test::new()
        .file("a.yaml", MINIMAL_SETTINGS)
        .args(["check", "a.yaml", "--set", "zone.name=x"])
        .stderr_has("zone: `zone.name` needs a section here")
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn an_override_without_a_value_is_a_usage_fault() {
    Test::new()
        .args(["check", "a.yaml", "--set", "limits.body"])
        .stderr_has("expected FIELD=VALUE, such as limits.body=2MiB")
        .status(2)
        .run();
}

#[test]
fn deep_nesting_is_refused_and_not_followed() {
    check(&"[".repeat(100_000))
        .stderr_has("a.yaml:1: not YAML: ")
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn a_table_is_told_by_its_extension() {
    Test::new()
        .file("t.csv", "work,service\n")
        .args(["check", "t.csv"])
        .stderr_has("error 5002: the table has faults")
        .status(52)
        .run();
}

#[test]
fn a_table_without_an_extension_is_told_by_its_content() {
    Test::new()
        .file("t", "work,service\n")
        .args(["check", "t"])
        .stderr_has("error 5002: the table has faults")
        .status(52)
        .run();
}

#[test]
fn settings_without_an_extension_are_told_by_their_content() {
    Test::new()
        .file("s", MINIMAL_SETTINGS)
        .args(["check", "s"])
        .run();
}

fn check(settings: &str) -> Test {
    Test::new()
        .file("a.yaml", settings)
        .args(["check", "a.yaml"])
}

fn check_faults(settings: &str, faults: &str) {
    check(settings)
        .stderr(&format!("{faults}{FAULTS_LINE}"))
        .status(INVALID_STATUS)
        .run();
}

#[test]
fn faults_in_the_settings_of_customers_are_told_by_field() {
    Test::new()
        .file(
            "front.yaml",
            concat!(
                "instance: front-1\nzone: gijon\n",
                "listen: {admin: \"127.0.0.1:0\", callers: \"127.0.0.1:0\"}\n",
                "platform: {address: \"127.0.0.1:6100\"}\n",
                "customers: {overage: -0.1, revoked_within: 0s, window: 0s}\n",
            ),
        )
        .args(["check", "--relay", "front.yaml"])
        .stderr_has("customers.overage: has to be 0 or more")
        .stderr_has("customers.revoked_within: has to be longer than 0s")
        .stderr_has("customers.window: has to be longer than 0s")
        .status(INVALID_STATUS)
        .run();
}
