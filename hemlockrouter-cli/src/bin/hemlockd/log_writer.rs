//! Writes log lines to standard output without ever blocking whoever logs.
//!
//! Lines go into a buffer of bounded size, and a thread of its own writes them out in batches. While
//! the reader of the log is slower than the log, lines are left out and counted; the count is a line
//! of its own.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How much is held for a reader that is slow, in bytes.
const BUFFER_MAX_BYTES: usize = 256 << 10;

/// The pause between two batches.
const BATCH_EVERY: Duration = Duration::from_millis(100);

/// How long the end of the process waits for the last lines.
const FLUSH_MAX: Duration = Duration::from_millis(500);

/// Takes lines to be written.
#[derive(Clone)]
pub(crate) struct LogWriter {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    pending: Mutex<Pending>,
    changed: Condvar,
}

#[derive(Default)]
struct Pending {
    lines: Vec<u8>,
    left_out: u64,
    is_writing: bool,
}

impl LogWriter {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Returns that the thread can't be started.
    pub(crate) fn start() -> io::Result<LogWriter> {
        let shared = Arc::new(Shared::default());
        let writing = Arc::clone(&shared);
        thread::Builder::new()
            .name(String::from("log"))
            .spawn(move || writing.write_all())?;
        Ok(LogWriter { shared })
    }

    /// Waits until all lines are written, but not for long.
    pub(crate) fn finish(&self) {
        let started = Instant::now();
        let mut pending = self.shared.lock();
        while !pending.lines.is_empty() || pending.is_writing {
            let left = FLUSH_MAX.saturating_sub(started.elapsed());
            if left.is_zero() {
                return;
            }
            let waited = self.shared.changed.wait_timeout(pending, left);
            pending = waited.expect("the writing thread does not panic").0;
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.shared.lock();
        if pending.lines.len() + line.len() > BUFFER_MAX_BYTES {
            pending.left_out += 1;
            return Ok(line.len());
        }
        let was_empty = pending.lines.is_empty();
        pending.lines.extend_from_slice(line);
        if was_empty {
            self.shared.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        let pending = self.pending.lock();
        pending.expect("the writing thread does not panic")
    }

    /// Writes batches for as long as the process runs.
    fn write_all(&self) {
        loop {
            let batch = self.next_batch();
            // A log that can't be written has nowhere to complain.
            let _ = io::stdout().lock().write_all(&batch);
            self.lock().is_writing = false;
            self.changed.notify_all();
            thread::sleep(BATCH_EVERY);
        }
    }

    fn next_batch(&self) -> Vec<u8> {
        let mut pending = self.lock();
        while pending.lines.is_empty() {
            let waited = self.changed.wait(pending);
            pending = waited.expect("whoever logs does not panic");
        }
        pending.is_writing = true;
        let mut batch = std::mem::take(&mut pending.lines);
        let left_out = std::mem::take(&mut pending.left_out);
        if left_out > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines left out\",\"count\":{left_out}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        batch
    }
}
