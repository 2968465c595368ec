use super::*;
use crate::peers::file::tests::{owner, Folder};
use tokio::task::{spawn_local, LocalSet};

/// Long enough for any machine.
const LONG: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_word_is_written_until_it_is_on_disk_and_who_waits_hears_of_failures() {
    let folder = Folder::new("saver");
    let missing = folder.0.join("missing");
    let cordons = Rc::new(RefCell::new(Cordons::new(Some(missing.clone()), owner())));
    let (saver, writer) = (Rc::new(Saver::default()), Rc::new(Writer::start().expect("a thread")));
    let tasks = LocalSet::new();
    let test = tasks.run_until(async {
        spawn_local(saver.clone().run(cordons.clone(), writer));
        cordons.borrow_mut().say("a", true, Now::read());
        let revision = cordons.borrow().revision();
        for _ in 0..3 {
            let failed = saver.saved(revision).await.expect_err("no folder");
            assert!(failed.to_string().contains("written"), "{failed}");
        }
        assert_eq!(cordons.borrow().unsaved(), 1);
        std::fs::create_dir(&missing).expect("a folder");
        while !cordons.borrow().is_saved() {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(saver.saved(revision).await, Ok(()));
        assert_eq!(cordons.borrow().unsaved(), 0);
        let mut next = Cordons::new(Some(missing.clone()), owner());
        next.look(Now::read());
        assert!(next.out("a"));
    });
    timeout(LONG, test).await.expect("it is written at last");
}
