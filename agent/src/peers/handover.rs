//! What passes from a process to the one that takes over from it: the listening socket, and what the operators have
//! said of the renderers.
//!
//! Both run side by side for a while and are one agent, so a call at either has to hold in both. They share a small
//! file in `$TMPDIR` with the last word on each renderer and its time; the later word wins, whoever wrote it.

use micasail::{Lesson, Lessons, ServerId, Time};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, Metadata};
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often a process looks for what the other one has been told.
pub const LOOK: Duration = Duration::from_millis(50);
/// The form of the file; one in another form is not this program's.
const FORM: u32 = 1;
/// No file of this program is longer.
const FILE_MOST: u64 = 256 << 10;
/// A renderer that came back so long ago is an ordinary one, and no process runs beside another for nearly as long.
const FORGET: Duration = Duration::from_secs(600);
const FILE: &str = "bellcroft-cordons.json";
const LEARNED: &str = "bellcroft-learned.json";
/// How often that is written, and how old it may be to be of use.
pub const LEARN: Duration = Duration::from_secs(1);
const STALE: Duration = Duration::from_secs(5);

/// The clients' listening socket that the platform holds, if it holds one; the error is for a person.
pub fn listener(var: impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, String> {
    let Some(text) = var("PROXY_LISTEN_FD").filter(|text| !text.is_empty()) else { return Ok(None) };
    let bad = |why: &str| format!("PROXY_LISTEN_FD is {text:?}: {why}");
    let fd: RawFd = text.parse().map_err(|_| bad("a descriptor was expected"))?;
    let open = fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| bad("no such descriptor is open"))?;
    if fd < 3 || !open.as_os_str().as_encoded_bytes().starts_with(b"socket:") {
        return Err(bad("it is no socket"));
    }
    let listener = adopt(fd);
    listener.set_nonblocking(true).map_err(|e| bad(&e.to_string()))?;
    Ok(Some(listener))
}

#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> TcpListener {
    // SAFETY: the descriptor was found open just above, before the runtime or anything else of this process has
    // opened one of its own, so it is the inherited one; the platform hands it over for this process to own, and it is
    // adopted only here, once.
    unsafe { TcpListener::from_raw_fd(fd) }
}

/// The operators' last word on a renderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Word {
    /// It is out of use.
    pub out: bool,
    /// When that was said, in Unix microseconds.
    pub at: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    form: u32,
    words: BTreeMap<String, Word>,
}

/// What tells one replacement of the file from the next.
type Stamp = (u64, i64, i64, u64);

/// The operators' words on all renderers, and the file that they share with a process beside this one.
pub struct Cordons {
    file: Option<PathBuf>,
    words: BTreeMap<String, Word>,
    seen: Option<Stamp>,
}

impl Cordons {
    /// Knows none; reads and writes them in this folder, if there is one.
    pub fn new(folder: Option<PathBuf>) -> Self {
        Cordons { file: folder.map(|folder| folder.join(FILE)), words: BTreeMap::new(), seen: None }
    }

    /// Whether a renderer is out of use by the last word on it.
    pub fn out(&self, name: &str) -> bool {
        self.words.get(name).is_some_and(|word| word.out)
    }

    /// Whether there has been any word on a renderer.
    pub fn knows(&self, name: &str) -> bool {
        self.words.contains_key(name)
    }

    /// Keeps a word; an error leaves it said in this process alone.
    pub fn say(&mut self, name: &str, out: bool) -> io::Result<()> {
        let before = self.words.get(name).map_or(0, |word| word.at);
        let at = unix_now().max(before + 1);
        self.words.insert(name.to_owned(), Word { out, at });
        self.write()
    }

    /// The words that another process has written since the last look.
    pub fn look(&mut self) -> Vec<(String, Word)> {
        let Some(file) = &self.file else { return Vec::new() };
        // Without a file nobody has said anything.
        let Ok(stamp) = fs::metadata(file).map(|metadata| stamp(&metadata)) else { return Vec::new() };
        if self.seen == Some(stamp) {
            return Vec::new();
        }
        self.seen = Some(stamp);
        let theirs = match read::<File>(file) {
            Ok(File { form: FORM, words }) => words,
            other => {
                let why = other.err().unwrap_or_else(|| format!("its form is not {FORM}"));
                tracing::warn!(target: "handover", "{} is not taken: {why}", file.display());
                return Vec::new();
            }
        };
        let lost = self.words.iter().any(|(name, own)| theirs.get(name).is_none_or(|word| word.at < own.at));
        let later = |(name, word): &(String, Word)| self.words.get(name).is_none_or(|own| own.at < word.at);
        let news: Vec<_> = theirs.into_iter().filter(later).collect();
        self.words.extend(news.iter().cloned());
        if lost {
            // Both replaced it at once, and this process's word is gone from it.
            if let Err(why) = self.write() {
                tracing::warn!(target: "handover", "{why}");
            }
        }
        news
    }

    fn write(&mut self) -> io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        let forget = unix_now().saturating_sub(FORGET.as_micros() as u64);
        self.words.retain(|_, word| word.out || word.at > forget);
        replace(file, &File { form: FORM, words: self.words.clone() })
    }
}

/// What the process has learned of its renderers, under their names; a new one begins with it.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Learned {
    form: u32,
    at: u64,
    level: f64,
    median: f64,
    class_pace: Vec<f64>,
    warm_sent: f64,
    servers: BTreeMap<String, LearnedServer>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LearnedServer {
    started: Option<u64>,
    limit: f64,
    cut: bool,
    stretch: f64,
    pace: f64,
    samples: u32,
    cold_sent: f64,
    suspect: bool,
}

/// Keeps what has been learned for the next process. A failure costs that one a slow start and nothing else.
pub fn keep(folder: &Path, lessons: Lessons, name: impl Fn(ServerId) -> Option<String>) -> io::Result<()> {
    let server = |l: Lesson| {
        let Lesson { server, started, limit, cut, stretch, pace, samples, cold_sent, suspect } = l;
        let started = started.map(|at| at.0);
        Some((
            name(server)?,
            LearnedServer { started, limit, cut, stretch, pace, samples, cold_sent, suspect },
        ))
    };
    let Lessons { level, median, class_pace, warm_sent, servers } = lessons;
    let servers = servers.into_iter().filter_map(server).collect();
    let learned = Learned { form: FORM, at: unix_now(), level, median, class_pace, warm_sent, servers };
    replace(&folder.join(LEARNED), &learned)
}

/// What the process beside this one has learned, if that is fresh.
pub fn lessons(folder: &Path, id: impl Fn(&str) -> Option<ServerId>) -> Option<Lessons> {
    let file = folder.join(LEARNED);
    fs::metadata(&file).ok()?;
    let read = read::<Learned>(&file).and_then(|learned| match learned.form {
        FORM => Ok(learned),
        form => Err(format!("its form is {form}, not {FORM}")),
    });
    let learned = read
        .inspect_err(|why| tracing::warn!(target: "handover", "{} is not taken: {why}", file.display()))
        .ok()?;
    if unix_now().saturating_sub(learned.at) > STALE.as_micros() as u64 {
        return None;
    }
    let server = |(name, l): (String, LearnedServer)| {
        let LearnedServer { started, limit, cut, stretch, pace, samples, cold_sent, suspect } = l;
        let (server, started) = (id(&name)?, started.map(Time));
        Some(Lesson { server, started, limit, cut, stretch, pace, samples, cold_sent, suspect })
    };
    let Learned { level, median, class_pace, warm_sent, servers, .. } = learned;
    let servers = servers.into_iter().filter_map(server).collect();
    Some(Lessons { level, median, class_pace, warm_sent, servers })
}

/// Replaces a file whole: who reads it finds the old text or the new one.
fn replace(file: &Path, content: &impl Serialize) -> io::Result<()> {
    let new = file.with_extension(format!("{}.new", std::process::id()));
    fs::write(&new, serde_json::to_vec(content)?)?;
    fs::rename(&new, file)
}

fn stamp(metadata: &Metadata) -> Stamp {
    (metadata.ino(), metadata.mtime(), metadata.mtime_nsec(), metadata.len())
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T, String> {
    if fs::metadata(file).map_err(|e| e.to_string())?.len() > FILE_MOST {
        return Err("it is too long".into());
    }
    let text = fs::read(file).map_err(|e| e.to_string())?;
    serde_json::from_slice(&text).map_err(|e| e.to_string())
}

fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::fd::IntoRawFd;

    /// A folder of its own for a test, gone at its end.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("bellcroft-{name}-{}", std::process::id()));
            fs::create_dir_all(&path).expect("a folder");
            Folder(path)
        }

        fn process(&self) -> Cordons {
            Cordons::new(Some(self.0.clone()))
        }
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
        assert_eq!(
            news.iter().map(|(name, word)| (name.as_str(), word.out)).collect::<Vec<_>>(),
            [("a", true)]
        );
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
        let whole = br#"{"form":1,"words":{"a":{"out":true,"at":5}}}"#;
        let foreign: [&[u8]; 5] = [
            &whole[..20],
            b"",
            b"\xff\xff",
            br#"{"form":2,"words":{}}"#,
            br#"{"form":1,"words":{},"more":1}"#,
        ];
        for text in foreign {
            fs::write(folder.0.join(FILE), text).expect("written");
            assert_eq!(process.look(), [], "{text:?}");
        }
        process.say("b", true).expect("written");
        let mut next = folder.process();
        next.look();
        assert!(next.out("b"));
        fs::write(folder.0.join(FILE), whole).expect("written");
        next.look();
        assert!(next.out("a"));
        assert!(Cordons::new(Some(folder.0.join("nowhere"))).say("a", true).is_err());
    }

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
        keep(&folder.0, told.clone(), |id| (id == server).then(|| "a".to_owned())).expect("written");
        let id = |name: &str| (name == "a").then_some(server);
        assert_eq!(lessons(&folder.0, id), Some(told));
        let file = folder.0.join(LEARNED);
        let text = fs::read_to_string(&file).expect("text");
        for odd in [
            &text[..text.len() / 2],
            &text.replace("\"form\":1", "\"form\":2"),
            &text.replace("\"at\":", "\"at\":1,\"was\":"),
        ] {
            fs::write(&file, odd).expect("written");
            assert_eq!(lessons(&folder.0, id), None, "{odd}");
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
}
