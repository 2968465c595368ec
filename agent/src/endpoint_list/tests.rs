use super::*;
use serde_json::json;

fn read(value: &Value) -> Result<List, String> {
    read_list(value.to_string().as_bytes(), 100)
}

#[test]
fn entries_without_sense_are_left_out_and_unknown_fields_skipped() {
    let list = read(&json!({"seq": 7, "whole": true, "novel": 1, "hosts": [
            {"host": "a", "dial": "127.0.0.1:1", "site": "x", "health": "up", "born_ms": 5.0, "novel": {}},
            {"host": "b", "dial": "nowhere", "health": "up"},
            {"host": "c", "dial": "127.0.0.1:1", "health": "asleep"},
            {"host": 4, "dial": "127.0.0.1:1", "health": "up"},
            {"host": "d", "health": "removed", "block": -3},
            "e"]}))
    .expect("a list");
    let names: Vec<&str> = list.hosts.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["a", "d"]);
    assert_eq!((list.seq, list.whole), (7, true));
    assert_eq!(list.hosts[0].born_ms, 5.0);
    let unread: Vec<_> = list.unread.iter().map(|u| (u.name.as_deref(), u.why.as_str())).collect();
    assert_eq!(unread[0], (Some("b"), "entry 1: dial is \"nowhere\", an address was expected"));
    assert_eq!(unread[1], (Some("c"), "entry 2: health is \"asleep\", up, draining or removed was expected"));
    assert_eq!(unread[2], (None, "entry 3: host is 4, a name was expected"));
    assert_eq!(unread[3], (None, "entry 5: host is missing, a name was expected"));
}

#[test]
fn what_is_no_list_is_told_by_what_it_lacks() {
    for value in [json!(null), json!([]), json!({"seq": 1}), json!({"seq": "1", "hosts": []})] {
        let why = read(&value).expect_err("no list");
        assert!(why.contains(" was expected"), "{value}: {why}");
    }
}

/// However an answer is cut into pieces and however few entries a step may read, it says the same.
#[test]
fn what_comes_in_pieces_reads_as_what_comes_whole() {
    let entry = |name: &str, block: u32| {
        json!({"host": name, "dial": "127.0.0.1:1", "site": "x\"]}", "class": "", "block": block, "health": "up",
               "share": 0.5, "born_ms": 17, "more": [{"a": [1, "]"]}]})
    };
    let torn = json!({"host": "torn", "health": "up"});
    let list =
        json!({"seq": 12345, "whole": true, "hosts": [entry("a", 1), torn, entry("b", 22)], "z": -1.5});
    let texts = [
        list.to_string(),
        serde_json::to_string_pretty(&list).expect("text"),
        // The version and the kind may stand anywhere.
        list.to_string().replacen("{\"hosts\"", "{\"n\":null,\"hosts\"", 1) + " \n",
    ];
    for text in &texts {
        let whole = read_list(text.as_bytes(), 3).expect("a list");
        assert_eq!((whole.seq, whole.hosts.len(), whole.unread.len()), (12345, 2, 1));
        for (piece, most) in [(1, 1), (1, 100), (7, 2), (64, 1)] {
            let (mut reader, mut entries) = (Reader::new(3), Vec::new());
            for bytes in text.as_bytes().chunks(piece) {
                reader.push(bytes).expect("within bounds");
                loop {
                    let before = entries.len();
                    let more = reader.read(most, &mut entries).expect("a list");
                    assert!(entries.len() - before <= most);
                    if !more {
                        break;
                    }
                }
            }
            let Envelope { seq, whole: is_whole } = reader.end().expect("a list");
            assert_eq!((seq, is_whole), (12345, true));
            let hosts: Vec<Host> = entries.into_iter().filter_map(Result::ok).collect();
            assert_eq!(hosts, whole.hosts, "in pieces of {piece}, steps of {most}");
        }
    }
}

#[test]
fn an_answer_that_is_torn_or_too_long_is_told_as_such() {
    let entry = r#"{"host":"a","dial":"127.0.0.1:1","health":"up"}"#;
    let of = |text: &str| read_list(text.as_bytes(), 2).expect_err("no list");
    assert!(of("").contains("ends after 0 bytes"), "{}", of(""));
    assert!(of(&format!(r#"{{"seq":1,"hosts":[{entry},"#)).contains("before its object does"));
    assert!(of(&format!(r#"{{"seq":1,"hosts":[{entry}}}"#)).contains("a comma or the end of the array"));
    assert!(of(r#"{"seq":1,"hosts":[]} x"#).contains("the end was expected"));
    assert!(of(r#"{"seq":1,"hosts":[tru]}"#).contains("from byte 18 on"));
    let three = format!(r#"{{"seq":1,"hosts":[{entry},{entry},{entry}]}}"#);
    assert_eq!(of(&three), "it has over 2 entries, 2 at most were expected");
    let long = format!(r#"{{"seq":1,"more":"{}","hosts":[]}}"#, "x".repeat(VALUE_MOST));
    assert!(of(&long).contains("bytes"), "{}", of(&long));
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
                reader.text.len() <= VALUE_MOST + 2 * piece.len(),
                "{begin}: holds {}",
                reader.text.len()
            );
            read.is_err()
        });
        assert!(given_up.is_some(), "{begin}");
    }
}
