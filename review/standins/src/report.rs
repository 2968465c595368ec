//! The record of a case, `record.txt`: what was sent, answered and run, with times in seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens the record in the folder that `CASE_DIR` names.
    pub fn open() -> Self {
        let folder = PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR is not set"));
        let file =
            File::create(folder.join("record.txt")).unwrap_or_else(|error| unable(&format!("record.txt: {error}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line with the time at which the event happened.
    pub fn at(&self, when: Instant, text: &str) {
        let seconds = when.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{seconds:9.4} {text}");
    }

    /// Writes a line with the time of now.
    pub fn line(&self, text: &str) {
        self.at(Instant::now(), text);
    }

    /// Writes a line and shows it as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Whether the case plays its disruption: unless `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Ends a case that could not run.
pub fn unable(why: &str) -> ! {
    println!("the case could not run: {why}");
    std::process::exit(2);
}

/// Sleeps until an instant; not at all if it is over.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1e3)
}
