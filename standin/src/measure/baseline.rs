//! Plain rivals of the decisions, to compare with.
//!
//! All of them know where models are resident from the same reports as poplarmux, try a refused or
//! broken request once more elsewhere, and stop a request whose deadline has passed, as its caller
//! has hung up by then. None of them knows a deadline before it passes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use poplarmux::decide::flow::Action;
use poplarmux::decide::flow::Event;
use poplarmux::decide::flow::Job;
use poplarmux::decide::flow::Refusal;
use poplarmux::decide::flow::Target;
use poplarmux::edge::endpoint::Report;
use poplarmux::edge::endpoint::Stage;
use poplarmux::table::EndpointId;
use poplarmux::table::RequestId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::scene::BATCH;
use crate::scene::Policy;

/// Requests a bounded queue holds.
const QUEUE: usize = 64;

/// How a rival chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A first-come queue of bounded length at each entry, then any endpoint with a place.
    First,
    /// The least reported load, at once.
    Least,
    /// The less loaded by report of two drawn at random, at once.
    Two,
    /// As `Two`, and nothing is ever refused: no bound on what waits at an endpoint.
    Open,
}

/// A rival's tables.
pub struct Baseline {
    rule: Rule,
    /// Entries that share each endpoint.
    entries: usize,
    reports: BTreeMap<EndpointId, Report>,
    running: BTreeMap<EndpointId, u32>,
    open: BTreeMap<RequestId, (Job, Option<EndpointId>, u32)>,
    deadlines: BTreeSet<(Duration, RequestId)>,
    queue: VecDeque<RequestId>,
    rng: SmallRng,
}

impl Baseline {
    /// A rival at one of `entries`.
    pub fn new(rule: Rule, entries: usize, seed: u64) -> Self {
        Baseline {
            rule,
            entries,
            reports: BTreeMap::new(),
            running: BTreeMap::new(),
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            queue: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn load(&self, endpoint: &EndpointId) -> u32 {
        self.reports.get(endpoint).map_or(0, |report| report.running + report.waiting)
    }

    fn choose(&mut self, target: &Target) -> Option<EndpointId> {
        let holds = |report: &Report| {
            let Target::Model(model, adapter) = target else {
                return false;
            };
            report.resident.iter().any(|item| {
                item.stage == Stage::Resident && item.model == *model && item.adapter == *adapter
            })
        };
        let places = BATCH.div_ceil(self.entries) as u32;
        let fits = |at: &EndpointId| match self.rule {
            Rule::First => self.running.get(at).copied().unwrap_or_default() < places,
            Rule::Least | Rule::Two => self.load(at) < 2 * BATCH as u32,
            Rule::Open => true,
        };
        let all: Vec<EndpointId> = self
            .reports
            .iter()
            .filter(|(at, report)| holds(report) && fits(at))
            .map(|(at, _)| *at)
            .collect();
        if all.is_empty() {
            return None;
        }
        match self.rule {
            Rule::First => Some(all[self.rng.random_range(0..all.len())]),
            Rule::Least => all.into_iter().min_by_key(|at| self.load(at)),
            Rule::Two | Rule::Open => {
                let one = all[self.rng.random_range(0..all.len())];
                let two = all[self.rng.random_range(0..all.len())];
                Some(if self.load(&two) < self.load(&one) { two } else { one })
            }
        }
    }

    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(target) = self.open.get(&id).map(|row| row.0.target.clone()) else {
            return true;
        };
        let Some(at) = self.choose(&target) else {
            return false;
        };
        *self.running.entry(at).or_default() += 1;
        if let Some(row) = self.open.get_mut(&id) {
            row.1 = Some(at);
            row.2 += 1;
        }
        out.push(Action::Dispatch(id, at));
        true
    }

    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<EndpointId> {
        let (job, at, _) = self.open.remove(&id)?;
        self.deadlines.remove(&(job.deadline, id));
        self.queue.retain(|other| *other != id);
        self.release(at);
        self.pull(out);
        at
    }

    fn release(&mut self, at: Option<EndpointId>) {
        if let Some(running) = at.and_then(|at| self.running.get_mut(&at)) {
            *running = running.saturating_sub(1);
        }
    }

    fn pull(&mut self, out: &mut Vec<Action>) {
        // First come, first served for each model: a head without a place holds back only those
        // that come after it for the same model.
        let mut held: Vec<Target> = Vec::new();
        for id in self.queue.clone() {
            let target = self.open[&id].0.target.clone();
            if held.contains(&target) {
                continue;
            }
            if self.send(id, out) {
                self.queue.retain(|other| *other != id);
            } else {
                held.push(target);
            }
        }
    }

    fn refuse(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.end(id, out);
        out.push(Action::Refuse(id, Refusal::Overloaded(Duration::from_secs(1))));
    }
}

impl Policy for Baseline {
    fn handle(&mut self, _now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Arrived(job) => {
                let id = job.id;
                self.deadlines.insert((job.deadline, id));
                self.open.insert(id, (job, None, 0));
                if !self.send(id, &mut out) {
                    if self.rule == Rule::First && self.queue.len() < QUEUE {
                        self.queue.push_back(id);
                    } else {
                        self.refuse(id, &mut out);
                    }
                }
            }
            Event::Finished(id) | Event::HungUp(id) => {
                self.end(id, &mut out);
            }
            Event::Failed { request, .. } => {
                let attempts = self.open.get(&request).map_or(2, |row| row.2);
                let at = self.open.get_mut(&request).and_then(|row| row.1.take());
                self.release(at);
                if attempts >= 2 || !self.send(request, &mut out) {
                    self.refuse(request, &mut out);
                }
            }
            Event::Reported(at, report) => {
                self.reports.insert(at, report);
            }
            _ => {}
        }
        out
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        while let Some((at, id)) = self.deadlines.first().copied().filter(|row| row.0 <= now) {
            self.deadlines.remove(&(at, id));
            if let Some(at) = self.open.get(&id).and_then(|row| row.1) {
                out.push(Action::Cancel(id, at));
            }
            self.refuse(id, &mut out);
        }
        out
    }

    fn next(&self, _now: Duration) -> Option<Duration> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    fn digest(&self) -> Vec<(EndpointId, u32)> {
        Vec::new()
    }

    fn priorities(&self) -> bool {
        false
    }
}
