//! What the tests of the testbed's own program share: the programs that they start, and one play at a time.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Mutex, MutexGuard, OnceLock};

/// One play at a time: each wants the machine for itself.
pub fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A program that is built beside this test, as it is now: `cargo test --test plays` alone builds neither the agent nor
/// the example, and would find those of an earlier day.
pub fn built(name: &str) -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--quiet", "--locked", "--workspace", "--bins", "--examples"]).current_dir(root);
        assert!(build.status().expect("cargo runs").success());
    });
    let own = std::env::current_exe().expect("a program");
    own.parent().and_then(Path::parent).expect("a folder").join(name)
}

/// The wrong agent under the name of its fault: by a link, as a copy that is being written when another thread starts a
/// process stays open for writing in that one for a moment, and cannot be started then.
pub fn wrong(folder: &Path, how: &str) -> PathBuf {
    let program = folder.join(how);
    std::fs::hard_link(built("examples/wrong_agent"), &program).expect("a link");
    program
}

/// A folder on the file system of what is built.
pub fn beside() -> tempfile::TempDir {
    let examples = built("examples");
    tempfile::Builder::new().prefix("wrong-").tempdir_in(examples).expect("a folder")
}

/// The testbed, told to run this.
pub fn testbed(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(args).env_remove("CARGO").stdin(Stdio::null());
    command
}

/// What a program printed.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
