use super::*;
use crate::peers::command::Target;
use crate::peers::file::tests::{owner, Folder};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Generous, so that a slow machine does not fail the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_failed_write_is_reported_to_each_caller_and_retried_until_it_succeeds() {
    let folder = Folder::new("command-writer");
    let missing = folder.0.join("missing");
    let cordons = Rc::new(RefCell::new(Cordons::new(Some(missing.clone()), owner())));
    let (command_writer, writer) =
        (Rc::new(CommandWriter::default()), Rc::new(Writer::start().expect("a thread")));
    let server = Target::Server("a".into());
    let tasks = LocalSet::new();
    let test = tasks.run_until(async {
        spawn_local(command_writer.clone().run(cordons.clone(), writer));
        cordons.borrow_mut().record(server.clone(), true, ClockReading::now());
        let revision = cordons.borrow().revision();
        for _ in 0..3 {
            let error = command_writer.wait_until_saved(revision).await.expect_err("there is no folder");
            assert!(error.to_string().contains("written"), "{error}");
        }
        assert_eq!(cordons.borrow().unsaved_count(), 1);
        std::fs::create_dir(&missing).expect("a folder");
        while !cordons.borrow().is_saved() {
            sleep(Duration::from_millis(5)).await;
        }
        command_writer.wait_until_saved(revision).await.expect("on disk");
        assert_eq!(cordons.borrow().unsaved_count(), 0);
        let mut next = Cordons::new(Some(missing.clone()), owner());
        next.poll(ClockReading::now());
        assert!(next.is_withdrawn(&server));
    });
    timeout(TEST_TIMEOUT, test).await.expect("the command is on disk in time");
}
