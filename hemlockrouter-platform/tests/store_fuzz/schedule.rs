//! A deterministic scheduler for jobs that block on the store.
//!
//! Each job runs in its own thread. The scheduler waits until every job has issued a call or has ended,
//! picks one of the calls at random, executes it and resumes its job. The order of calls, and therefore
//! the whole run, depends only on the seed.

use std::sync::mpsc::channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::Mutex;
use std::thread;

use hemlockrouter_platform::PlatformUnavailable;
use hemlockrouter_platform::ReadResult;
use hemlockrouter_platform::Store;
use hemlockrouter_platform::WriteCondition;
use hemlockrouter_platform::WriteOutcome;
use rand::rngs::StdRng;
use rand::RngExt;

use crate::store::Call;
use crate::store::FaultyStore;
use crate::store::Reply;

/// A message of a job to the scheduler.
enum JobMessage<T> {
    Call(usize, Call),
    Ended(usize, T),
    Panicked(usize),
}

/// A [`Store`] that passes the calls of one job to the scheduler.
pub(crate) struct StorePort<T> {
    job: usize,
    calls: Mutex<Sender<JobMessage<T>>>,
    replies: Mutex<Receiver<Reply>>,
}

impl<T> StorePort<T> {
    fn call(&self, call: Call) -> Reply {
        let calls = self.calls.lock().expect("no job panicked");
        calls
            .send(JobMessage::Call(self.job, call))
            .expect("the scheduler runs");
        let replies = self.replies.lock().expect("no job panicked");
        replies.recv().expect("the scheduler runs")
    }

    fn read(&self, call: Call) -> Result<ReadResult, PlatformUnavailable> {
        match self.call(call) {
            Reply::Read(read) => read,
            other => panic!("a read was answered by {other:?}"),
        }
    }

    fn write_reply(&self, call: Call) -> WriteOutcome {
        match self.call(call) {
            Reply::Written(written) => written,
            other => panic!("a write was answered by {other:?}"),
        }
    }
}

impl<T> Drop for StorePort<T> {
    /// Reports a panic of the job, so that the scheduler ends the run instead of waiting for the job.
    fn drop(&mut self) {
        if thread::panicking() {
            // Sending fails if the scheduler has panicked before and dropped its end of the channel.
            if let Ok(calls) = self.calls.lock() {
                let _ = calls.send(JobMessage::Panicked(self.job));
            }
        }
    }
}

impl<T> Store for StorePort<T>
where
    T: Send,
{
    fn get(&self, key: &str) -> Result<ReadResult, PlatformUnavailable> {
        self.read(Call::Get(String::from(key)))
    }

    fn get_latest(&self, key: &str) -> Result<ReadResult, PlatformUnavailable> {
        self.read(Call::GetLatest(String::from(key)))
    }

    fn wait(
        &self,
        key: &str,
        _index: u64,
        _wait_ms: u64,
    ) -> Result<ReadResult, PlatformUnavailable> {
        self.get(key)
    }

    fn keys(&self, prefix: &str) -> Result<Vec<String>, PlatformUnavailable> {
        match self.call(Call::Keys(String::from(prefix))) {
            Reply::Keys(keys) => keys,
            other => panic!("a list of keys was answered by {other:?}"),
        }
    }

    fn write(&self, key: &str, value: &[u8], guard: WriteCondition) -> WriteOutcome {
        self.write_reply(Call::Write(String::from(key), value.to_vec(), guard))
    }

    fn delete(&self, key: &str) -> WriteOutcome {
        self.write_reply(Call::Delete(String::from(key)))
    }
}

/// An event that the scheduler reports to the observer, in order of occurrence.
pub(crate) enum SchedulerEvent<T> {
    /// A call was executed, so the store may hold new applied writes.
    CallExecuted,
    /// The job with this index ended with this result.
    Ended(usize, T),
}

/// Runs `jobs` until all have ended, and reports each executed call and each ended job to `observe`.
pub(crate) fn run<J, T, O>(state: &mut FaultyStore, rng: &mut StdRng, jobs: Vec<J>, mut observe: O)
where
    J: FnOnce(&StorePort<T>) -> T + Send,
    T: Send,
    O: FnMut(&mut FaultyStore, SchedulerEvent<T>),
{
    thread::scope(|scope| {
        let (calls, messages) = channel();
        let mut replies = Vec::new();
        let mut live_jobs = jobs.len();
        for (job, run) in jobs.into_iter().enumerate() {
            let (reply, port_replies) = channel();
            replies.push(reply);
            let calls = calls.clone();
            scope.spawn(move || {
                let port = StorePort {
                    job,
                    calls: Mutex::new(calls.clone()),
                    replies: Mutex::new(port_replies),
                };
                let result = run(&port);
                calls
                    .send(JobMessage::Ended(job, result))
                    .expect("the scheduler runs");
            });
        }
        drop(calls);
        let mut waiting_calls: Vec<(usize, Call)> = Vec::new();
        let mut ended: Vec<(usize, T)> = Vec::new();
        while live_jobs > 0 {
            while waiting_calls.len() + ended.len() < live_jobs {
                match messages.recv().expect("a job is running") {
                    JobMessage::Call(job, call) => waiting_calls.push((job, call)),
                    JobMessage::Ended(job, result) => ended.push((job, result)),
                    JobMessage::Panicked(job) => panic!("job {job} panicked"),
                }
            }
            live_jobs -= ended.len();
            ended.sort_by_key(|(job, _)| *job);
            for (job, result) in ended.drain(..) {
                observe(state, SchedulerEvent::Ended(job, result));
            }
            if waiting_calls.is_empty() {
                continue;
            }
            waiting_calls.sort_by_key(|(job, _)| *job);
            if rng.random_range(0..8) == 0 && state.deliver_one_delayed_write() {
                observe(state, SchedulerEvent::CallExecuted);
            }
            let (job, call) = waiting_calls.swap_remove(rng.random_range(0..waiting_calls.len()));
            let reply = state.call(&call);
            observe(state, SchedulerEvent::CallExecuted);
            replies[job].send(reply).expect("the job waits");
        }
    });
}
