//! Limits the memory that answers of upstreams and instances use.
//!
//! A search waits for hundreds of answers at once, and a faulty upstream may send bytes without
//! end. A limit per answer is not enough on a small machine, so all answers share one memory
//! budget. An answer that does not fit into the remaining budget is lost, as if its connection had
//! broken. Large answers leave a part of the budget to small ones, so that a few endless answers do
//! not cost other upstreams theirs.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::connection::SendError;

/// Fraction of the process's memory that all answers together may use.
const ANSWERS_MEMORY_FRACTION: f64 = 0.25;

/// Fraction of the answer memory that one answer may use.
const ANSWER_MAX_FRACTION: f64 = 0.25;

/// Fraction of the answer memory that is kept for small answers.
const SMALL_ANSWERS_FRACTION: f64 = 0.25;

/// Maximum size of a small answer, in bytes.
const SMALL_ANSWER_MAX_BYTES: usize = 64 << 10;

/// Minimum size of an answer's buffer, in bytes.
const ANSWER_BUFFER_MIN_BYTES: usize = 1 << 10;

/// Memory budget that all answers share.
#[derive(Clone, Debug)]
pub(super) struct AnswerMemory {
    available_bytes: Arc<AtomicUsize>,
    answer_max_bytes: usize,
    /// Part of the budget that only small answers use, in bytes.
    small_answers_bytes: usize,
}

impl AnswerMemory {
    /// Creates the budget of a process that may use `memory_bytes` bytes.
    pub(super) fn new(memory_bytes: usize) -> AnswerMemory {
        let budget_bytes = memory_bytes as f64 * ANSWERS_MEMORY_FRACTION;
        AnswerMemory {
            available_bytes: Arc::new(AtomicUsize::new(budget_bytes as usize)),
            answer_max_bytes: (budget_bytes * ANSWER_MAX_FRACTION) as usize,
            small_answers_bytes: (budget_bytes * SMALL_ANSWERS_FRACTION) as usize,
        }
    }

    /// Creates an empty buffer for one answer.
    pub(super) fn new_buffer(&self) -> AnswerBuffer {
        AnswerBuffer {
            memory: self.clone(),
            data: Vec::new(),
            reserved_bytes: 0,
        }
    }

    /// Reads a whole body into memory.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Lost`] if the connection breaks or the memory does not suffice.
    pub(super) async fn read<B>(&self, mut body: B) -> Result<Bytes, SendError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let mut buffer = self.new_buffer();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| SendError::Lost(err.to_string()))?;
            if let Ok(data) = frame.into_data() {
                buffer.push(&data)?;
            }
        }
        Ok(Bytes::from_owner(buffer))
    }

    /// Takes `bytes` bytes from the budget for a buffer of `capacity_bytes` bytes, and returns
    /// whether they were available.
    fn reserve(&self, bytes: usize, capacity_bytes: usize) -> bool {
        let kept_bytes = match capacity_bytes <= SMALL_ANSWER_MAX_BYTES {
            true => 0,
            false => self.small_answers_bytes,
        };
        let update = |left: usize| left.checked_sub(bytes).filter(|left| *left >= kept_bytes);
        let order = Ordering::Relaxed;
        self.available_bytes
            .fetch_update(order, order, update)
            .is_ok()
    }
}

/// Buffer for one answer. Its memory returns to the shared budget when the buffer is dropped.
#[derive(Debug)]
pub(super) struct AnswerBuffer {
    memory: AnswerMemory,
    data: Vec<u8>,
    reserved_bytes: usize,
}

impl AnswerBuffer {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Lost`] if the answer exceeds its limit, or if all answers together
    /// exceed theirs.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), SendError> {
        let needed_bytes = self.data.len() + data.len();
        if needed_bytes > self.memory.answer_max_bytes {
            return Err(SendError::Lost(format!("over {needed_bytes} bytes")));
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
    pub(super) fn discard_prefix(&mut self, bytes: usize) {
        self.data.drain(..bytes);
    }

    /// Grows the buffer to `needed_bytes`, but at least to twice its size, so that it rarely grows.
    fn grow(&mut self, needed_bytes: usize) -> Result<(), SendError> {
        let doubled_bytes = (2 * self.reserved_bytes).max(ANSWER_BUFFER_MIN_BYTES);
        let capacity_bytes = needed_bytes.max(doubled_bytes);
        let additional_bytes = capacity_bytes - self.reserved_bytes;
        if !self.memory.reserve(additional_bytes, capacity_bytes) {
            let reason = String::from("all answers together exceed the memory limit");
            return Err(SendError::Lost(reason));
        }
        self.reserved_bytes = capacity_bytes;
        self.data.reserve_exact(capacity_bytes - self.data.len());
        Ok(())
    }
}

impl AsRef<[u8]> for AnswerBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        let available_bytes = &self.memory.available_bytes;
        available_bytes.fetch_add(self.reserved_bytes, Ordering::Relaxed);
    }
}
