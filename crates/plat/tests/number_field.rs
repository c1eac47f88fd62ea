//! One field of an object that other programs write.

use plat::number_field;

#[test]
fn a_field_with_anything_but_a_whole_number_has_none() {
    let long = "1".repeat(400);
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        "null", "true", "\"4\"", "-1", "4.0", "4e0", "1e400", "NaN", "[4]", "{}", &long, &deep,
    ];
    for value in odd {
        let content = format!(r#"{{"a": 1, "n": {value}}}"#);
        assert_eq!(number_field(content.as_bytes(), "n"), None, "{value:.40}");
    }
    for content in ["", "4", "[]", r#"{"m": 4}"#, r#"{"n": 4"#, "\u{0}"] {
        assert_eq!(number_field(content.as_bytes(), "n"), None, "{content}");
    }
    assert_eq!(number_field(b"\xff", "n"), None);
}

#[test]
fn a_number_is_read_whatever_the_other_fields_hold() {
    let content = format!(r#"{{"m": 1e400, "n" : {} , "\u006f": [[{{}}]]}}"#, u64::MAX);
    assert_eq!(number_field(content.as_bytes(), "n"), Some(u64::MAX));
    assert_eq!(number_field(br#"{"n": 0}"#, "n"), Some(0));
}
