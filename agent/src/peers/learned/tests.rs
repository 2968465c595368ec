use super::super::file::tests::{owner, Folder};
use super::*;

#[test]
fn what_was_learned_is_read_back_while_it_is_fresh() {
    let folder = Folder::new("learned");
    let server = ServerId(7);
    let (started, samples) = (Some(Time(3)), 9);
    let lesson = Lesson {
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
        Lessons { level: 0.5, median: 0.2, class_pace: vec![0.1], warm_sent: 2.0, servers: vec![lesson] };
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
