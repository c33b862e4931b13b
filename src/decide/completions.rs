//! Rate at which requests of a class complete, and the time for which a request occupies a slot.
//!
//! Load pattern: demand for a model rises within a second, or copies of it have just been added. The
//! completions of the last seconds then say little about those of the next ones: there were few
//! requests, or few slots. A rate that is too low refuses requests that could be served.
//!
//! The rate is therefore at least what the slots that serve the class would yield at the measured
//! slot time. The slot time of streams is measured per token of the requested maximum, as callers
//! request answers of very different lengths.

use std::collections::HashMap;
use std::time::Duration;

use crate::decide::trend::Rate;
use crate::decide::wait_queue::Class;
use crate::table::ServiceId;

/// Time over which completions are counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Time below which a count does not yet show a rate.
const MIN_COUNTING_TIME: Duration = Duration::from_secs(1);
/// Time without completions after which a class is forgotten.
const CLASS_RETENTION: Duration = Duration::from_secs(60);
/// Number of classes from which those without recent completions are removed.
const MAX_CLASSES: usize = 4_096;
/// Weight of one completion in the moving averages.
const SMOOTHING: f64 = 0.05;
/// Expected slot time of a service without completions.
const DEFAULT_SLOT_TIME: Duration = Duration::from_millis(600);
/// Lower bound of slot times, so that rates stay finite.
const MIN_SLOT_TIME: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct ClassRow {
    completed: Rate,
    arrived: Rate,
    since: Duration,
    last_at: Duration,
}

/// Moving averages of a service's completed requests.
#[derive(Debug, Clone, Copy)]
struct ServiceRow {
    slot_seconds: f64,
    tokens: f64,
}

/// Completed requests by class and by service.
#[derive(Debug, Default)]
pub struct Completions {
    classes: HashMap<Class, ClassRow>,
    services: HashMap<ServiceId, ServiceRow>,
}

impl Completions {
    /// Records that a request of a class has arrived.
    pub fn record_arrival(&mut self, now: Duration, class: Class) {
        self.class(now, class).arrived.add(now, 1.0);
    }

    /// Records that a request of a class has completed.
    pub fn record(&mut self, now: Duration, class: Class) {
        self.class(now, class).completed.add(now, 1.0);
    }

    /// Returns the number of classes that are counted.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    fn class(&mut self, now: Duration, class: Class) -> &mut ClassRow {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            self.classes.retain(|_, row| now < row.last_at + CLASS_RETENTION);
            self.remove_unused_half();
        }
        let row = self.classes.entry(class).or_insert_with(|| ClassRow {
            completed: Rate::new(now, RATE_WINDOW),
            arrived: Rate::new(now, RATE_WINDOW),
            since: now,
            last_at: now,
        });
        row.last_at = now;
        row
    }

    /// Removes the half of the classes that was used least recently, if there are too many. Callers
    /// may name any number of models that do not exist.
    fn remove_unused_half(&mut self) {
        if self.classes.len() >= MAX_CLASSES {
            let mut used: Vec<(Duration, Class)> =
                self.classes.iter().map(|(class, row)| (row.last_at, *class)).collect();
            used.sort_unstable();
            for (_, class) in &used[..used.len() / 2] {
                self.classes.remove(class);
            }
        }
    }

    /// Records for how long a completed request with this maximum number of tokens has occupied a
    /// slot.
    pub fn record_slot_time(&mut self, service: &str, output_tokens: u32, slot_time: Duration) {
        let (slot_seconds, tokens) = (slot_time.as_secs_f64(), f64::from(output_tokens));
        match self.services.get_mut(service) {
            Some(row) => {
                row.slot_seconds += (slot_seconds - row.slot_seconds) * SMOOTHING;
                row.tokens += (tokens - row.tokens) * SMOOTHING;
            }
            None => {
                self.services.insert(service.to_string(), ServiceRow { slot_seconds, tokens });
            }
        }
    }

    /// Returns the mean slot time of a service's requests.
    pub fn mean_slot_time(&self, service: &str) -> Duration {
        let row = self.services.get(service);
        let mean =
            row.map_or(DEFAULT_SLOT_TIME, |row| Duration::from_secs_f64(row.slot_seconds.max(0.0)));
        mean.max(MIN_SLOT_TIME)
    }

    /// Returns the expected slot time of a request with this maximum number of tokens; 0 if that is
    /// not known.
    pub fn slot_time(&self, service: &str, output_tokens: u32) -> Duration {
        let mean = self.mean_slot_time(service);
        match self.services.get(service) {
            Some(row) if row.tokens >= 1.0 && output_tokens > 0 => {
                mean.mul_f64(f64::from(output_tokens) / row.tokens)
            }
            _ => mean,
        }
    }

    /// Returns the requests of a class that complete per second, if `slots` serve it. `others` are
    /// those that complete at other daemons, as these state.
    pub fn rate(&self, now: Duration, class: Class, service: &str, slots: f64, others: f64) -> f64 {
        let expected = slots / self.mean_slot_time(service).as_secs_f64();
        (self.completion_rate(now, class) + others).max(expected)
    }

    /// Returns the requests of a class that have completed here per second.
    pub fn completion_rate(&self, now: Duration, class: Class) -> f64 {
        self.per_second(now, class, |row| &row.completed)
    }

    /// Returns the requests of a class that arrive per second.
    pub fn arrival_rate(&self, now: Duration, class: Class) -> f64 {
        self.per_second(now, class, |row| &row.arrived)
    }

    fn per_second(&self, now: Duration, class: Class, count: impl Fn(&ClassRow) -> &Rate) -> f64 {
        self.classes.get(&class).map_or(0.0, |row| {
            let age = now.saturating_sub(row.since).max(MIN_COUNTING_TIME);
            let window = RATE_WINDOW.as_secs_f64();
            count(row).per_second(now) / (1.0 - (-age.as_secs_f64() / window).exp())
        })
    }
}
