use super::*;
use crate::endpoint_list::read_list;

#[test]
fn reports_incomplete_and_oversized_answers() {
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

/// An endless answer is rejected, and the reader buffers a bounded part of it, wherever its white space begins: at the
/// start, before a key, before an entry, or inside an entry.
#[test]
fn rejects_an_endless_answer_within_a_bounded_buffer() {
    let chunk = [b' '; 1 << 12];
    for begin in ["", r#"{"seq":1,"#, r#"{"seq":1,"hosts":["#, r#"{"seq":1,"hosts":[""#] {
        let mut reader = Reader::new(1000);
        reader.push(begin.as_bytes()).expect("within bounds");
        let mut entries = Vec::new();
        let rejected_at = (0..1000).find(|_| {
            let read = reader.push(&chunk).and_then(|()| reader.read(usize::MAX, &mut entries));
            assert!(
                reader.buffer.len() <= MAX_VALUE_BYTES + 2 * chunk.len(),
                "{begin}: buffers {}",
                reader.buffer.len()
            );
            read.is_err()
        });
        assert!(rejected_at.is_some(), "{begin}");
    }
}
