use super::super::file::tests::{owner, Folder};
use super::*;

fn new_process(folder: &Folder) -> Cordons {
    Cordons::new(Some(folder.0.clone()), owner())
}

#[test]
fn a_word_said_at_either_process_holds_in_both() {
    let folder = Folder::new("both");
    let (mut old, mut new) = (new_process(&folder), new_process(&folder));
    old.say("a", true).expect("written");
    let news = new.look();
    assert_eq!(news.iter().map(|(name, word)| (name.as_str(), word.out)).collect::<Vec<_>>(), [("a", true)]);
    assert_eq!(new.look(), []);
    new.say("a", false).expect("written");
    new.say("b", true).expect("written");
    old.look();
    assert!(!old.out("a") && old.out("b"));
    assert_eq!(fs::read_dir(&folder.0).expect("a folder").count(), 1, "nothing else is left");
}

/// Both replace the file before either has looked: the first one's word must not be lost.
#[test]
fn replacements_that_cross_lose_no_word() {
    let folder = Folder::new("cross");
    let (mut old, mut new) = (new_process(&folder), new_process(&folder));
    old.say("a", true).expect("written");
    new.say("b", true).expect("written");
    old.look();
    new.look();
    let mut third = new_process(&folder);
    third.look();
    assert!(old.out("b") && new.out("a") && third.out("a") && third.out("b"));
}

#[test]
fn a_torn_or_foreign_file_is_ignored_and_replaced() {
    let folder = Folder::new("torn");
    let mut process = new_process(&folder);
    let of = serde_json::to_string(&owner()).expect("text");
    let whole = format!(r#"{{"form":2,"of":{of},"words":{{"a":{{"out":true,"at":5}}}}}}"#);
    let file = folder.0.join(owner().file(CORDONS));
    let foreign: [&[u8]; 6] = [
        &whole.as_bytes()[..20],
        b"",
        b"\xff\xff",
        &whole.replace("\"form\":2", "\"form\":1").into_bytes(),
        &whole.replace("\"words\"", "\"more\":1,\"words\"").into_bytes(),
        &whole.replace("127.0.0.1:1", "127.0.0.1:2").into_bytes(),
    ];
    for text in foreign {
        fs::write(&file, text).expect("written");
        assert_eq!(process.look(), [], "{text:?}");
    }
    process.say("b", true).expect("written");
    let mut next = new_process(&folder);
    next.look();
    assert!(next.out("b"));
    fs::write(&file, whole).expect("written");
    next.look();
    assert!(next.out("a"));
    assert!(Cordons::new(Some(folder.0.join("nowhere")), owner()).say("a", true).is_err());
}
