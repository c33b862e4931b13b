//! Finds an endpoint for a request, and lets it wait for one.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::front::Job;
use crate::daemon::journal::Event;
use crate::daemon::peer;
use crate::decide::endpoint::Ask;
use crate::decide::fleet::Choice;
use crate::decide::patience;
use crate::decide::patience::Cause;
use crate::decide::patience::Held;
use crate::decide::patience::Verdict;
use crate::table::instance::Key;

/// What an order for a model takes beside the load itself: until the placer sees the demand, and
/// its way to the engine.
const ORDER: Duration = Duration::from_millis(600);

/// When a caller comes back that has waited here in vain: by then a round of orders is over.
const WAITED: Duration = Duration::from_millis(500);

/// A request that waits.
#[derive(Clone)]
pub struct Waiter {
    job: Rc<Job>,
    tried: Vec<Key>,
    give: Sender<Key>,
}

/// A request's place at an endpoint; freed when dropped.
pub struct Place {
    daemon: Rc<Daemon>,
    /// The endpoint.
    pub key: Key,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.daemon.fleet.borrow_mut().end(&self.key);
        if !self.daemon.line.borrow().is_empty() {
            pump(&self.daemon);
        }
    }
}

/// Why no endpoint was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Why, in a word.
    pub reason: &'static str,
    /// When coming back makes sense.
    pub after: Duration,
}

/// A waiting row; what it was given meanwhile is freed when dropped.
struct Row {
    daemon: Rc<Daemon>,
    job: Rc<Job>,
    given: Receiver<Key>,
}

impl Drop for Row {
    fn drop(&mut self) {
        let job = &self.job;
        self.daemon.line.borrow_mut().remove(job.number, job.route.priority, job.came);
        if let Ok(key) = self.given.try_recv() {
            drop(Place { daemon: self.daemon.clone(), key });
        }
    }
}

impl Job {
    fn ask<'a>(&'a self, tried: &'a [Key]) -> Ask<'a> {
        Ask {
            service: &self.service,
            model: self.caller.model.as_deref(),
            adapter: self.caller.adapter.as_deref(),
            places: self.places,
            prompt: self.caller.prompt,
            parts: &self.parts,
            gap: self.route.gap,
            tried,
        }
    }
}

fn pick(daemon: &Daemon, now: Duration, job: &Job, ask: &Ask<'_>) -> Choice {
    daemon.fleet.borrow().choose(now, ask, job.engines, &mut daemon.rng.borrow_mut())
}

fn choose(daemon: &Daemon, now: Duration, job: &Job, tried: &[Key]) -> Choice {
    match pick(daemon, now, job, &job.ask(tried)) {
        // Everything was tried: again is better than not at all, where it may run again.
        Choice::Full if !tried.is_empty() => pick(daemon, now, job, &job.ask(&[])),
        choice => choice,
    }
}

/// Whether any endpoint but one takes a job now.
pub fn takes(daemon: &Daemon, now: Duration, job: &Job, not: &Key) -> bool {
    matches!(pick(daemon, now, job, &job.ask(std::slice::from_ref(not))), Choice::Go(_))
}

fn start(daemon: &Rc<Daemon>, now: Duration, job: &Job, key: &Key) {
    let reading = {
        let mut fleet = daemon.fleet.borrow_mut();
        let reading = fleet.reading(now, key, &job.ask(&[]));
        fleet.start(now, key, &job.parts, reading.own);
        reading
    };
    job.reading.set(reading);
    if job.engines {
        peer::say_sent(daemon, key, reading.own);
    }
}

/// Takes a place for a request.
fn take(daemon: &Rc<Daemon>, now: Duration, job: &Job, key: Key) -> Place {
    start(daemon, now, job, &key);
    Place { daemon: daemon.clone(), key }
}

/// Finds an endpoint, waiting while that can help.
pub async fn find(daemon: &Rc<Daemon>, job: &Rc<Job>, tried: &[Key]) -> Result<Place, Refusal> {
    let now = clock::now();
    let ahead = daemon.line.borrow().ahead(job.route.priority, job.came, job.group);
    match choose(daemon, now, job, tried) {
        Choice::Go(key) if ahead == 0 => Ok(take(daemon, now, job, key)),
        other => wait(daemon, job, tried, other, ahead).await,
    }
}

async fn wait(
    daemon: &Rc<Daemon>,
    job: &Rc<Job>,
    tried: &[Key],
    choice: Choice,
    ahead: usize,
) -> Result<Place, Refusal> {
    let now = clock::now();
    let cause = cause(daemon, now, job, &choice, ahead);
    let held = Held { came: job.came, aim: job.route.aim, deadline: job.deadline };
    let verdict = patience::judge(now, &held, cause, &mut daemon.rng.borrow_mut());
    if let Choice::Pace(span) = choice {
        pump_after(daemon, now, span);
    }
    let until = match verdict {
        Verdict::Refuse(after) => return Err(Refusal { reason: reason(&choice), after }),
        Verdict::Wait(until) => until.min(job.deadline),
    };
    daemon.note(&Event::Waits {
        request: job.caller.id.clone(),
        cause: format!("{cause:?}"),
        until: until.saturating_sub(now).as_millis() as u64,
        ahead,
    });
    let (give, given) = smol::channel::bounded(1);
    let waiter = Waiter { job: job.clone(), tried: tried.to_vec(), give };
    daemon.line.borrow_mut().push(job.number, job.route.priority, job.came, job.group, waiter);
    let row = Row { daemon: daemon.clone(), job: job.clone(), given };
    if let Choice::Fetch(key) = &choice {
        peer::want(daemon, key, job);
    }
    let come = async { row.given.recv().await.ok() };
    let over = async {
        Timer::after(until.saturating_sub(now)).await;
        None
    };
    // One that waits for prompts to be read is refused as well. Sent after all, it would be answered soon
    // itself and hold up every stream there, each caller in turn for as long as the crowd lasts: 0.583
    // against 0.562 of the worth of a fleet's days with trouble (four runs of five days each).
    match come.or(over).await {
        Some(key) => Ok(Place { daemon: daemon.clone(), key }),
        None => {
            let left = job.deadline.saturating_sub(clock::now());
            let after = patience::back(left, WAITED, &mut daemon.rng.borrow_mut());
            Err(Refusal { reason: "waited", after })
        }
    }
}

/// Looks at those who wait once prompts have been read.
fn pump_after(daemon: &Rc<Daemon>, now: Duration, span: Duration) {
    let due = now + span;
    if daemon.pump_at.get().is_some_and(|at| now < at && at <= due) {
        return;
    }
    daemon.pump_at.set(Some(due));
    let shared = daemon.clone();
    let look = async move {
        Timer::after(span).await;
        if shared.pump_at.get() == Some(due) {
            shared.pump_at.set(None);
        }
        pump(&shared);
    };
    daemon.ex.spawn(look).detach();
}

fn reason(choice: &Choice) -> &'static str {
    match choice {
        Choice::Go(_) | Choice::Pace(_) | Choice::Full => "full",
        Choice::Fetch(_) => "adapter_absent",
        Choice::Absent => "model_absent",
        Choice::Empty => "no_endpoint",
    }
}

fn cause(daemon: &Daemon, now: Duration, job: &Job, choice: &Choice, ahead: usize) -> Cause {
    match choice {
        Choice::Go(_) | Choice::Full => {
            Cause::Full { ahead, rate: daemon.gauges.rate(now, job.group) }
        }
        Choice::Pace(wait) => Cause::Paced(*wait),
        Choice::Fetch(key) => Cause::Loading(daemon.fleet.borrow().busy(now, key) + ORDER / 4),
        Choice::Absent => match load_time(daemon, job) {
            Some(time) => Cause::Loading(time + ORDER),
            None => Cause::Nothing,
        },
        Choice::Empty => Cause::Nothing,
    }
}

/// How long the model's quickest load would take; none when it is not published.
fn load_time(daemon: &Daemon, job: &Job) -> Option<Duration> {
    let config = daemon.config.borrow().clone()?;
    let name = job.caller.model.as_deref()?;
    let model = config.services.get(&job.service)?.engines.as_ref()?.model(name)?.clone();
    let fleet = daemon.fleet.borrow();
    let rows = fleet.rows().filter(|row| row.instance.service == job.service);
    rows.map(|row| model.load(&row.instance.copies)).min()
}

/// Gives places to requests that wait, in order.
pub fn pump(daemon: &Rc<Daemon>) {
    let now = clock::now();
    let rows: Vec<(u64, Waiter)> = {
        let line = daemon.line.borrow();
        line.rows().map(|(_, group, waiter)| (group, waiter.clone())).collect()
    };
    let mut stuck = HashSet::new();
    for (group, waiter) in rows {
        if stuck.contains(&group) {
            continue;
        }
        let job = &waiter.job;
        match choose(daemon, now, job, &waiter.tried) {
            Choice::Go(key) => {
                let waits =
                    daemon.line.borrow_mut().remove(job.number, job.route.priority, job.came);
                if waits.is_some() {
                    start(daemon, now, job, &key);
                    if waiter.give.try_send(key.clone()).is_err() {
                        daemon.fleet.borrow_mut().end(&key);
                    }
                }
            }
            Choice::Fetch(key) => {
                peer::want(daemon, &key, job);
                stuck.insert(group);
            }
            Choice::Pace(span) => {
                pump_after(daemon, now, span);
                stuck.insert(group);
            }
            Choice::Full | Choice::Absent | Choice::Empty => {
                stuck.insert(group);
            }
        }
    }
}
