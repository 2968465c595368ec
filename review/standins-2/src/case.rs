//! One run of a case: its folder, its record, its verdict and the processes that it started.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A run that takes longer than this could not run.
const LIMIT: Duration = Duration::from_secs(112);

/// Processes that this one started and that have not been waited for.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
/// Folders to remove at the end.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static STARTED: OnceLock<Instant> = OnceLock::new();

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn prctl(option: i32, argument: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

/// Sends a signal to a process that this one started.
pub fn signal(pid: i32, number: i32) {
    // SAFETY: kill(2) takes two numbers and touches no memory of this process.
    unsafe { kill(pid, number) };
}

/// To be called in a child between fork and exec: it shall not outlive this process.
pub fn end_with_parent() {
    // SAFETY: prctl(2) with these arguments touches no memory of this process.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) };
}

/// Remembers a child, so that it is ended with the run.
pub fn started_child(pid: i32) {
    CHILDREN.lock().unwrap().push(pid);
}

/// Whether a child has ended by itself.
pub fn has_ended(pid: i32) -> bool {
    let mut status = 0;
    // SAFETY: waitpid(2) writes the status to the given place, which lives until it returns. 1 is WNOHANG.
    let ended = unsafe { waitpid(pid, &mut status, 1) } != 0;
    if ended {
        CHILDREN.lock().unwrap().retain(|child| *child != pid);
    }
    ended
}

/// A new folder that is removed at the end of the run.
pub fn temporary_folder(name: &str) -> PathBuf {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
    let folder = std::env::temp_dir().join(format!("review-2-{name}-{}-{nanos}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("no temporary folder");
    FOLDERS.lock().unwrap().push(folder.clone());
    folder
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Opens the record in the folder that is the first argument, and starts the clock.
pub fn begin(name: &str) {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case is the argument"));
    let file = File::create(folder.join("record.txt")).expect("cannot write record.txt");
    let _ = RECORD.set(Mutex::new(file));
    let _ = STARTED.set(Instant::now());
    std::panic::set_hook(Box::new(|info| {
        note(&format!("could not run: {info}"));
        end(2);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        note("could not run: it took too long");
        end(2);
    });
    note(&format!("{name}, trouble {}", if trouble() { "on" } else { "off" }));
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> f64 {
    STARTED.get().map_or(0.0, |started| started.elapsed().as_secs_f64() * 1e3)
}

/// Writes a line to the record.
pub fn note(line: &str) {
    let at = now_ms();
    if let Some(record) = RECORD.get() {
        let _ = writeln!(record.lock().unwrap_or_else(|e| e.into_inner()), "{at:10.1} {line}");
    }
}

/// Writes the verdict, ends what was started, and exits.
pub fn verdict(breaches: &[String]) -> ! {
    for breach in breaches {
        note(&format!("BROKEN {breach}"));
    }
    let text = if breaches.is_empty() {
        "the rule held".to_owned()
    } else {
        format!("the rule was broken {} times", breaches.len())
    };
    note(&text);
    println!("{text}");
    for breach in breaches.iter().take(3) {
        println!("  {breach}");
    }
    end(i32::from(!breaches.is_empty()))
}

fn end(code: i32) -> ! {
    let children = std::mem::take(&mut *CHILDREN.lock().unwrap_or_else(|e| e.into_inner()));
    for child in children {
        signal(child, SIGKILL);
        let mut status = 0;
        // SAFETY: as above; without options it waits.
        unsafe { waitpid(child, &mut status, 0) };
    }
    for folder in std::mem::take(&mut *FOLDERS.lock().unwrap_or_else(|e| e.into_inner())) {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}
