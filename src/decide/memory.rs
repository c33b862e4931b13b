//! Keeps the tokens of all requests at an engine within its memory.
//!
//! Load pattern: an engine crashes if the prompts and the longest possible outputs of all requests
//! that it holds, running and waiting, exceed its token memory. Daemons do not see each other's
//! requests, a broker sees only its own grants, and what a daemon knows is lost with it.
//!
//! Each process counts the tokens of the requests that it knows: its own, and its grants as a
//! broker. Grants to a daemon that no longer answers count until their deadlines, as its requests
//! may go on. All other requests, which only the load reports of the engine show, are counted with
//! the mean of the known ones and two standard deviations of their sum.
//!
//! A broker uses the part of the memory that belongs to the daemons that it reaches, by `reach`. A
//! daemon that chooses engines itself uses its own part, which may be too small for any request,
//! and so does a new broker until the lists of held grants have arrived. Where average requests in
//! all slots fit into the memory, there are no parts: the slots are the limit.
//!
//! Bound: a broker and the daemons that do without it stay below the memory together, as their
//! parts add up to one. Not covered are the time until a broker misses the heartbeats of a daemon,
//! and requests that are far larger than those before them; `USABLE_RATIO` leaves room for a few.

use std::collections::HashMap;
use std::time::Duration;

/// Part of the memory that is used by several requests. The rest covers requests that have ended
/// here and not yet at the engine.
const USABLE_RATIO: f64 = 0.95;
/// Requests that an engine is sent at most, relative to its slots, if it is fast.
const MAX_LOAD_RATIO: f64 = 1.5;
/// Weight of one request in the mean size.
const SIZE_SMOOTHING: f64 = 0.02;
/// Standard deviations of the sum of unknown requests that are added to its mean.
const DEVIATIONS: f64 = 2.0;
/// Time for which a new broker does not rely on its grants: several lists of held grants arrive in
/// it.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_200);
/// Time without any request after which a daemon no longer counts as a broker.
const BROKER_TIMEOUT: Duration = Duration::from_secs(2);

/// Who holds a known request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// This daemon.
    Own,
    /// A daemon that this one has granted it to.
    Granted,
}

/// A number of requests and their tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    count: u32,
    tokens: u64,
}

impl Sum {
    /// Adds a request.
    pub fn add(&mut self, tokens: u32) {
        self.count += 1;
        self.tokens += u64::from(tokens);
    }

    fn subtract(&mut self, tokens: u32) {
        self.count = self.count.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens.into());
    }
}

/// The known requests at one engine.
#[derive(Debug, Clone, Default)]
pub struct Held {
    own: Sum,
    granted: Sum,
    /// Requests of daemons that are gone: tokens, and until when they may be held.
    lingering: Vec<(u32, Duration)>,
}

impl Held {
    /// Records a request that is sent.
    pub fn add(&mut self, holder: Holder, tokens: u32) {
        self.of(holder).add(tokens);
    }

    /// Records that a request has ended.
    pub fn remove(&mut self, holder: Holder, tokens: u32) {
        self.of(holder).subtract(tokens);
    }

    /// Replaces the sum of the grants.
    pub fn set_granted(&mut self, granted: Sum) {
        self.granted = granted;
    }

    /// Records a request of a daemon that is gone, which may be held until then.
    pub fn linger(&mut self, tokens: u32, until: Duration) {
        self.lingering.push((tokens, until));
    }

    /// Removes what is no longer held.
    pub fn tick(&mut self, now: Duration) {
        self.lingering.retain(|(_, until)| now < *until);
    }

    /// Returns the tokens of all known requests.
    pub fn tokens(&self) -> u64 {
        let lingering: u64 = self.lingering.iter().map(|(tokens, _)| u64::from(*tokens)).sum();
        self.own.tokens + self.granted.tokens + lingering
    }

    /// Returns how many of `load` requests are not known.
    fn unknown(&self, load: u32) -> u32 {
        load.saturating_sub(self.count())
    }

    /// Returns the number of known requests that have not been lost.
    fn count(&self) -> u32 {
        self.own.count + self.granted.count
    }

    fn of(&mut self, holder: Holder) -> &mut Sum {
        match holder {
            Holder::Own => &mut self.own,
            Holder::Granted => &mut self.granted,
        }
    }
}

/// Sizes of the requests of one service.
#[derive(Debug, Clone, Copy, Default)]
struct Sizes {
    mean: f64,
    variance: f64,
    count: u32,
}

impl Sizes {
    fn add(&mut self, tokens: u32) {
        self.count = self.count.saturating_add(1);
        let weight = SIZE_SMOOTHING.max(1.0 / f64::from(self.count));
        let difference = f64::from(tokens) - self.mean;
        self.mean += difference * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    /// Returns the tokens that so many requests probably do not exceed.
    fn bound(&self, count: f64) -> f64 {
        self.mean * count + DEVIATIONS * (self.variance * count).sqrt()
    }
}

/// What is known of an engine when a request is to be sent there.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// Service of the engine.
    pub service: &'a str,
    /// Its slots.
    pub slots: u32,
    /// The known requests.
    pub held: &'a Held,
    /// Number of all requests there, as far as known.
    pub load: u32,
}

/// The memory of the engines of all services, and this daemon's part in using it.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    /// Tokens of one engine, by service.
    capacities: HashMap<String, u64>,
    sizes: HashMap<String, Sizes>,
    /// Number of daemons that may use the engines.
    daemons: usize,
    /// Ratio of the daemons that this one reaches.
    reached_ratio: f64,
    has_brokers: bool,
    /// When this daemon was first and last asked for a grant, without a pause between.
    asked: Option<(Duration, Duration)>,
}

impl Memory {
    /// Sets the tokens of one engine of each service.
    pub fn set_capacities(&mut self, capacities: HashMap<String, u64>) {
        self.capacities = capacities;
    }

    /// Sets the number of daemons, the ratio of them that this one reaches, and whether brokers
    /// choose engines for them.
    pub fn set_daemons(&mut self, daemons: usize, reached_ratio: f64, has_brokers: bool) {
        (self.daemons, self.reached_ratio) = (daemons, reached_ratio);
        self.has_brokers = has_brokers;
    }

    /// Records that this daemon is asked for a grant.
    pub fn on_asked(&mut self, now: Duration) {
        let since = self.asked.filter(|(_, last)| now < *last + BROKER_TIMEOUT);
        self.asked = Some((since.map_or(now, |(since, _)| since), now));
    }

    /// Records the size of a request of a service.
    pub fn record_size(&mut self, service: &str, tokens: u32) {
        if let Some(sizes) = self.sizes.get_mut(service) {
            sizes.add(tokens);
        } else if self.capacities.contains_key(service) {
            self.sizes.entry(service.to_string()).or_default().add(tokens);
        }
    }

    /// Returns the mean size of the requests of a service.
    pub fn mean_size(&self, service: &str) -> u32 {
        self.sizes.get(service).map_or(0, |sizes| sizes.mean as u32)
    }

    /// Returns whether no engine of a service can ever hold a request.
    pub fn is_too_large(&self, service: &str, tokens: u64) -> bool {
        self.capacities.get(service).is_some_and(|capacity| tokens > *capacity)
    }

    /// Returns whether an engine can hold another request.
    pub fn has_room(&self, now: Duration, at: &Situation<'_>, tokens: u64) -> bool {
        let Some(capacity) = self.capacities.get(at.service) else {
            return true;
        };
        let sizes = self.sizes.get(at.service).copied().unwrap_or_default();
        let is_broker = self.is_broker(now);
        let (known, unknown) = (at.held.tokens(), at.held.unknown(at.load));
        let is_alone = if is_broker { self.reached_ratio > 0.5 } else { !self.has_brokers };
        if known == 0 && unknown == 0 && is_alone {
            return tokens <= *capacity;
        }
        let usable = *capacity as f64 * USABLE_RATIO;
        let ratio = if is_broker { self.reached_ratio } else { 1.0 / self.daemons.max(1) as f64 };
        let needed = (known + tokens) as f64;
        let is_ample = sizes.bound(f64::from(at.slots) * MAX_LOAD_RATIO) <= usable;
        let fits_own_part = needed <= usable * ratio;
        (is_ample || fits_own_part) && needed + sizes.bound(f64::from(unknown)) <= usable
    }

    /// Returns whether this daemon has been a broker long enough to know what was granted before.
    fn is_broker(&self, now: Duration) -> bool {
        self.asked.is_some_and(|(since, last)| {
            now < last + BROKER_TIMEOUT && now >= since + TAKEOVER_TIME
        })
    }
}
