//! The daemon's structured log: one JSON line for each decision that affects a request or changes
//! the daemon's view of the system.
//!
//! Lines are buffered in memory and written a few times a second on a separate thread, so that a
//! log reader that stops reading delays no request. Load pattern: thousands of events of one kind
//! within a second. Without limits they would fill the memory and displace the lines of other
//! kinds, so the lines of each kind per second and the buffered bytes are limited; omitted lines
//! are counted, and the counts are logged.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::io::Write;
use std::time::Duration;

use serde::Serialize;
use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;

/// Lines of one kind kept per second: several times what the busiest daemon logs.
const MAX_LINES_PER_SECOND: u32 = 120;
/// Buffered bytes: several seconds of lines.
const MAX_PENDING_BYTES: usize = 512 << 10;
/// Interval between two writes; a killed daemon loses up to this much of the log.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// A logged event. Times are in milliseconds.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[expect(missing_docs, reason = "fields are explained in the table of docs/OPERATIONS.md")]
pub enum Event {
    Start {
        name: String,
        born: u64,
        millicores: u32,
    },
    Stop {
        reason: &'static str,
        open: usize,
    },
    Reload {
        changed: bool,
    },
    Late {
        by: u64,
        suspended: u64,
    },
    Store {
        kind: &'static str,
        up: bool,
        error: String,
    },
    Restored {
        era: u64,
    },
    Calls {
        object: &'static str,
        op: &'static str,
        outcome: &'static str,
        count: u64,
    },
    Config {
        version: u64,
        routes: usize,
        services: usize,
        keys: usize,
        revision: u64,
    },
    Skipped {
        what: &'static str,
        name: String,
        problem: String,
        revision: u64,
    },
    Seen {
        endpoint: String,
        born: u64,
        service: String,
        software: String,
        state: &'static str,
        beat: u64,
        slots: u32,
        models: usize,
        revision: u64,
    },
    Limit {
        endpoint: String,
        rate: Option<f64>,
        source: &'static str,
    },
    Leaving {
        endpoint: String,
        source: &'static str,
    },
    Brittle {
        endpoint: String,
        max: u32,
        source: &'static str,
    },
    Contact {
        endpoint: String,
        reached: bool,
        error: Option<&'static str>,
        unreached: usize,
        known: usize,
    },
    Isolated {
        isolated: bool,
    },
    Stall {
        endpoint: String,
        stalled: bool,
        ms: u64,
    },
    Backoff {
        endpoint: String,
        ms: u64,
        source: &'static str,
    },
    Crash {
        endpoint: String,
        requests: usize,
        starting: usize,
        parts: Vec<String>,
    },
    Quarantined {
        content: String,
        source: &'static str,
    },
    PartRefused {
        part: String,
        crashes: Option<usize>,
        survivals: Option<usize>,
        source: &'static str,
    },
    PartReleased {
        part: String,
    },
    Gone {
        endpoint: String,
        revision: u64,
        held: bool,
    },
    Lease {
        held: bool,
        token: u64,
        holder: String,
    },
    Renewal {
        token: u64,
        took: u64,
        outcome: &'static str,
    },
    Path {
        late: bool,
    },
    Plan {
        model: String,
        demand: f64,
        copies: usize,
        missing: Option<u64>,
        obstacles: Option<String>,
    },
    Goal {
        endpoint: String,
        model: String,
        victims: Vec<String>,
        holds: Vec<String>,
        outcome: &'static str,
        took: u64,
    },
    Order {
        endpoint: String,
        action: &'static str,
        model: String,
        adapter: Option<String>,
        expect: u64,
        token: u64,
        holds: Vec<String>,
        outcome: String,
        took: u64,
        written: Option<u64>,
        left: Option<i64>,
        why: &'static str,
    },
    Held {
        endpoint: String,
        born: u64,
        model: Option<String>,
        remaining: u64,
    },
    Absent {
        request: String,
        route: String,
        status: u16,
        version: u64,
    },
    Unknown {
        request: String,
        route: String,
        key: Option<String>,
        version: u64,
    },
    OverQuota {
        request: String,
        route: String,
        team: String,
        tokens: Option<u32>,
        retry_after: u64,
        waited: u64,
        version: u64,
    },
    Sent {
        request: String,
        route: String,
        content: String,
        team: Option<String>,
        tokens: Option<u32>,
        endpoint: String,
        software: Option<String>,
        after: Option<String>,
        resumes: Option<String>,
        through: Option<String>,
        connection: u64,
        before: u64,
        model: Option<String>,
        adapter: Option<String>,
        parts: Vec<String>,
        prompt: u32,
        unread: u32,
        read: u64,
        ahead: u64,
        attempt: u32,
        waited: u64,
        left: u64,
        aim: u64,
        gap: Option<u64>,
        load: u32,
        work: Option<u32>,
        version: u64,
    },
    Answered {
        request: String,
        endpoint: String,
        status: u16,
        took: u64,
        outcome: &'static str,
        work: Option<u32>,
        framing: &'static str,
        end: Option<&'static str>,
    },
    Ended {
        request: String,
        endpoint: String,
        took: u64,
        events: u64,
        pause: u64,
        pause_at: u64,
        load: u32,
        framing: &'static str,
        end: &'static str,
    },
    Failed {
        request: String,
        endpoint: String,
        error: &'static str,
        took: u64,
        running: u32,
        repeat: bool,
        why: &'static str,
        framing: Option<&'static str>,
        end: Option<&'static str>,
    },
    Foreign {
        request: String,
        endpoint: String,
        connection: u64,
        before: u64,
        named: Option<String>,
        status: u16,
        not_run: bool,
        took: u64,
    },
    Waits {
        request: String,
        cause: String,
        until: u64,
        ahead: usize,
    },
    Waited {
        model: Option<String>,
        adapter: Option<String>,
        team: Option<String>,
        priority: u8,
        outcome: &'static str,
        waited: u64,
        left: u64,
    },
    Transfer {
        from: String,
        kind: &'static str,
        bytes: usize,
        waited: u64,
        took: u64,
        others: usize,
        complete: bool,
    },
    Reader {
        address: String,
        kind: &'static str,
        problem: String,
    },
    Broker {
        address: String,
    },
    Counter {
        address: String,
    },
    Quota {
        team: String,
        grantor: &'static str,
        granted: u64,
        reported: i64,
        refused: u64,
        level: i64,
        known: usize,
        part: f64,
    },
    Refused {
        request: String,
        route: String,
        service: Option<String>,
        team: Option<String>,
        model: Option<String>,
        adapter: Option<String>,
        status: u16,
        retry_after: u64,
        reason: String,
        lack: Option<&'static str>,
        waited: u64,
        version: u64,
    },
    Retry {
        request: String,
        service: String,
        outcome: &'static str,
        left: usize,
    },
    Resumed {
        request: String,
        endpoint: String,
        software: Option<String>,
        after: String,
        framing: &'static str,
        end: &'static str,
    },
    TakenUp {
        request: String,
        resumes: Option<String>,
        after: Option<String>,
        service: Option<String>,
        software: Option<String>,
        source: &'static str,
    },
    Cut {
        request: String,
        endpoint: String,
        reason: &'static str,
        took: u64,
        framing: &'static str,
        end: &'static str,
    },
    Left {
        request: String,
        took: u64,
    },
    ReadAhead {
        request: String,
    },
    Pace {
        endpoint: String,
        bound: Option<u32>,
    },
    Overrun {
        request: String,
        cause: &'static str,
        held: usize,
        behind: u64,
    },
    NoRoom {
        held: usize,
        age: u64,
    },
    Omitted {
        kind: &'static str,
        lines: u64,
    },
}

impl Event {
    /// Returns the event's kind as it appears in the log and in counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Event::Start { .. } => "start",
            Event::Stop { .. } => "stop",
            Event::Reload { .. } => "reload",
            Event::Late { .. } => "late",
            Event::Store { .. } => "store",
            Event::Restored { .. } => "restored",
            Event::Calls { .. } => "calls",
            Event::Config { .. } => "config",
            Event::Skipped { .. } => "skipped",
            Event::Seen { .. } => "seen",
            Event::Limit { .. } => "limit",
            Event::Leaving { .. } => "leaving",
            Event::Brittle { .. } => "brittle",
            Event::Contact { .. } => "contact",
            Event::Isolated { .. } => "isolated",
            Event::Stall { .. } => "stall",
            Event::Backoff { .. } => "backoff",
            Event::Crash { .. } => "crash",
            Event::Quarantined { .. } => "quarantined",
            Event::PartRefused { .. } => "part_refused",
            Event::PartReleased { .. } => "part_released",
            Event::Gone { .. } => "gone",
            Event::Lease { .. } => "lease",
            Event::Renewal { .. } => "renewal",
            Event::Path { .. } => "path",
            Event::Plan { .. } => "plan",
            Event::Goal { .. } => "goal",
            Event::Order { .. } => "order",
            Event::Held { .. } => "held",
            Event::Absent { .. } => "absent",
            Event::Unknown { .. } => "unknown",
            Event::OverQuota { .. } => "over_quota",
            Event::Sent { .. } => "sent",
            Event::Answered { .. } => "answered",
            Event::Ended { .. } => "ended",
            Event::Failed { .. } => "failed",
            Event::Foreign { .. } => "foreign",
            Event::Waits { .. } => "waits",
            Event::Waited { .. } => "waited",
            Event::Transfer { .. } => "transfer",
            Event::Reader { .. } => "reader",
            Event::Broker { .. } => "broker",
            Event::Counter { .. } => "counter",
            Event::Quota { .. } => "quota",
            Event::Refused { .. } => "refused",
            Event::Retry { .. } => "retry",
            Event::Resumed { .. } => "resumed",
            Event::TakenUp { .. } => "taken_up",
            Event::Cut { .. } => "cut",
            Event::Left { .. } => "left",
            Event::ReadAhead { .. } => "read_ahead",
            Event::Pace { .. } => "pace",
            Event::Overrun { .. } => "overrun",
            Event::NoRoom { .. } => "no_room",
            Event::Omitted { .. } => "omitted",
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    /// Unix time in milliseconds.
    at: u64,
    /// The boot clock in milliseconds; unlike Unix time it never jumps.
    boot: u64,
    #[serde(flatten)]
    event: &'a Event,
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    /// Events since the start of the daemon.
    total: u64,
    /// The second of the clock in which `lines` were recorded.
    second: u64,
    lines: u32,
    /// Omitted lines that are not logged yet.
    omitted: u64,
}

/// Buffer of unwritten lines, with a count of the events of each kind.
#[derive(Debug, Default)]
pub struct Journal {
    pending: Vec<u8>,
    counts: BTreeMap<&'static str, Count>,
}

impl Journal {
    /// Records an event, or counts it as omitted if a limit is reached.
    pub fn record(&mut self, event: &Event) {
        let now = clock::now();
        let count = self.counts.entry(event.kind()).or_default();
        count.total += 1;
        if count.second != now.as_secs() {
            (count.second, count.lines) = (now.as_secs(), 0);
        }
        if count.lines >= MAX_LINES_PER_SECOND || self.pending.len() >= MAX_PENDING_BYTES {
            count.omitted += 1;
            return;
        }
        count.lines += 1;
        self.write(now, event);
    }

    fn write(&mut self, now: Duration, event: &Event) {
        let at = clock::unix_millis();
        let line = Line { at, boot: now.as_millis() as u64, event };
        // Writing to memory fails only for values that JSON cannot represent; events have none.
        if serde_json::to_writer(&mut self.pending, &line).is_ok() {
            self.pending.push(b'\n');
        }
    }

    /// Returns the number of events of each kind, omitted ones included.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.counts.iter().map(|(kind, count)| (*kind, count.total))
    }

    /// Puts back lines that could not be written, or counts them as omitted if the buffer is full.
    pub fn put_back(&mut self, mut lines: Vec<u8>) {
        if lines.len() + self.pending.len() > MAX_PENDING_BYTES {
            let lost = lines.iter().filter(|byte| **byte == b'\n').count() as u64;
            self.counts.entry("unwritten").or_default().omitted += lost;
            return;
        }
        lines.append(&mut self.pending);
        self.pending = lines;
    }

    /// Takes all buffered lines, with one more line for each kind of which lines were omitted.
    pub fn take(&mut self) -> Vec<u8> {
        let now = clock::now();
        let omitted = |count: &Count| count.omitted > 0 && self.pending.len() < MAX_PENDING_BYTES;
        let omissions: Vec<(&'static str, u64)> = self
            .counts
            .iter()
            .filter(|(_, count)| omitted(count))
            .map(|(kind, count)| (*kind, count.omitted))
            .collect();
        for (kind, lines) in omissions {
            self.write(now, &Event::Omitted { kind, lines });
            if let Some(count) = self.counts.get_mut(kind) {
                count.omitted = 0;
            }
        }
        std::mem::take(&mut self.pending)
    }
}

/// Writes the buffered lines periodically for as long as the daemon runs.
pub async fn flush_loop(daemon: std::rc::Rc<Daemon>) {
    loop {
        Timer::after(FLUSH_INTERVAL).await;
        write_pending(&daemon).await;
    }
}

/// Writes the buffered lines. What could not be written is kept for the next write: a reader that
/// stops reading, or an instance suspended in the middle of a write, must not cost lines.
pub async fn write_pending(daemon: &Daemon) {
    let lines = daemon.journal.borrow_mut().take();
    if lines.is_empty() {
        return;
    }
    let (mut lines, bytes_written) = smol::unblock(move || {
        let bytes_written = write(&lines);
        (lines, bytes_written)
    })
    .await;
    if bytes_written < lines.len() {
        lines.drain(..bytes_written);
        daemon.journal.borrow_mut().put_back(lines);
    }
}

/// Writes to standard output and returns the number of bytes that it accepted.
fn write(lines: &[u8]) -> usize {
    let mut out = std::io::stdout().lock();
    let mut bytes_written = 0;
    while bytes_written < lines.len() {
        match out.write(&lines[bytes_written..]) {
            Ok(0) => break,
            Ok(len) => bytes_written += len,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    // If this fails, the rest of the stream's buffer is written with the next lines.
    let _ = out.flush();
    bytes_written
}
