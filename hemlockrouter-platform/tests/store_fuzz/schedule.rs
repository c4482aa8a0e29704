//! Runs jobs that block on the store, one call at a time, in an order that comes from the seed.
//!
//! Each job has a thread. The scheduler waits until every job is at a call or has ended, picks one
//! of the calls, executes it and lets that job go on. So the order of calls, and with it the whole
//! run, depends on the seed alone.

use std::sync::mpsc::channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::Mutex;
use std::thread;

use hemlockrouter_platform::Down;
use hemlockrouter_platform::Guard;
use hemlockrouter_platform::Read;
use hemlockrouter_platform::Store;
use hemlockrouter_platform::Written;
use rand::rngs::StdRng;
use rand::RngExt;

use crate::store::Call;
use crate::store::Reply;
use crate::store::State;

/// What a job tells the scheduler.
enum Message<T> {
    Call(usize, Call),
    Ended(usize, T),
    Panicked(usize),
}

/// A job's way to the store.
pub(crate) struct Port<T> {
    job: usize,
    calls: Mutex<Sender<Message<T>>>,
    replies: Mutex<Receiver<Reply>>,
}

impl<T> Port<T> {
    fn call(&self, call: Call) -> Reply {
        let calls = self.calls.lock().expect("no job panicked");
        calls
            .send(Message::Call(self.job, call))
            .expect("the scheduler runs");
        let replies = self.replies.lock().expect("no job panicked");
        replies.recv().expect("the scheduler runs")
    }

    fn read(&self, call: Call) -> Result<Read, Down> {
        match self.call(call) {
            Reply::Read(read) => read,
            other => panic!("a read was answered by {other:?}"),
        }
    }

    fn written(&self, call: Call) -> Written {
        match self.call(call) {
            Reply::Written(written) => written,
            other => panic!("a write was answered by {other:?}"),
        }
    }
}

impl<T> Drop for Port<T> {
    /// A job that panics ends the run, instead of leaving the scheduler waiting for it.
    fn drop(&mut self) {
        if thread::panicking() {
            // The scheduler may be the one that panicked first, and gone.
            if let Ok(calls) = self.calls.lock() {
                let _ = calls.send(Message::Panicked(self.job));
            }
        }
    }
}

impl<T> Store for Port<T>
where
    T: Send,
{
    fn get(&self, key: &str) -> Result<Read, Down> {
        self.read(Call::Get(String::from(key)))
    }

    fn get_latest(&self, key: &str) -> Result<Read, Down> {
        self.read(Call::GetLatest(String::from(key)))
    }

    fn wait(&self, key: &str, _index: u64, _wait_ms: u64) -> Result<Read, Down> {
        self.get(key)
    }

    fn keys(&self, prefix: &str) -> Result<Vec<String>, Down> {
        match self.call(Call::Keys(String::from(prefix))) {
            Reply::Keys(keys) => keys,
            other => panic!("a list of keys was answered by {other:?}"),
        }
    }

    fn write(&self, key: &str, value: &[u8], guard: Guard) -> Written {
        self.written(Call::Write(String::from(key), value.to_vec(), guard))
    }

    fn delete(&self, key: &str) -> Written {
        self.written(Call::Delete(String::from(key)))
    }
}

/// What the scheduler reports, in order.
pub(crate) enum Progress<T> {
    /// A call was executed; the state may hold new effects.
    Called,
    /// A job ended.
    Ended(usize, T),
}

/// Runs `jobs` to their ends, and reports what happens to `observe`.
pub(crate) fn run<J, T, O>(state: &mut State, rng: &mut StdRng, jobs: Vec<J>, mut observe: O)
where
    J: FnOnce(&Port<T>) -> T + Send,
    T: Send,
    O: FnMut(&mut State, Progress<T>),
{
    thread::scope(|scope| {
        let (calls, messages) = channel();
        let mut replies = Vec::new();
        let mut live = jobs.len();
        for (job, run) in jobs.into_iter().enumerate() {
            let (reply, port_replies) = channel();
            replies.push(reply);
            let calls = calls.clone();
            scope.spawn(move || {
                let port = Port {
                    job,
                    calls: Mutex::new(calls.clone()),
                    replies: Mutex::new(port_replies),
                };
                let end = run(&port);
                calls
                    .send(Message::Ended(job, end))
                    .expect("the scheduler runs");
            });
        }
        drop(calls);
        let mut waiting: Vec<(usize, Call)> = Vec::new();
        let mut ended: Vec<(usize, T)> = Vec::new();
        while live > 0 {
            while waiting.len() + ended.len() < live {
                match messages.recv().expect("a job is running") {
                    Message::Call(job, call) => waiting.push((job, call)),
                    Message::Ended(job, end) => ended.push((job, end)),
                    Message::Panicked(job) => panic!("job {job} panicked"),
                }
            }
            live -= ended.len();
            ended.sort_by_key(|(job, _)| *job);
            for (job, end) in ended.drain(..) {
                observe(state, Progress::Ended(job, end));
            }
            if waiting.is_empty() {
                continue;
            }
            waiting.sort_by_key(|(job, _)| *job);
            if rng.random_range(0..8) == 0 && state.deliver_one() {
                observe(state, Progress::Called);
            }
            let (job, call) = waiting.swap_remove(rng.random_range(0..waiting.len()));
            let reply = state.call(&call);
            observe(state, Progress::Called);
            replies[job].send(reply).expect("the job waits");
        }
    });
}
