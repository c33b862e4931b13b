//! Load from this machine to itself: bounded in number and time.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use http_types::Body;
use http_types::Method;
use poplarmux::edge::caller;
use poplarmux::edge::http;
use poplarmux::edge::http::Answer;
use poplarmux::edge::http::Pool;
use poplarmux::edge::http::Reuse;
use smol::LocalExecutor;

use crate::engine::text::Ask;

/// How long one request may take before it counts as failed.
const LIMIT: Duration = Duration::from_secs(30);

/// The deadline of streams, in milliseconds: an hour, so that none is refused for it.
const DEADLINE_MS: &str = "3600000";

/// What a load received.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused or broken.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the whole answer, or to the first token of a stream, in microseconds.
    pub latency: Histogram<u64>,
    /// How long it took.
    pub took: Duration,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("three digits are allowed");
        Tally { answered: 0, failed: 0, tokens: 0, latency, took: Duration::ZERO }
    }
}

impl Tally {
    /// Adds what another load received.
    pub fn add(&mut self, other: &Tally) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.tokens += other.tokens;
        let _ = self.latency.add(&other.latency);
        self.took += other.took;
    }

    /// Requests answered a second.
    pub fn rate(&self) -> f64 {
        self.answered as f64 / self.took.as_secs_f64().max(1e-9)
    }

    fn take(&mut self, got: Result<u64, http::Error>, since: Instant) {
        match got {
            Ok(tokens) => {
                self.answered += 1;
                self.tokens += tokens;
                let _ = self.latency.record(since.elapsed().as_micros() as u64);
            }
            Err(_) => self.failed += 1,
        }
    }
}

/// One small request of a load.
#[derive(Debug, Clone)]
pub struct Small {
    /// Where it goes.
    pub at: SocketAddr,
    /// Its path.
    pub path: String,
}

/// Sends one small request and reads its answer.
pub async fn small(pool: &Pool, call: &Small) -> Result<u64, http::Error> {
    let mut req = http::request(Method::Post, call.at, &call.path)?;
    req.set_body(Body::from_string("{\"job\":\"lid\",\"count\":40}".to_string()));
    let answer = pool.send(call.at, req, Reuse::Idle, LIMIT).await?;
    let ok = answer.head.status().is_success();
    answer.bytes(1 << 16).await?;
    if ok { Ok(0) } else { Err(http::Error::Malformed) }
}

/// Opens a token stream.
pub async fn open(pool: &Pool, at: SocketAddr, ask: &Ask) -> Result<Answer, http::Error> {
    let mut req = http::request(Method::Post, at, "/v1/chat/completions")?;
    let body = serde_json::to_string(ask).map_err(|_| http::Error::Malformed)?;
    req.set_body(Body::from_string(body));
    req.insert_header(caller::DEADLINE, DEADLINE_MS);
    let answer = pool.send(at, req, Reuse::Idle, LIMIT).await?;
    if answer.head.status().is_success() { Ok(answer) } else { Err(http::Error::Malformed) }
}

/// Reads a stream's events to its end and counts them; the end's own events are not tokens.
pub async fn drain(mut answer: Answer, seen: &AtomicU64) -> Result<u64, http::Error> {
    let mut line = String::new();
    let mut tokens = 0;
    let mut done = false;
    while answer.line(&mut line).await? {
        if !line.starts_with("data:") {
            continue;
        }
        // The last event of an entry is `[DONE]`, that of an engine has `done` set.
        if line.contains("[DONE]") || line.contains("\"done\":true") {
            done = true;
        } else if !line.contains("\"finish_reason\":\"stop\"") {
            tokens += 1;
            seen.fetch_add(1, Ordering::Relaxed);
        }
    }
    answer.finish();
    if done { Ok(tokens) } else { Err(http::Error::Broken) }
}

/// Runs a future a worker, each on a thread of its own, and adds up what they received.
pub fn threads<F, Fut>(threads: usize, work: F) -> Tally
where
    F: Fn(usize) -> Fut + Send + Sync,
    Fut: Future<Output = Tally>,
{
    let start = Instant::now();
    let mut sum = Tally::default();
    std::thread::scope(|scope| {
        let workers = (0..threads).map(|n| {
            let work = &work;
            scope.spawn(move || smol::block_on(work(n)))
        });
        let workers: Vec<_> = workers.collect();
        for worker in workers {
            sum.add(&worker.join().expect("worker"));
        }
    });
    sum.took = start.elapsed();
    sum
}

/// Keeps `width` requests in flight for a time.
pub async fn closed<F, Fut>(width: usize, time: Duration, send: F) -> Tally
where
    F: Fn() -> Fut,
    Fut: Future<Output = Result<u64, http::Error>>,
{
    let end = Instant::now() + time;
    let tally = Mutex::new(Tally::default());
    let ex = LocalExecutor::new();
    let loops = (0..width).map(|_| {
        ex.spawn(async {
            while Instant::now() < end {
                let begin = Instant::now();
                let got = send().await;
                tally.lock().expect("tally").take(got, begin);
            }
        })
    });
    let loops: Vec<_> = loops.collect();
    ex.run(async {
        for each in loops {
            each.await;
        }
    })
    .await;
    drop(ex);
    tally.into_inner().expect("tally")
}

/// Sends a request every `gap` for a time, whether earlier ones were answered or not; latency
/// counts from when a request was due.
pub async fn paced<F, Fut>(gap: Duration, time: Duration, send: F) -> Tally
where
    F: Fn() -> Fut,
    Fut: Future<Output = Result<u64, http::Error>>,
{
    let begin = Instant::now();
    let tally = Mutex::new(Tally::default());
    let ex = LocalExecutor::new();
    let (send, sum) = (&send, &tally);
    let mut tasks = Vec::new();
    let due = async {
        let mut at = begin;
        while at < begin + time {
            smol::Timer::at(at).await;
            let since = at;
            tasks.push(ex.spawn(async move {
                let got = send().await;
                sum.lock().expect("tally").take(got, since);
            }));
            at += gap;
        }
        for task in tasks {
            task.await;
        }
    };
    ex.run(due).await;
    drop(ex);
    tally.into_inner().expect("tally")
}

/// A pool and counter that all requests of a load share.
pub fn shared() -> (Pool, Arc<AtomicU64>) {
    (Pool::new(Duration::from_secs(2), Duration::from_secs(30)), Arc::default())
}
