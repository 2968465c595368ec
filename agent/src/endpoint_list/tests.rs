use super::*;
use serde_json::{json, Value};

fn read(value: &Value) -> Result<List, ListError> {
    read_list(value.to_string().as_bytes(), 100)
}

#[test]
fn ignores_invalid_entries_and_unknown_fields() {
    let list = read(&json!({"seq": 7, "whole": true, "unknown": 1, "hosts": [
            {"host": "a", "dial": "127.0.0.1:1", "site": "x", "health": "up", "born_ms": 5.0, "unknown": {}},
            {"host": "b", "dial": "nowhere", "health": "up"},
            {"host": "c", "dial": "127.0.0.1:1", "health": "asleep"},
            {"host": 4, "dial": "127.0.0.1:1", "health": "up"},
            {"host": "d", "health": "removed", "block": -3},
            "e"]}))
    .expect("a list");
    let names: Vec<&str> = list.hosts.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["a", "d"]);
    assert_eq!((list.seq, list.is_complete), (7, true));
    assert_eq!(list.hosts[0].born_ms, 5.0);
    let invalid: Vec<_> =
        list.invalid_entries.iter().map(|entry| (entry.name.as_deref(), entry.to_string())).collect();
    let invalid: Vec<_> = invalid.iter().map(|(name, error)| (*name, error.as_str())).collect();
    assert_eq!(invalid[0], (Some("b"), "entry 1: dial is \"nowhere\", an address was expected"));
    assert_eq!(
        invalid[1],
        (Some("c"), "entry 2: health is \"asleep\", up, draining or removed was expected")
    );
    assert_eq!(invalid[2], (None, "entry 3: host is 4, a name was expected"));
    assert_eq!(invalid[3], (None, "entry 5: host is missing, a name was expected"));
}

#[test]
fn errors_name_what_was_expected() {
    for value in [json!(null), json!([]), json!({"seq": 1}), json!({"seq": "1", "hosts": []})] {
        let message = read(&value).expect_err("no list").to_string();
        assert!(message.contains(" was expected"), "{value}: {message}");
    }
}

/// The result depends neither on how the answer is split into chunks nor on how few entries a step may parse.
#[test]
fn parses_chunked_answers_like_complete_ones() {
    let entry = |name: &str, block: u32| {
        json!({"host": name, "dial": "127.0.0.1:1", "site": "x\"]}", "class": "", "block": block, "health": "up",
               "share": 0.5, "born_ms": 17, "more": [{"a": [1, "]"]}]})
    };
    let no_address = json!({"host": "no-address", "health": "up"});
    let list =
        json!({"seq": 12345, "whole": true, "hosts": [entry("a", 1), no_address, entry("b", 22)], "z": -1.5});
    let texts = [
        list.to_string(),
        serde_json::to_string_pretty(&list).expect("text"),
        // The keys may have any order, with unknown ones among them.
        list.to_string().replacen("{\"hosts\"", "{\"n\":null,\"hosts\"", 1) + " \n",
    ];
    for text in &texts {
        let expected = read_list(text.as_bytes(), 3).expect("a list");
        assert_eq!((expected.seq, expected.hosts.len(), expected.invalid_entries.len()), (12345, 2, 1));
        for (chunk_bytes, max_step_entries) in [(1, 1), (1, 100), (7, 2), (64, 1)] {
            let (mut reader, mut entries) = (Reader::new(3), Vec::new());
            for bytes in text.as_bytes().chunks(chunk_bytes) {
                reader.push(bytes).expect("within bounds");
                loop {
                    let before = entries.len();
                    let more = reader.read(max_step_entries, &mut entries).expect("a list");
                    assert!(entries.len() - before <= max_step_entries);
                    if !more {
                        break;
                    }
                }
            }
            let Envelope { seq, is_complete } = reader.end().expect("a list");
            assert_eq!((seq, is_complete), (12345, true));
            let hosts: Vec<ServerEntry> = entries.into_iter().filter_map(Result::ok).collect();
            assert_eq!(
                hosts, expected.hosts,
                "chunks of {chunk_bytes} bytes, steps of {max_step_entries} entries"
            );
        }
    }
}
