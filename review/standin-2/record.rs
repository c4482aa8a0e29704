//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file `record.txt` in `dir`.
    pub fn create(dir: &Path) -> Record {
        let file = File::create(dir.join("record.txt")).expect("the folder is writable");
        Record {
            started_at: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes one line.
    pub fn write(&self, line: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        writeln!(file, "{at:9.3} {line}").expect("the file is writable");
    }

    /// Writes one line and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }

    pub fn flush(&self) {
        let mut file = self.file.lock().expect("no thread panics with the lock");
        file.flush().expect("the file is writable");
    }
}
