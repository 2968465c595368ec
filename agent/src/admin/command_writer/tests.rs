use super::*;
use crate::peers::command::Target;
use crate::peers::file::tests::{owner, Folder};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Long enough for any machine.
const LONG: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_command_is_written_until_it_is_on_disk_and_its_caller_gets_each_failure() {
    let folder = Folder::new("saver");
    let missing = folder.0.join("missing");
    let cordons = Rc::new(RefCell::new(Cordons::new(Some(missing.clone()), owner())));
    let (commands, writer) = (Rc::new(CommandWriter::default()), Rc::new(Writer::start().expect("a thread")));
    let server = Target::Server("a".into());
    let tasks = LocalSet::new();
    let test = tasks.run_until(async {
        spawn_local(commands.clone().run(cordons.clone(), writer));
        cordons.borrow_mut().record(server.clone(), true, ClockReading::now());
        let revision = cordons.borrow().revision();
        for _ in 0..3 {
            let failed = commands.wait_until_saved(revision).await.expect_err("there is no folder");
            assert!(failed.to_string().contains("written"), "{failed}");
        }
        assert_eq!(cordons.borrow().unsaved_count(), 1);
        std::fs::create_dir(&missing).expect("a folder");
        while !cordons.borrow().is_saved() {
            sleep(Duration::from_millis(5)).await;
        }
        commands.wait_until_saved(revision).await.expect("on disk");
        assert_eq!(cordons.borrow().unsaved_count(), 0);
        let mut next = Cordons::new(Some(missing.clone()), owner());
        next.poll(ClockReading::now());
        assert!(next.is_withdrawn(&server));
    });
    timeout(LONG, test).await.expect("it is written at last");
}
