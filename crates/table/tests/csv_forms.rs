//! The CSV dialects of spreadsheets are all read as the same table.

use {
    std::time::Duration,
    table::{FileBase, TableFile, WorkTable, read_csv, write_csv},
};

const CANONICAL: &str = "\
# version 17 digest 00000000000000ff
work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste
confirm,booking-app,,0,4,200,riga-a riga-b,200ms,,5s,no,1,0
draft,glaze-llm,glaze-7b,2,0.5,,,480ms,25ms,2min,yes,2,0.25
";

fn read(content: impl AsRef<[u8]>) -> TableFile {
    read_csv("work.csv", content.as_ref()).unwrap_or_else(|error| panic!("{error}"))
}

fn lines(change: impl Fn(&str) -> String) -> String {
    CANONICAL.lines().map(change).collect()
}

#[test]
fn values_carry_their_units() {
    let file = read(CANONICAL);
    let draft = &file.rows["draft"];
    assert_eq!(draft.first_token, Some(Duration::from_millis(480)));
    assert_eq!(draft.patience, Duration::from_secs(120));
    assert_eq!(draft.limit, None);
    let base = FileBase {
        digest: Some(255),
        version: 17,
    };
    assert_eq!(file.base, Some(base));
}

#[test]
fn the_canonical_form_comes_back_byte_for_byte() {
    let file = read(CANONICAL);
    assert_eq!(write_csv(file.base, file.rows.values()), CANONICAL);
}

#[test]
fn spreadsheet_forms_read_as_the_canonical_one() {
    let plain = read(CANONICAL);
    let forms = [
        ("byte order mark", format!("\u{feff}{CANONICAL}")),
        ("carriage returns", lines(|line| format!("{line}\r\n"))),
        ("no last line end", CANONICAL.trim_end().to_owned()),
        ("empty columns", lines(|line| format!("{line},,,\n"))),
        (
            "empty rows",
            lines(|line| format!("{line}\n,,,,,,,,,,,,\n\n")),
        ),
        (
            "quoted cells",
            lines(|line| format!("\"{}\"\n", line.replace(',', "\",\""))),
        ),
        (
            "spaces",
            lines(|line| format!("{}\n", line.replace(',', " , "))),
        ),
        (
            "tabs",
            lines(|line| format!("{}\n", line.replace(',', "\t"))),
        ),
        (
            "semicolons and decimal commas",
            lines(|line| format!("{}\n", line.replace(',', ";").replace("0.", "0,"))),
        ),
        (
            "separator line",
            format!("sep=;\n{}", CANONICAL.replace(',', ";")),
        ),
        (
            "zones in a quoted cell",
            CANONICAL.replace("riga-a riga-b", "\"riga-a; riga-b\""),
        ),
        (
            "capitals",
            CANONICAL
                .replace(",yes,", ",TRUE,")
                .replace("work,", "Work,"),
        ),
        (
            "a version line padded to the width",
            CANONICAL.replacen("00ff\n", "00ff,,,,,,,,,,,,\n", 1),
        ),
        (
            "a remark",
            format!("{CANONICAL}# last seen by the night shift\n"),
        ),
        ("sorted rows", {
            let mut rows: Vec<&str> = CANONICAL.lines().collect();
            rows[1..].rotate_left(0);
            rows.swap(2, 3);
            rows.join("\n")
        }),
    ];
    for (name, form) in forms {
        let file = read_csv("work.csv", form.as_bytes());
        let file = file.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(file, plain, "{name}");
    }
}

#[test]
fn empty_cells_take_the_defaults() {
    let headings = CANONICAL.lines().nth(1).expect("headings");
    let file = read(format!("{headings}\nnotes,redactor,,,,,,,,,,,\n"));
    let row = &file.rows["notes"];
    assert_eq!(row.patience, Duration::from_secs(120));
    assert_eq!((row.rank, row.weight, row.retries), (5, 1.0, 1));
    assert!(!row.repeat);
    assert!(row.allows("gijon"));
    assert_eq!(file.base, None);
}

#[test]
fn columns_may_stand_in_another_order() {
    let reversed = lines(|line| {
        if line.starts_with('#') {
            return format!("{line}\n");
        }
        let mut cells: Vec<&str> = line.split(',').collect();
        cells.reverse();
        format!("{}\n", cells.join(","))
    });
    assert_eq!(read(reversed), read(CANONICAL));
}

#[test]
fn the_example_tables_are_canonical() {
    for content in [
        include_str!("../../../tables/batimetria.csv"),
        include_str!("../../../tables/krasns.csv"),
    ] {
        let file = read(content);
        assert_eq!(write_csv(file.base, file.rows.values()), content);
        let table = WorkTable {
            rows: file.rows,
            version: 0,
        };
        assert_ne!(table.digest(), WorkTable::default().digest());
    }
}
