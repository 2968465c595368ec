use super::*;
use crate::endpoint_list::read_list;

#[test]
fn an_answer_that_is_incomplete_or_too_long_is_named_as_such() {
    let entry = r#"{"host":"a","dial":"127.0.0.1:1","health":"up"}"#;
    let error = |text: &str| read_list(text.as_bytes(), 2).expect_err("no list").to_string();
    assert!(error("").contains("ends after 0 bytes"), "{}", error(""));
    assert!(error(&format!(r#"{{"seq":1,"hosts":[{entry},"#)).contains("before its object does"));
    assert!(error(&format!(r#"{{"seq":1,"hosts":[{entry}}}"#)).contains("a comma or the end of the array"));
    assert!(error(r#"{"seq":1,"hosts":[]} x"#).contains("the end was expected"));
    assert!(error(r#"{"seq":1,"hosts":[tru]}"#).contains("from byte 18 on"));
    let three = format!(r#"{{"seq":1,"hosts":[{entry},{entry},{entry}]}}"#);
    assert_eq!(error(&three), "it has over 2 entries, 2 at most were expected");
    let long = format!(r#"{{"seq":1,"more":"{}","hosts":[]}}"#, "x".repeat(MAX_VALUE_BYTES));
    assert!(error(&long).contains("bytes"), "{}", error(&long));
}

/// What is held of an endless answer is bounded, whatever it consists of.
#[test]
fn an_endless_answer_is_given_up_within_its_bounds() {
    let piece = [b' '; 1 << 12];
    for begin in ["", r#"{"seq":1,"#, r#"{"seq":1,"hosts":["#, r#"{"seq":1,"hosts":[""#] {
        let mut reader = Reader::new(1000);
        reader.push(begin.as_bytes()).expect("within bounds");
        let mut entries = Vec::new();
        let given_up = (0..1000).find(|_| {
            let read = reader.push(&piece).and_then(|()| reader.read(usize::MAX, &mut entries));
            assert!(
                reader.buffer.len() <= MAX_VALUE_BYTES + 2 * piece.len(),
                "{begin}: holds {}",
                reader.buffer.len()
            );
            read.is_err()
        });
        assert!(given_up.is_some(), "{begin}");
    }
}
