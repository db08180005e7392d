//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the time of day, as Unix time in ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A file with one line for each thing that happened.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let elapsed_s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{elapsed_s:8.3} s  {text}").expect("the record can be written");
    }
}
