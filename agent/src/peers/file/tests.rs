//! The files' tests, and what the tests of all that is written to them share.

use super::*;
use std::path::PathBuf;

/// A folder of its own for a test, gone at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// A new one.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("bellcroft-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

/// The owner of the tests' files.
pub fn owner() -> Owner {
    let words = |text: &str| text.split(' ').map(str::to_owned).collect();
    let (agent, listen) = ("n0".into(), "127.0.0.1:1".into());
    Owner { agent, listen, zones: words("a b"), classes: words("read pay") }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
