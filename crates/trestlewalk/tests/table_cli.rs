//! `trestlewalk table`: the real binary against a platform and entry instances on the loopback.

mod table_support;

use table_support::{HEADINGS, Test};

const FIRST: &str = "confirm,booking-app,,0,4,200,,250ms,,5s,no,1,0\n\
                     notes,redactor,redactor-13b,3,2,120,,,,15min,no,2,0.05\n";

fn filled() -> Test {
    let test = Test::new();
    test.write("first.csv", &format!("{HEADINGS}\n{FIRST}"));
    test.run(&["apply", "first.csv"]).exit(0);
    test
}

#[test]
fn a_first_table_is_applied_and_shown() {
    let test = Test::new();
    test.write("first.csv", &format!("{HEADINGS}\n{FIRST}"));
    test.run(&["apply", "first.csv"])
        .exit(0)
        .output_has("+ confirm  service=booking-app rank=0 weight=4 limit=200")
        .output_has("accepted as version ");
    let shown = test.run(&["show"]).exit(0).output;
    let version = test.version();
    assert!(shown.starts_with(&format!("# version {version} digest ")));
    assert!(shown.ends_with(&format!("{HEADINGS}\n{FIRST}")));
}

#[test]
fn every_fault_of_a_file_is_printed_and_nothing_applied() {
    let test = filled();
    let version = test.version();
    test.edit_shown("work.csv", "no,1,0", "maybe,1,7");
    for verb in ["apply", "check", "diff"] {
        test.run(&[verb, "work.csv"])
            .exit(52)
            .error_has("work.csv: line 3, column repeat: fault 7207")
            .error_has("work.csv: line 3, column waste: fault 7204")
            .error_has("error 5002: the table has faults");
    }
    assert_eq!(test.version(), version);
}

#[test]
fn two_operators_change_two_rows_and_both_edits_stand() {
    let test = filled();
    test.edit_shown(
        "ilze.csv",
        "confirm,booking-app,,0,4,",
        "confirm,booking-app,,0,8,",
    );
    test.edit_shown("juan.csv", "15min", "30min");
    test.run(&["apply", "ilze.csv"]).exit(0);
    test.run(&["apply", "juan.csv"])
        .exit(0)
        .output_has("~ notes  patience: 15min -> 30min");
    test.run(&["show"])
        .exit(0)
        .output_has("confirm,booking-app,,0,8,")
        .output_has("30min");
}

#[test]
fn one_row_changed_by_two_is_a_conflict_that_shows_both_values() {
    let test = filled();
    test.edit_shown("ilze.csv", "15min", "20min");
    test.edit_shown("juan.csv", "15min", "30min");
    test.run(&["apply", "ilze.csv"]).exit(0);
    let version = test.version();
    for verb in ["diff", "apply"] {
        test.run(&[verb, "juan.csv"])
            .exit(53)
            .output_has("! notes  patience: yours 30min, now 20min")
            .error_has("error 5003");
    }
    assert_eq!(test.version(), version);
}

#[test]
fn a_row_removed_by_one_and_changed_by_the_other_is_a_conflict() {
    let test = filled();
    let notes = FIRST.lines().nth(1).unwrap();
    test.edit_shown("ilze.csv", &format!("{notes}\n"), "");
    test.edit_shown("juan.csv", "15min", "30min");
    test.run(&["apply", "ilze.csv"])
        .exit(0)
        .output_has("- notes  service=redactor");
    test.run(&["apply", "juan.csv"])
        .exit(53)
        .output_has("! notes  row: yours service=redactor")
        .output_has("now removed");
}

#[test]
fn names_that_no_listed_instance_has_are_noted_and_no_fault() {
    let test = filled()
        .listed_upstream("gijon", "booking-app", None)
        .listed_upstream("gijon", "redactor", Some("redactor-7b"));
    let changed = test.edit_shown("work.csv", "200,,250ms", "200,gijon gijn,250ms");
    test.write("work.csv", &changed.replace("15min", "20min"));
    let output = test.run(&["diff", "work.csv"]).exit(0).output;
    let notes: Vec<&str> = output
        .lines()
        .filter(|line| line.starts_with("note: "))
        .collect();
    assert_eq!(
        notes,
        [
            "note: confirm: no instance in the platform's list has availability zone `gijn`",
            "note: notes: no instance in the platform's list has model `redactor-13b`",
        ]
    );
    test.run(&["apply", "work.csv"])
        .exit(0)
        .output_has(notes[0]);
}

#[test]
fn applying_the_same_file_again_changes_nothing() {
    let test = filled();
    test.edit_shown("work.csv", "15min", "20min");
    test.run(&["apply", "work.csv"]).exit(0);
    let version = test.version();
    test.run(&["apply", "work.csv"])
        .exit(0)
        .output_has("already so: notes")
        .output_has(&format!("nothing to change in version {version}"));
    assert_eq!(test.version(), version);
}

#[test]
fn a_refreshed_file_can_be_edited_further() {
    let test = filled();
    test.edit_shown("work.csv", "15min", "20min");
    test.run(&["apply", "--refresh", "work.csv"]).exit(0);
    let again = test.read("work.csv").replace("20min", "25min");
    test.write("work.csv", &again);
    test.run(&["apply", "work.csv"])
        .exit(0)
        .output_has("~ notes  patience: 20min -> 25min");
}

#[test]
fn a_reply_that_was_lost_does_not_double_the_edit() {
    let test = filled();
    test.edit_shown("work.csv", "15min", "20min");
    test.lose_replies(1);
    test.run(&["apply", "work.csv"]).exit(0);
    let history = test.run(&["history"]).exit(0).output;
    assert_eq!(
        history.matches("patience: 15min -> 20min").count(),
        1,
        "{history}"
    );
    assert_eq!(history.matches("version ").count(), 2, "{history}");
}

#[test]
fn a_file_without_a_version_line_is_refused_once_there_is_a_table() {
    let test = filled();
    test.write("bare.csv", &format!("{HEADINGS}\n{FIRST}"));
    test.run(&["apply", "bare.csv"])
        .exit(52)
        .error_has("no `# version` line");
    let base = test.version().to_string();
    test.run(&["apply", "--base", &base, "bare.csv"]).exit(0);
}

#[test]
fn apply_prints_each_zone_as_the_edit_comes_into_force() {
    let test = filled().entry("riga-a").entry("riga-a").entry("riga-b");
    test.edit_shown("work.csv", "15min", "20min");
    test.run(&["apply", "work.csv"])
        .exit(0)
        .output_has("riga-a: in force after ")
        .output_has(" s at 2 of 2 instances")
        .output_has("riga-b: in force after ");
}

#[test]
fn apply_says_which_zones_are_cut_off_or_behind() {
    let test = filled()
        .entry("riga-a")
        .stuck_entry("riga-b", 7)
        .silent_entry("riga-c");
    test.edit_shown("work.csv", "15min", "20min");
    test.run(&["apply", "--wait", "300ms", "work.csv"])
        .exit(55)
        .output_has("riga-a: in force after ")
        .output_has("riga-b: not in force: it still has version 7")
        .output_has("riga-c: cut off: no entry instance answers")
        .error_has("error 5005");
}

#[test]
fn apply_refuses_to_edit_a_platform_that_went_back() {
    let test = filled();
    let ahead = test.version() + 1000;
    let test = test.stuck_entry("riga-a", ahead);
    test.edit_shown("work.csv", "15min", "20min");
    let version = test.version();
    test.run(&["apply", "--wait", "300ms", "work.csv"])
        .exit(62)
        .error_has(&format!(
            "entry instances hold version {ahead}, the platform only {version}"
        ));
    assert_eq!(test.version(), version);
}

#[test]
fn a_platform_that_is_down_is_said() {
    let test = filled();
    test.edit_shown("work.csv", "15min", "20min");
    test.platform().set_faults(fake::PlatformFaults {
        down: true,
        ..fake::PlatformFaults::default()
    });
    test.run(&["apply", "work.csv"])
        .exit(54)
        .error_has("error 5004");
    test.run(&["show"]).exit(54);
}

#[test]
fn history_tells_who_changed_what() {
    let test = filled();
    test.edit_shown("work.csv", "15min", "20min");
    test.run(&["apply", "--author", "juan", "work.csv"]).exit(0);
    let version = test.version();
    test.run(&["history", "--limit", "1"])
        .exit(0)
        .output_has(&format!("version {version}  "))
        .output_has("  juan  edit ")
        .output_has("~ notes  patience: 15min -> 20min");
}

#[test]
fn two_files_are_compared_without_a_platform() {
    let test = filled();
    test.write("old.csv", &format!("{HEADINGS}\n{FIRST}"));
    test.write(
        "new.csv",
        &format!("{HEADINGS}\n{}", FIRST.replace("15min", "1h")),
    );
    test.run(&[
        "diff",
        "old.csv",
        "new.csv",
        "--platform",
        "http://127.0.0.1:1",
    ])
    .exit(0)
    .output_has("~ notes  patience: 15min -> 1h");
}

#[test]
fn the_operator_file_names_platform_and_instances() {
    let test = filled();
    let text = format!(
        "platform: http://{}\ninstances: []\n",
        test.platform().address()
    );
    test.write("operator.yaml", &text);
    test.run(&["history", "--operator", "operator.yaml"])
        .exit(0);
    test.write(
        "operator.yaml",
        "platform: http://127.0.0.1:1\nplatforms: 2\n",
    );
    test.run(&["history", "--operator", "operator.yaml"])
        .exit(51)
        .error_has("operator.yaml");
}
