//! What the tests of `testbed scale` share: the testbed as a process, on a file of the test's own.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::OnceLock;

/// The programs beside the testbed, as they are now: a test of the testbed alone would find those of an earlier day.
pub fn build() {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--quiet", "--locked", "--workspace", "--bins", "--examples"]).current_dir(root);
        assert!(build.status().expect("cargo runs").success());
    });
}

/// The agent beside the testbed, as it is now.
#[allow(dead_code)]
pub fn agent() -> PathBuf {
    build();
    let own = std::env::current_exe().expect("a program");
    own.parent().and_then(Path::parent).expect("a folder").join("balancer-agent")
}

/// A file for the testbed, gone with its folder.
pub struct File {
    folder: tempfile::TempDir,
}

impl File {
    pub fn new(text: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("small.toml"), text).expect("a file");
        File { folder }
    }

    pub fn path(&self) -> PathBuf {
        self.folder.path().join("small.toml")
    }

    fn slopes(&self) -> PathBuf {
        self.folder.path().join("slopes.toml")
    }

    /// Runs the test of this name by this file.
    pub fn scale(&self, test: &str) -> Output {
        build();
        let mut testbed = Command::new(env!("CARGO_BIN_EXE_testbed"));
        testbed.args(["scale", test]).arg(self.path()).arg("--slopes").arg(self.slopes());
        testbed.env_remove("CARGO").stdin(Stdio::null()).output().expect("it runs")
    }

    /// Its slopes, each of which it has printed as well.
    pub fn slopes_of(&self, output: &Output) -> toml::Table {
        let (out, err) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        assert_eq!(output.status.code(), Some(0), "{out}{err}");
        let text = std::fs::read_to_string(self.slopes()).expect("slopes");
        let table: toml::Table = text.parse().expect("slopes that can be read");
        let slopes = table["slope"].as_table().expect("a table of slopes").clone();
        for (name, slope) in &slopes {
            let what = slope["what"].as_str().expect("what it is");
            assert!(out.contains(what), "{name} is not printed: {out}");
            for key in ["at_zero", "slope", "low", "high", "from", "to"] {
                assert!(slope[key].as_float().is_some_and(f64::is_finite), "{name}.{key}: {slope:?}");
            }
        }
        slopes
    }
}

/// A file that differs from `good` in this one line is refused in one line that names the file, the key and what is wrong
/// of its value.
pub fn refuses(test: &str, good: &str, key: &str, value: &str, wrong: &str) {
    let mut lines: Vec<String> =
        good.lines().filter(|line| !line.starts_with(&format!("{key} ="))).map(str::to_owned).collect();
    lines.push(format!("{key} = {value}"));
    let file = File::new(&lines.join("\n"));
    let output = file.scale(test);
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{key} = {value}: {err}");
    assert_eq!(err.lines().count(), 1, "{err}");
    let says = err.contains(&file.path().display().to_string()) && err.contains(key) && err.contains(wrong);
    assert!(says, "{key} = {value}: {err}");
    assert!(output.stdout.is_empty(), "{:?}", output.stdout);
}
