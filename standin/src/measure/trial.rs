//! Callers that draft and book at a steady rate, and what they received: judged from outside, by
//! the answers and by what the services ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use poplarmux::edge::endpoint::Outcome;
use poplarmux::edge::http;
use smol::LocalExecutor;

use crate::caller::Caller;
use crate::caller::Reply;
use crate::engine::text::Ask;
use crate::measure::faults::MODEL;
use crate::measure::faults::SERVICE;

/// Time between two drafts.
const DRAFT_EVERY: Duration = Duration::from_millis(10);

/// Of how many drafts one is followed by a booking, which is made twice with its key.
const BOOK_EVERY: u64 = 5;

/// Tokens of a draft.
const TOKENS: u64 = 20;

/// How long a caller waits for a whole answer.
const DEADLINE: Duration = Duration::from_secs(2);

/// The span over which attainment is looked at.
pub const WINDOW: Duration = Duration::from_millis(250);

/// What one request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    OnTime,
    Late,
    Refused,
    Unknown,
    /// A whole answer that is not the caller's own, or a part that does not begin its own.
    Foreign,
}

/// What all callers received.
#[derive(Debug, Default)]
pub struct Received {
    /// Requests made; a repeat with the same key is one of them.
    pub offered: u64,
    /// Answered whole, right and within the deadline.
    pub on_time: u64,
    /// Answered whole and right, but late.
    pub late: u64,
    /// Refused as not run, or never connected.
    pub refused: u64,
    /// Said to be unknown, or visibly broken off.
    pub unknown: u64,
    /// Held something that was not the caller's own.
    pub foreign: u64,
    /// Requests due and those on time, by window.
    pub windows: BTreeMap<u64, (u64, u64)>,
    /// Keys of which a caller was told that nothing ran, and never heard otherwise.
    pub not_run: BTreeSet<String>,
}

impl Received {
    fn take(&mut self, window: u64, end: End) {
        self.offered += 1;
        let (due, on_time) = self.windows.entry(window).or_default();
        *due += 1;
        match end {
            End::OnTime => {
                self.on_time += 1;
                *on_time += 1;
            }
            End::Late => self.late += 1,
            End::Refused => self.refused += 1,
            End::Unknown => self.unknown += 1,
            End::Foreign => self.foreign += 1,
        }
    }

    /// The share on time among the requests due from one window to another, its end left out.
    pub fn attainment(&self, from: u64, to: u64) -> f64 {
        let (due, on_time) = self
            .windows
            .range(from..to)
            .fold((0, 0), |sum, (_, window)| (sum.0 + window.0, sum.1 + window.1));
        on_time as f64 / (due as f64).max(1.0)
    }

    /// How long after a window attainment was last below 95 in 100 of what it was before.
    pub fn back(&self, from: u64) -> Duration {
        let before = self.attainment(0, from);
        let low = |(_, (due, on_time)): &(&u64, &(u64, u64))| {
            (*on_time as f64) < 0.95 * before * *due as f64
        };
        match self.windows.range(from..).rev().find(low) {
            Some((window, _)) => WINDOW * (window + 1 - from) as u32,
            None => Duration::ZERO,
        }
    }
}

/// Drafts and books until told to stop; requests begun are read to their end.
pub fn run(entries: &[SocketAddr], stop: &AtomicBool) -> Received {
    let received = Mutex::new(Received::default());
    let caller = Caller { deadline: Some(DEADLINE), patience: DEADLINE * 3, ..Caller::default() };
    let (caller, sum) = (&caller, &received);
    let ex = LocalExecutor::new();
    let begin = Instant::now();
    let due = async {
        let mut tasks = Vec::new();
        let mut number: u64 = 0;
        while !stop.load(Ordering::Relaxed) {
            let at = begin + DRAFT_EVERY * number as u32;
            smol::Timer::at(at).await;
            let window = (at - begin).as_millis() as u64 / WINDOW.as_millis() as u64;
            // Each caller keeps to one entry and takes the other when it cannot connect.
            let mut order = entries.to_vec();
            order.rotate_left(number as usize % entries.len());
            let others = order.clone();
            tasks.push(ex.spawn(async move {
                let ask = Ask::chat(MODEL, &format!("letter {number}"), TOKENS);
                let end = draft(caller, &order, &ask).await;
                sum.lock().expect("received").take(window, end);
            }));
            if number.is_multiple_of(BOOK_EVERY) {
                tasks.push(ex.spawn(async move {
                    book(caller, &others, &format!("key-{number}"), window, sum).await;
                }));
            }
            number += 1;
        }
        for task in tasks {
            task.await;
        }
    };
    smol::block_on(ex.run(due));
    drop(ex);
    received.into_inner().expect("received")
}

async fn draft(caller: &Caller, entries: &[SocketAddr], ask: &Ask) -> End {
    let begin = Instant::now();
    let mut got = Err(http::Error::Connect);
    for at in entries {
        got = caller.draft(*at, ask).await;
        if !matches!(got, Err(http::Error::Connect)) {
            break;
        }
    }
    let right = |reply: &Reply| reply.answers(ask);
    let begins = |reply: &Reply| reply.status != 200 || ask.answer().starts_with(&reply.text);
    judge(got, begin, right, begins)
}

/// Books, and books again with the same key, as a caller does that lost the answer.
async fn book(
    caller: &Caller,
    entries: &[SocketAddr],
    key: &str,
    window: u64,
    sum: &Mutex<Received>,
) {
    let body = format!("{{\"lids\":40,\"for\":\"{key}\"}}");
    let mut ran = false;
    for _ in 0..2 {
        let begin = Instant::now();
        let mut got = Err(http::Error::Connect);
        for at in entries {
            got = caller.book(*at, SERVICE, key, &body).await;
            if !matches!(got, Err(http::Error::Connect)) {
                break;
            }
        }
        let right = |reply: &Reply| {
            let call = reply.json();
            reply.status == 200 && call["key"] == key && call["body"] == body.as_str()
        };
        let begins = |reply: &Reply| reply.status != 200;
        let end = judge(got, begin, right, begins);
        ran |= !matches!(end, End::Refused);
        sum.lock().expect("received").take(window, end);
    }
    if !ran {
        sum.lock().expect("received").not_run.insert(key.to_string());
    }
}

fn judge(
    got: Result<Reply, http::Error>,
    begin: Instant,
    right: impl Fn(&Reply) -> bool,
    begins: impl Fn(&Reply) -> bool,
) -> End {
    match got {
        Err(http::Error::Connect) => End::Refused,
        Err(_) => End::Unknown,
        Ok(reply) if right(&reply) && begin.elapsed() <= DEADLINE => End::OnTime,
        Ok(reply) if right(&reply) => End::Late,
        Ok(reply) if !begins(&reply) || (reply.status == 200 && reply.whole) => End::Foreign,
        Ok(reply) if reply.status != 200 && reply.outcome == Some(Outcome::NotRun) => End::Refused,
        Ok(_) => End::Unknown,
    }
}
