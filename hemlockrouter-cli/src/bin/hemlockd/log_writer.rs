//! Writes log lines to standard output without blocking the threads that log.
//!
//! Log lines go into a bounded buffer, and a separate thread writes the buffer in batches. If the
//! reader of standard output is too slow and the buffer is full, further lines are dropped and
//! counted. A log line of its own then reports the number of dropped lines.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The largest size of the buffered log lines, in bytes.
const BUFFER_MAX_BYTES: usize = 256 << 10;

/// The pause between the writing of two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time that the process waits at its end for the last log lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A writer that buffers log lines for the writing thread.
#[derive(Clone)]
pub(crate) struct LogWriter {
    shared: Arc<SharedBuffer>,
}

#[derive(Default)]
struct SharedBuffer {
    pending: Mutex<PendingLines>,
    buffer_changed: Condvar,
}

#[derive(Default)]
struct PendingLines {
    lines: Vec<u8>,
    dropped_count: u64,
    is_writing: bool,
}

impl LogWriter {
    /// Starts the thread that writes the buffered log lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn start() -> io::Result<LogWriter> {
        let shared = Arc::new(SharedBuffer::default());
        let writer_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name(String::from("log"))
            .spawn(move || writer_shared.write_all())?;
        Ok(LogWriter { shared })
    }

    /// Waits until all log lines are written, at most for [`FLUSH_TIMEOUT`].
    pub(crate) fn flush_all(&self) {
        let started = Instant::now();
        let mut pending = self.shared.lock();
        while !pending.lines.is_empty() || pending.is_writing {
            let remaining = FLUSH_TIMEOUT.saturating_sub(started.elapsed());
            if remaining.is_zero() {
                return;
            }
            let wait_result = self.shared.buffer_changed.wait_timeout(pending, remaining);
            pending = wait_result.expect("the writing thread does not panic").0;
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.shared.lock();
        if pending.lines.len() + line.len() > BUFFER_MAX_BYTES {
            pending.dropped_count += 1;
            return Ok(line.len());
        }
        let was_empty = pending.lines.is_empty();
        pending.lines.extend_from_slice(line);
        if was_empty {
            self.shared.buffer_changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        let pending = self.pending.lock();
        pending.expect("the writing thread does not panic")
    }

    /// Writes batches of log lines until the process ends.
    fn write_all(&self) {
        loop {
            let batch = self.next_batch();
            // An error in writing the log can't itself be logged.
            let _ = io::stdout().lock().write_all(&batch);
            self.lock().is_writing = false;
            self.buffer_changed.notify_all();
            thread::sleep(BATCH_INTERVAL);
        }
    }

    fn next_batch(&self) -> Vec<u8> {
        let mut pending = self.lock();
        while pending.lines.is_empty() {
            let wait_result = self.buffer_changed.wait(pending);
            pending = wait_result.expect("a logging thread does not panic");
        }
        pending.is_writing = true;
        let mut batch = std::mem::take(&mut pending.lines);
        let dropped_count = std::mem::take(&mut pending.dropped_count);
        if dropped_count > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines left out\",\"count\":{dropped_count}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        batch
    }
}
