//! Limits the memory that answers of upstreams and instances use.
//!
//! A search waits for hundreds of answers at once, and a faulty upstream may send bytes without
//! end. A limit per answer is not enough on a small machine, so all answers share one memory
//! budget. An answer that does not fit into the remaining budget is lost, as if its connection had
//! broken.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::connection::NoAnswer;

/// Fraction of the process's memory that all answers together may use.
const ANSWERS_PART: f64 = 0.25;

/// Fraction of the answer memory that one answer may use.
const ANSWER_PART: f64 = 0.25;

/// Minimum size of an answer's buffer, in bytes.
const BUFFER_MIN_BYTES: usize = 1 << 10;

/// Memory budget that all answers share.
#[derive(Clone, Debug)]
pub(super) struct AnswerMemory {
    left_bytes: Arc<AtomicUsize>,
    answer_max_bytes: usize,
}

impl AnswerMemory {
    /// Creates the budget of a process that may use `memory_bytes` bytes.
    pub(super) fn new(memory_bytes: usize) -> AnswerMemory {
        let all_bytes = memory_bytes as f64 * ANSWERS_PART;
        AnswerMemory {
            left_bytes: Arc::new(AtomicUsize::new(all_bytes as usize)),
            answer_max_bytes: (all_bytes * ANSWER_PART) as usize,
        }
    }

    /// Creates an empty buffer for one answer.
    pub(super) fn buffer(&self) -> Buffer {
        Buffer {
            memory: self.clone(),
            data: Vec::new(),
            reserved_bytes: 0,
        }
    }

    /// Reads a whole body into memory.
    ///
    /// # Errors
    ///
    /// Returns [`NoAnswer::Lost`] if the connection breaks or the memory does not suffice.
    pub(super) async fn read<B>(&self, mut body: B) -> Result<Bytes, NoAnswer>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let mut buffer = self.buffer();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| NoAnswer::Lost(err.to_string()))?;
            if let Ok(data) = frame.into_data() {
                buffer.push(&data)?;
            }
        }
        Ok(Bytes::from_owner(buffer))
    }

    fn reserve(&self, bytes: usize) -> bool {
        let update = |left: usize| left.checked_sub(bytes);
        let order = Ordering::Relaxed;
        self.left_bytes.fetch_update(order, order, update).is_ok()
    }
}

/// Buffer for one answer. Its memory returns to the shared budget when the buffer is dropped.
#[derive(Debug)]
pub(super) struct Buffer {
    memory: AnswerMemory,
    data: Vec<u8>,
    reserved_bytes: usize,
}

impl Buffer {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`NoAnswer::Lost`] if the answer exceeds its limit, or if all answers together
    /// exceed theirs.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), NoAnswer> {
        let needed_bytes = self.data.len() + data.len();
        if needed_bytes > self.memory.answer_max_bytes {
            return Err(NoAnswer::Lost(format!("over {needed_bytes} bytes")));
        }
        if needed_bytes > self.reserved_bytes {
            self.grow(needed_bytes)?;
        }
        self.data.extend_from_slice(data);
        Ok(())
    }

    /// Returns the buffered bytes.
    pub(super) fn data(&self) -> &[u8] {
        &self.data
    }

    /// Removes the first `bytes` bytes.
    pub(super) fn drop_first(&mut self, bytes: usize) {
        self.data.drain(..bytes);
    }

    /// Grows the buffer to `needed_bytes`, but at least to twice its size, so that it rarely grows.
    fn grow(&mut self, needed_bytes: usize) -> Result<(), NoAnswer> {
        let doubled_bytes = (2 * self.reserved_bytes).max(BUFFER_MIN_BYTES);
        let wanted_bytes = needed_bytes.max(doubled_bytes);
        let more_bytes = wanted_bytes - self.reserved_bytes;
        if !self.memory.reserve(more_bytes) {
            let why = String::from("all answers together exceed the memory limit");
            return Err(NoAnswer::Lost(why));
        }
        self.reserved_bytes = wanted_bytes;
        self.data.reserve_exact(wanted_bytes - self.data.len());
        Ok(())
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let left_bytes = &self.memory.left_bytes;
        left_bytes.fetch_add(self.reserved_bytes, Ordering::Relaxed);
    }
}
