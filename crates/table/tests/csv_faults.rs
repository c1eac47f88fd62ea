//! Validation of table files: every fault is reported with its line, column and code.

use table::{FaultCode, TableError, WorkColumn, read_csv};

const HEADINGS: &str = "work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste";
const GOOD_ROW: &str = "confirm,booking-app,,0,4,200,,200ms,,5s,no,1,0";

fn faults(content: impl AsRef<[u8]>) -> Vec<(u64, Option<WorkColumn>, FaultCode)> {
    let error = read_csv("work.csv", content.as_ref()).expect_err("the file has faults");
    let faults = error.faults().iter();
    faults
        .map(|fault| (fault.line, fault.column, fault.code))
        .collect()
}

fn with_row(row: &str) -> String {
    format!("{HEADINGS}\n{GOOD_ROW}\n{row}\n")
}

#[test]
fn every_fault_of_every_row_is_reported() {
    let content = format!(
        "{HEADINGS}\n\
         ,booking-app,,10,0,0,riga-a riga-a,480,10ms,0s,maybe,-1,1.5\n\
         {GOOD_ROW}\n\
         {GOOD_ROW}\n\
         notes,redactor,m,1,NaN,x,,1m,,9999h,no,1,inf\n"
    );
    assert_eq!(
        faults(content),
        [
            (2, Some(WorkColumn::Work), FaultCode::CellEmpty),
            (2, Some(WorkColumn::Rank), FaultCode::NumberRange),
            (2, Some(WorkColumn::Weight), FaultCode::NumberRange),
            (2, Some(WorkColumn::Limit), FaultCode::NumberRange),
            (2, Some(WorkColumn::Zones), FaultCode::ZoneTwice),
            (2, Some(WorkColumn::FirstToken), FaultCode::DurationInvalid),
            (
                2,
                Some(WorkColumn::BetweenTokens),
                FaultCode::TargetWithoutModel
            ),
            (2, Some(WorkColumn::Patience), FaultCode::DurationRange),
            (2, Some(WorkColumn::Repeat), FaultCode::RepeatInvalid),
            (2, Some(WorkColumn::Retries), FaultCode::NumberRange),
            (2, Some(WorkColumn::Waste), FaultCode::NumberRange),
            (4, Some(WorkColumn::Work), FaultCode::RowTwice),
            (5, Some(WorkColumn::Weight), FaultCode::NumberInvalid),
            (5, Some(WorkColumn::Limit), FaultCode::NumberInvalid),
            (5, Some(WorkColumn::Patience), FaultCode::DurationRange),
            (5, Some(WorkColumn::Waste), FaultCode::NumberInvalid),
        ]
    );
}

#[test]
fn weights_that_make_no_share_are_faults() {
    for weight in [
        "0", "-1", "-0", "NaN", "inf", "1e999", "0,5", "1 000", "five",
    ] {
        let row = format!("notes,redactor,m,1,\"{weight}\",,,,,1min,yes,1,0");
        let found = faults(with_row(&row));
        assert_eq!(found.len(), 1, "{weight}: {found:?}");
        assert_eq!(found[0].1, Some(WorkColumn::Weight), "{weight}");
    }
}

#[test]
fn a_fault_says_file_line_column_and_code() {
    let error = read_csv(
        "work.csv",
        with_row("notes,redactor,m,1,1,,,480,,1min,yes,1,0").as_bytes(),
    );
    let text = error.expect_err("a duration has no unit").to_string();
    assert_eq!(
        text,
        "work.csv: line 3, column first_token: fault 7205: \
         the cell is not a duration with a unit, such as 480ms or 2min: `480`"
    );
}

#[test]
fn a_faulty_row_with_the_key_of_another_is_reported_for_both() {
    let found = faults(with_row("confirm,booking-app,,zero,1,,,,,,,,"));
    assert_eq!(
        found,
        [
            (3, Some(WorkColumn::Work), FaultCode::RowTwice),
            (3, Some(WorkColumn::Rank), FaultCode::NumberInvalid),
        ]
    );
}

#[test]
fn headings_are_checked_and_the_rows_all_the_same() {
    let content = "work,service,service,colour,rank\nnotes,redactor,x,red,11\n";
    let found = faults(content);
    assert!(found.contains(&(1, Some(WorkColumn::Service), FaultCode::ColumnTwice)));
    assert!(found.contains(&(1, None, FaultCode::ColumnUnknown)));
    assert!(found.contains(&(1, Some(WorkColumn::Waste), FaultCode::ColumnMissing)));
    assert!(found.contains(&(2, Some(WorkColumn::Rank), FaultCode::NumberRange)));
}

#[test]
fn rows_of_another_width_are_faults() {
    let found = faults(with_row("notes,redactor,m"));
    assert_eq!(found, [(3, None, FaultCode::CellsTooFew)]);
    let found = faults(with_row("notes,redactor,m,1,1,,,,,1min,yes,1,0,remark"));
    assert_eq!(found, [(3, None, FaultCode::CellsTooMany)]);
}

#[test]
fn bytes_that_are_no_text_are_faults_of_their_cell() {
    let mut content = with_row("").into_bytes();
    content.extend_from_slice(b"notes,redac\xfftor,m,1,1,,,,,1min,yes,1,0\n");
    assert_eq!(
        faults(content),
        [(4, Some(WorkColumn::Service), FaultCode::CellEncoding)]
    );
}

#[test]
fn a_utf_16_file_is_told_as_such() {
    let mut content = vec![0xff, 0xfe];
    content.extend(HEADINGS.encode_utf16().flat_map(u16::to_le_bytes));
    assert_eq!(faults(content), [(0, None, FaultCode::FileEncoding)]);
}

#[test]
fn lines_are_counted_over_empty_lines_quoted_line_ends_and_crlf() {
    let row = "notes,redactor,m,11,1,,,,,1min,yes,1,0";
    let content = format!("\r\n\r\n{HEADINGS}\r\n\r\n{GOOD_ROW}\r\n\r\n\r\n{row}\r\n");
    assert_eq!(faults(content)[0].0, 8);
    let wide = "draft,redactor,m,1,1,,\"riga-a\nriga-b\",,,1min,yes,1,0";
    let content = format!("{HEADINGS}\n{wide}\n\n{row}\n");
    assert_eq!(faults(content)[0].0, 5);
}

#[test]
fn an_open_quote_is_a_fault() {
    let found = faults(with_row("notes,\"redactor,m,1,1,,,,,1min,yes,1,0"));
    assert!(found.contains(&(0, None, FaultCode::QuoteOpen)));
}

#[test]
fn a_file_without_headings_is_a_fault() {
    for content in ["", "\u{feff}", "# version 17\n", "\n\n,,,\n"] {
        let found = faults(content);
        assert_eq!(found, [(0, None, FaultCode::HeadingsMissing)]);
    }
}

#[test]
fn version_lines_that_differ_or_are_garbled_are_faults() {
    let content = format!("# version 17\n{HEADINGS}\n# version 18\n");
    assert_eq!(faults(content), [(3, None, FaultCode::VersionTwice)]);
    let content = format!("# version seventeen\n{HEADINGS}\n");
    assert_eq!(faults(content), [(1, None, FaultCode::VersionGarbled)]);
}

#[test]
fn a_file_of_ten_megabytes_of_faults_is_read_up_to_the_row_limit() {
    let row = "notes,redactor,m,11,1,,,,,1min,yes,1,0,,,,,,,,,,,,,,,,\n";
    let content = format!("{HEADINGS}\n{}", row.repeat(10_000_000 / row.len()));
    let found = faults(content);
    let over: Vec<_> = found
        .iter()
        .filter(|fault| fault.2 == FaultCode::RowsTooMany)
        .collect();
    let last_line = found.last().map(|fault| fault.0);
    assert_eq!(over.len(), 1);
    assert_eq!(Some(over[0].0), last_line);
    assert_eq!(found.iter().filter(|fault| fault.0 == 2).count(), 1);
    let content = vec![b'x'; table::csv_read::MAX_FILE_SIZE + 1];
    assert_eq!(faults(content), [(0, None, FaultCode::FileTooLarge)]);
}

#[test]
fn fault_numbers_stand_once_and_rise() {
    let numbers: Vec<u16> = FaultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right));
}

#[test]
fn the_operators_page_lists_every_fault_code() {
    let page = include_str!("../../../docs/TABLE.md");
    for code in FaultCode::ALL {
        let line = format!("| {} | {} |", code.number(), code.text());
        assert!(page.contains(&line), "docs/TABLE.md lacks: {line}");
    }
}

#[test]
fn the_result_of_a_faulty_file_is_numbered() {
    let TableError::Invalid { .. } = read_csv("work.csv", b"").expect_err("no headings");
    let error = read_csv("work.csv", b"").expect_err("no headings");
    assert_eq!(error.result_code().number(), 5002);
}
