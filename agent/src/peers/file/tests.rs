//! The files' tests, and what the tests of their contents share.

mod earlier_version;

use super::*;

/// A folder of its own for a test, gone at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// A new one.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("balancer-agent-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

/// The owner of the tests' files.
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
fn what_ended_processes_left_half_done_is_removed_and_nothing_else() {
    let folder = Folder::new("abandoned");
    let ended = std::process::Command::new("true").spawn().and_then(|mut child| {
        let id = child.id();
        child.wait().map(|_| id)
    });
    let ended = ended.expect("a process that has ended");
    let own = |what: &str, process: u32| format!("{}-{what}.{process}.new", owner().file_name_stem());
    let gone = [own("cordons", ended), own("learned", ended), own("cordons", std::process::id())];
    let stay = [
        own("cordons", 1),
        format!("{}-cordons.json", owner().file_name_stem()),
        format!("{}-cordons.x.new", owner().file_name_stem()),
        format!("balancer-agent-other-cordons.{ended}.new"),
        format!("note.{ended}.new"),
    ];
    for name in gone.iter().chain(&stay) {
        fs::write(folder.0.join(name), "x").expect("written");
    }
    remove_abandoned(&folder.0, &owner());
    let names = fs::read_dir(&folder.0).expect("a folder").flatten().map(|entry| entry.file_name());
    let mut names: Vec<String> = names.filter_map(|name| name.into_string().ok()).collect();
    names.sort();
    let mut stay = stay.to_vec();
    stay.sort();
    assert_eq!(names, stay);
}
