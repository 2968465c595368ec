use super::*;
use std::os::fd::IntoRawFd;

/// A folder of its own for a test, gone at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("balancer-agent-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn process(&self) -> Cordons {
        Cordons::new(Some(self.0.clone()), owner())
    }
}

fn owner() -> Owner {
    let words = |text: &str| text.split(' ').map(str::to_owned).collect();
    let (agent, listen) = ("n0".into(), "127.0.0.1:1".into());
    Owner { agent, listen, zones: words("a b"), classes: words("read pay") }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_word_said_at_either_process_holds_in_both() {
    let folder = Folder::new("both");
    let (mut old, mut new) = (folder.process(), folder.process());
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
    let (mut old, mut new) = (folder.process(), folder.process());
    old.say("a", true).expect("written");
    new.say("b", true).expect("written");
    old.look();
    new.look();
    let mut third = folder.process();
    third.look();
    assert!(old.out("b") && new.out("a") && third.out("a") && third.out("b"));
}

#[test]
fn a_torn_or_foreign_file_is_ignored_and_replaced() {
    let folder = Folder::new("torn");
    let mut process = folder.process();
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
    let mut next = folder.process();
    next.look();
    assert!(next.out("b"));
    fs::write(&file, whole).expect("written");
    next.look();
    assert!(next.out("a"));
    assert!(Cordons::new(Some(folder.0.join("nowhere")), owner()).say("a", true).is_err());
}

#[test]
fn what_was_learned_is_read_back_while_it_is_fresh() {
    let folder = Folder::new("learned");
    let server = ServerId(7);
    let (started, samples) = (Some(Time(3)), 9);
    let lesson = ServerSnapshot {
        server,
        started,
        limit: 4.5,
        cut: true,
        stretch: 1.5,
        pace: 0.3,
        samples,
        cold_sent: 0.5,
        suspect: true,
    };
    let told =
        Snapshot { level: 0.5, median: 0.2, class_pace: vec![0.1], warm_sent: 2.0, servers: vec![lesson] };
    keep(&folder.0, &owner(), told.clone(), |id| (id == server).then(|| "a".to_owned())).expect("written");
    let id = |name: &str| (name == "a").then_some(server);
    assert_eq!(lessons(&folder.0, &owner(), id), Some(told));
    let file = folder.0.join(owner().file(LEARNED));
    let text = fs::read_to_string(&file).expect("text");
    for odd in [
        &text[..text.len() / 2],
        &text.replace("\"form\":2", "\"form\":1"),
        &text.replace("\"read\",\"pay\"", "\"pay\",\"read\""),
        &text.replace("\"at\":", "\"at\":1,\"was\":"),
    ] {
        fs::write(&file, odd).expect("written");
        assert_eq!(lessons(&folder.0, &owner(), id), None, "{odd}");
    }
}

#[test]
fn an_inherited_listener_is_adopted_and_nothing_else_is() {
    let adopted = |text: &str| listener(|name| (name == "PROXY_LISTEN_FD").then(|| text.to_owned()));
    assert!(adopted("").expect("none").is_none());
    let file = fs::File::open("/proc/self/status").expect("a file").into_raw_fd().to_string();
    for text in ["x", "-1", "0", "99999", &file] {
        assert!(adopted(text).is_err(), "{text}");
    }
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = held.local_addr().expect("an address");
    let listener = adopted(&held.into_raw_fd().to_string()).expect("a listener").expect("one");
    assert_eq!(listener.local_addr().expect("an address"), address);
}
