//! Counts what the requests of a server or the responses to a client hold in memory, and refuses those
//! that are being received if there is too much of it, as `decide::intake` decides.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use crate::decide::intake;
use crate::decide::intake::Incoming;

/// A message of which something is held.
#[derive(Debug)]
struct Row {
    incoming: Incoming,
    /// Whether it was received, so that it is not refused any more.
    is_complete: bool,
    is_refused: bool,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// Bytes of all messages.
    all: usize,
    rows: BTreeMap<u64, Row>,
}

impl State {
    /// Counts a part, unless all messages would exceed `max`; returns whether it was counted.
    fn reserve(&mut self, number: u64, part: usize, max: usize) -> bool {
        let Some(row) = self.rows.get_mut(&number) else {
            return false;
        };
        let fits = intake::fits(part, row.incoming.bytes, self.all, max);
        if fits {
            row.incoming.bytes += part;
            self.all += part;
        }
        fits
    }

    /// Returns the bytes of messages that are refused and have not released them.
    fn freed_soon(&self) -> usize {
        let refused = self.rows.values().filter(|row| row.is_refused);
        refused.map(|row| row.incoming.bytes).sum()
    }

    /// Counts a part if it fits. Otherwise messages are refused until it will fit, of which this one
    /// may be the last.
    fn ask(&mut self, now: Duration, number: u64, part: usize, max: usize) -> Room {
        while self.rows.get(&number).is_some_and(|row| !row.is_refused) {
            if self.reserve(number, part, max) {
                return Room::Granted;
            }
            let own = self.rows.get(&number).map_or(0, |row| row.incoming.bytes);
            if intake::fits(part, own, self.all - self.freed_soon(), max) {
                return Room::Later;
            }
            let candidates = self.rows.values().filter(|row| !row.is_complete && !row.is_refused);
            let candidates = candidates.map(|row| {
                let more = if row.incoming.number == number { part } else { 0 };
                Incoming { bytes: row.incoming.bytes + more, ..row.incoming }
            });
            let selected = intake::select_refused(now, candidates).map_or(number, |row| row.number);
            if let Some(row) = self.rows.get_mut(&selected) {
                row.is_refused = true;
            }
        }
        Room::Refused
    }
}

/// What becomes of a part of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    /// It is counted.
    Granted,
    /// The message is refused.
    Refused,
    /// It fits once messages that are refused have released their memory.
    Later,
}

/// What the messages of one kind hold.
#[derive(Debug)]
pub(super) struct Intake {
    max: usize,
    started_at: Instant,
    state: Mutex<State>,
    /// Notified when messages are refused.
    refused: Event,
    /// Notified when messages hold less.
    freed: Event,
}

impl Intake {
    /// Returns an intake of at most `max` bytes.
    pub(super) fn new(max: usize) -> Arc<Self> {
        Arc::new(Intake {
            max,
            started_at: Instant::now(),
            state: Mutex::default(),
            refused: Event::new(),
            freed: Event::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No panic leaves the state half changed.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a message until it is dropped.
#[derive(Debug)]
pub struct Held {
    intake: Arc<Intake>,
    number: u64,
}

impl Held {
    /// Returns a message of which nothing has been received.
    pub(super) fn new(intake: &Arc<Intake>) -> Self {
        let now = intake.started_at.elapsed();
        let mut state = intake.lock();
        state.next += 1;
        let number = state.next;
        let incoming = Incoming { number, bytes: 0, since: now };
        state.rows.insert(number, Row { incoming, is_complete: false, is_refused: false });
        drop(state);
        Held { intake: intake.clone(), number }
    }

    fn ask(&self, part: usize) -> Room {
        let now = self.intake.started_at.elapsed();
        self.intake.lock().ask(now, self.number, part, self.intake.max)
    }

    /// Counts a part once it fits beside the parts of all messages. If this message is the one to
    /// refuse, returns false: nothing of it may be kept then.
    pub async fn add(&self, part: usize) -> bool {
        loop {
            let freed = self.intake.freed.listen();
            match self.ask(part) {
                Room::Granted => return true,
                Room::Refused => return false,
                Room::Later => {
                    self.intake.refused.notify(usize::MAX);
                    freed.await;
                }
            }
        }
    }

    /// Returns whether the message is refused.
    pub fn is_refused(&self) -> bool {
        self.intake.lock().rows.get(&self.number).is_some_and(|row| row.is_refused)
    }

    /// Waits until the message is refused as another one needs its memory.
    pub async fn refused(&self) {
        loop {
            let refused = self.intake.refused.listen();
            if self.is_refused() {
                return;
            }
            refused.await;
        }
    }

    /// Records that the message was received, so that it is not refused any more.
    pub(super) fn complete(&self) {
        if let Some(row) = self.intake.lock().rows.get_mut(&self.number) {
            row.is_complete = true;
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.intake.lock();
        if let Some(row) = state.rows.remove(&self.number) {
            state.all -= row.incoming.bytes;
        }
        drop(state);
        self.intake.freed.notify(usize::MAX);
    }
}
