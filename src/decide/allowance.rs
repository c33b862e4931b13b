//! Retry allowance: bounds the requests that all daemons together may send again.
//!
//! Load pattern: an engine fails part of its requests, or many engines refuse at the same time,
//! while daemons are killed, start without knowing the others, or are cut off from them. Without a
//! common bound each daemon resends what failed, and together they add a second load to engines
//! that have no capacity for the first.
//!
//! A retry is paid for with a credit, and a daemon has only the credits that its own callers'
//! requests have earned since it started. As each request arrives at one daemon, the sum over all
//! daemons depends neither on how many there are, nor on what they know of each other, nor on what
//! any of them has forgotten. A credit expires before a window has passed, so that the retries in a
//! window are paid by requests of that window and of the one before.
//!
//! A request that was given up may still be read, once its endpoint goes on after it has stood still,
//! and only then it counts as a repeat. The credit of such a retry stays in use until the endpoint has
//! answered: beyond its lifetime another one takes its place.
//!
//! Bound: requests earn half of the allowed ratio, and the larger of two windows has at least half
//! of their requests. The allowed fixed number of retries is not used: it covers the time between
//! sending and arrival beyond what the expiry covers, and the rounding of credits.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::table::ServiceId;

/// Part of the allowed ratio that requests earn.
const EARNED_RATIO: f64 = 0.5;
/// Lifetime of a credit as a part of the window. The rest of the window covers requests that are
/// counted, and retries that arrive, later than they were sent.
const CREDIT_LIFETIME_RATIO: f64 = 0.8;

/// Bound on the retries of all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retries {
    /// Retries as a ratio of the requests in a window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of additional retries in each window; not used, see above.
    pub slack: f64,
}

/// A credit that was spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Credit {
    earned_at: Duration,
}

/// Credits for the retries of one service.
#[derive(Debug, Default)]
struct Account {
    /// Part of the next credit that has been earned; less than 1.
    fraction: f64,
    /// When each credit was earned, in order.
    credits: VecDeque<Duration>,
    /// Spent credits of retries whose requests may arrive later.
    held: Vec<Credit>,
}

impl Account {
    /// Adds a credit that was earned at `at`, possibly before others that were added.
    fn add(&mut self, at: Duration) {
        let index = self.credits.partition_point(|other| *other <= at);
        self.credits.insert(index, at);
    }

    fn expire(&mut self, now: Duration, lifetime: Duration) {
        while self.credits.front().is_some_and(|at| now >= *at + lifetime) {
            self.credits.pop_front();
        }
    }

    /// Returns how many credits may be spent at `now`: those that neither have expired nor take the
    /// place of held ones that have.
    fn available(&self, now: Duration, lifetime: Duration) -> usize {
        let live = self.credits.len() - self.credits.partition_point(|at| now >= *at + lifetime);
        let expired = self.held.iter().filter(|credit| now >= credit.earned_at + lifetime).count();
        live.saturating_sub(expired)
    }
}

/// Retries that one daemon may make for each service.
#[derive(Debug)]
pub struct Allowance {
    retries: Retries,
    accounts: HashMap<ServiceId, Account>,
    rng: SmallRng,
}

impl Allowance {
    /// Returns an allowance without any credit.
    pub fn new(retries: Retries, rng: SmallRng) -> Self {
        Allowance { retries, accounts: HashMap::new(), rng }
    }

    /// Records a request that a caller sent at `at`.
    pub fn record_request(&mut self, at: Duration, service: &str) {
        let earned = self.retries.ratio * EARNED_RATIO;
        if !self.accounts.contains_key(service) {
            // A random part, so that on average daemons that serve few requests or restart often
            // earn neither more nor less than others, and daemons do not earn at the same time.
            let account = Account { fraction: self.rng.random(), ..Account::default() };
            self.accounts.insert(service.to_string(), account);
        }
        let lifetime = self.lifetime();
        let account = self.accounts.get_mut(service).expect("inserted above");
        account.expire(at, lifetime);
        account.fraction += earned;
        while account.fraction >= 1.0 {
            account.fraction -= 1.0;
            account.add(at);
        }
    }

    /// Spends the oldest credit; returns none if there is none.
    pub fn spend(&mut self, now: Duration, service: &str) -> Option<Credit> {
        let lifetime = self.lifetime();
        let account = self.accounts.get_mut(service)?;
        account.expire(now, lifetime);
        if account.available(now, lifetime) == 0 {
            return None;
        }
        account.credits.pop_front().map(|earned_at| Credit { earned_at })
    }

    /// Keeps a spent credit in use, as the request that was given up before may arrive later.
    pub fn hold(&mut self, service: &str, credit: Credit) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.held.push(credit);
        }
    }

    /// Ends the use of a held credit at `now`: the request has arrived, or never will.
    pub fn release(&mut self, now: Duration, service: &str, credit: Credit) {
        let lifetime = self.lifetime();
        let Some(account) = self.accounts.get_mut(service) else {
            return;
        };
        let Some(position) = account.held.iter().position(|other| *other == credit) else {
            return;
        };
        account.held.swap_remove(position);
        account.expire(now, lifetime);
        // The credit that has taken its place pays for the arrival.
        if now >= credit.earned_at + lifetime {
            account.credits.pop_front();
        }
    }

    /// Returns the number of retries left at `now`.
    pub fn remaining(&self, now: Duration, service: &str) -> usize {
        let lifetime = self.lifetime();
        self.accounts.get(service).map_or(0, |account| account.available(now, lifetime))
    }

    /// Returns for each service the number of retries left at `now`, and of credits that are held.
    pub fn rows(&self, now: Duration) -> impl Iterator<Item = (&ServiceId, usize, usize)> {
        let lifetime = self.lifetime();
        let row = move |account: &Account| (account.available(now, lifetime), account.held.len());
        self.accounts.iter().map(move |(service, account)| {
            let (left, held) = row(account);
            (service, left, held)
        })
    }

    fn lifetime(&self) -> Duration {
        self.retries.window.mul_f64(CREDIT_LIFETIME_RATIO)
    }
}
