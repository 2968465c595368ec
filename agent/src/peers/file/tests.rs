//! Tests of the shared files, and helpers for the tests of their contents.

mod earlier_version;

use super::*;

/// A temporary folder for one test, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates the folder. `name` must differ between tests of one process.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("balancer-agent-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

/// The owner of the files in the tests.
pub fn owner() -> Owner {
    let names = |text: &str| text.split(' ').map(str::to_owned).collect();
    let (agent, listen) = ("n0".into(), "127.0.0.1:1".into());
    Owner { agent, listen, zones: names("a b"), classes: names("read pay") }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn only_temporary_files_of_ended_processes_are_removed() {
    let folder = Folder::new("abandoned");
    let ended_process = std::process::Command::new("true").spawn().and_then(|mut child| {
        let id = child.id();
        child.wait().map(|_| id)
    });
    let ended_pid = ended_process.expect("a process that has ended");
    let temporary_file = |kind: &str, pid: u32| format!("{}-{kind}.{pid}.new", owner().file_name_stem());
    let abandoned = [
        temporary_file("cordons", ended_pid),
        temporary_file("learned", ended_pid),
        temporary_file("cordons", std::process::id()),
    ];
    let kept = [
        temporary_file("cordons", 1),
        format!("{}-cordons.json", owner().file_name_stem()),
        format!("{}-cordons.x.new", owner().file_name_stem()),
        format!("balancer-agent-other-cordons.{ended_pid}.new"),
        format!("note.{ended_pid}.new"),
    ];
    for name in abandoned.iter().chain(&kept) {
        fs::write(folder.0.join(name), "x").expect("written");
    }
    remove_abandoned_temporary_files(&folder.0, &owner());
    let names = fs::read_dir(&folder.0).expect("a folder").flatten().map(|entry| entry.file_name());
    let mut names: Vec<String> = names.filter_map(|name| name.into_string().ok()).collect();
    names.sort();
    let mut kept = kept.to_vec();
    kept.sort();
    assert_eq!(names, kept);
}
