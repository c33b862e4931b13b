//! A virtual-time scene to judge decisions by what callers receive.
//!
//! Entries, each with its own decisions, share endpoints. An endpoint is a service curve: it runs
//! up to `BATCH` requests at once, a step takes `STEP` and `STEP_EACH` more for each of them, and
//! gives each one token; a prompt takes a step for each `CHUNK` tokens. What it cannot run waits
//! there by priority. Reports reach the entries with a lag, peers' digests once a second.
//! No cluster: nothing is placed, lost or restarted but by the faults a test asks for.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use poplarmux::config::service::Class;
use poplarmux::decide::flow::Action;
use poplarmux::decide::flow::Event;
use poplarmux::decide::flow::Flow;
use poplarmux::decide::flow::Job;
use poplarmux::decide::flow::Location;
use poplarmux::decide::flow::Refusal;
use poplarmux::decide::flow::Target;
use poplarmux::edge::endpoint;
use poplarmux::edge::endpoint::Report;
use poplarmux::edge::endpoint::Resident;
use poplarmux::edge::endpoint::Stage;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Presence;
use poplarmux::edge::platform::Role;
use poplarmux::table::EndpointId;

/// Requests an endpoint runs at once.
pub const BATCH: usize = 32;
/// Seconds of a step that runs one request, without `STEP_EACH`.
pub const STEP: f64 = 0.020;
/// Seconds more for each request in a step.
pub const STEP_EACH: f64 = 0.0007;
/// Tokens of a prompt worked off in one step.
pub const CHUNK: f64 = 128.0;
/// One-way time within a region and between regions.
const NEAR: f64 = 0.0005;
const FAR: f64 = 0.030;
/// Seconds between reports, and how late they arrive.
const REPORT: f64 = 1.0;
const LAG: f64 = 0.5;
/// Seconds between two looks of a stream at its progress.
const BEAT: f64 = 0.5;
/// Blocks of prompts that an endpoint keeps.
const CACHE: usize = 4096;

/// Steps a second of a full batch, over all its requests: what one endpoint can do.
pub fn capacity() -> f64 {
    BATCH as f64 / (STEP + STEP_EACH * BATCH as f64)
}

/// What makes decisions for an entry.
pub trait Policy {
    /// Takes one event.
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Action>;
    /// Does what time alone makes due.
    fn tick(&mut self, now: Duration) -> Vec<Action>;
    /// When `tick` is due.
    fn next(&self, now: Duration) -> Option<Duration>;
    /// Requests in flight, an endpoint each.
    fn digest(&self) -> Vec<(EndpointId, u32)>;
    /// Whether requests keep their priority at endpoints.
    fn priorities(&self) -> bool;
}

impl Policy for Flow {
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        Flow::handle(self, now, event)
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        Flow::tick(self, now)
    }

    fn next(&self, now: Duration) -> Option<Duration> {
        Flow::next_tick(self, now)
    }

    fn digest(&self) -> Vec<(EndpointId, u32)> {
        Flow::digest(self)
    }

    fn priorities(&self) -> bool {
        true
    }
}

/// An endpoint to build.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its region, by number.
    pub region: usize,
    /// The models on it, with adapters.
    pub holds: Vec<(String, Vec<String>)>,
    /// Its speed; 1 is usual.
    pub speed: f64,
}

/// A request to come.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it comes.
    pub at: Duration,
    /// The entry it comes to.
    pub entry: usize,
    /// The request; its id is its place in the list of arrivals.
    pub job: Job,
    /// Tokens it really generates.
    pub length: u32,
    /// Whether it crashes the endpoint that runs it.
    pub deadly: bool,
}

/// What happens to endpoints.
#[derive(Debug, Clone)]
pub enum Fault {
    /// From now on it runs at this speed.
    Speed(usize, f64),
    /// It is down for this long; what ran there is broken.
    Down(usize, Duration),
    /// It takes no new work.
    Leave(usize),
}

/// What a caller received.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Time of the first token, since arrival.
    pub first: Option<Duration>,
    /// Time of the whole answer, since arrival.
    pub whole: Option<Duration>,
    /// Whether it came before the deadline.
    pub timely: bool,
    /// The refusal, and how long after arrival.
    pub refused: Option<(Duration, Refusal)>,
    /// Attempts sent to endpoints.
    pub attempts: u32,
    /// Whether it went to another region.
    pub away: bool,
}

/// A request at an endpoint.
#[derive(Debug, Clone)]
struct Work {
    request: usize,
    attempt: u32,
    priority: u8,
    /// Steps left, of which `prompt` come before the first token.
    left: f64,
    prompt: f64,
    told: f64,
    begun: bool,
}

#[derive(Debug)]
struct Machine {
    spec: Spec,
    address: EndpointId,
    running: Vec<Work>,
    waiting: Vec<Work>,
    /// Up to when the running ones were worked off.
    at: f64,
    epoch: u64,
    down: f64,
    leaving: bool,
    incarnation: u64,
    sequence: u64,
    cache: Vec<u64>,
}

#[derive(Debug)]
enum Happening {
    Arrive(usize),
    Work(usize, u64),
    Reach(usize, usize, u32),
    Tell(usize, Box<Event>),
    Tick(usize),
    Report(usize),
    Digest,
    Fault(usize),
    Cancel(usize, usize, u32),
}

/// Entries, endpoints, and what is to come.
pub struct Scene {
    machines: Vec<Machine>,
    entries: Vec<(usize, Box<dyn Policy>)>,
    arrivals: Vec<Arrival>,
    faults: Vec<(Duration, Fault)>,
    records: Vec<Record>,
    places: BTreeMap<EndpointId, usize>,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    ticks: Vec<u64>,
    serial: u64,
    now: f64,
}

/// The home of an entry in a region.
pub fn home(region: usize) -> Location {
    Location { region: format!("r{region}"), data_center: format!("r{region}-1") }
}

/// The address of an endpoint, by number.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (number / 250) as u8, (number % 250) as u8 + 1], 9000))
}

fn nanos(at: f64) -> u64 {
    (at * 1e9) as u64
}

impl Scene {
    /// Endpoints, and entries with the region each is in.
    pub fn new(specs: Vec<Spec>, entries: Vec<(usize, Box<dyn Policy>)>) -> Self {
        let machine = |(number, spec): (usize, Spec)| Machine {
            spec,
            address: address(number),
            running: Vec::new(),
            waiting: Vec::new(),
            at: 0.0,
            epoch: 0,
            down: 0.0,
            leaving: false,
            incarnation: 1,
            sequence: 0,
            cache: Vec::new(),
        };
        let machines: Vec<Machine> = specs.into_iter().enumerate().map(machine).collect();
        let places = machines.iter().enumerate().map(|(at, row)| (row.address, at)).collect();
        Scene {
            machines,
            ticks: vec![u64::MAX; entries.len()],
            entries,
            arrivals: Vec::new(),
            faults: Vec::new(),
            records: Vec::new(),
            places,
            agenda: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            serial: 0,
            now: 0.0,
        }
    }

    /// Runs all arrivals to their ends and gives each one's record.
    pub fn run(mut self, arrivals: Vec<Arrival>, faults: Vec<(Duration, Fault)>) -> Vec<Record> {
        self.records = vec![Record::default(); arrivals.len()];
        let end = arrivals.iter().map(|row| row.job.deadline).max().unwrap_or_default();
        let end = end.as_secs_f64() + 30.0;
        for (number, row) in arrivals.iter().enumerate() {
            self.push(row.at.as_secs_f64() + 2.0 * REPORT, Happening::Arrive(number));
        }
        for (number, (at, _)) in faults.iter().enumerate() {
            self.push(at.as_secs_f64() + 2.0 * REPORT, Happening::Fault(number));
        }
        self.arrivals = arrivals;
        self.faults = faults;
        self.listed();
        for number in 0..self.machines.len() {
            self.push(0.1 + 0.01 * number as f64, Happening::Report(number));
        }
        self.push(1.0, Happening::Digest);
        while let Some(Reverse((at, serial))) = self.agenda.pop() {
            self.now = at as f64 / 1e9;
            if self.now > end {
                break;
            }
            if let Some(happening) = self.happenings.remove(&serial) {
                self.happen(happening);
            }
        }
        self.records
    }

    fn push(&mut self, at: f64, happening: Happening) {
        self.serial += 1;
        self.happenings.insert(self.serial, happening);
        self.agenda.push(Reverse((nanos(at), self.serial)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(number) => {
                let mut job = self.arrivals[number].job.clone();
                job.deadline += Duration::from_secs_f64(2.0 * REPORT);
                self.event(self.arrivals[number].entry, Event::Arrived(job));
            }
            Happening::Work(at, epoch) if self.machines[at].epoch == epoch => self.advance(at),
            Happening::Work(..) => {}
            Happening::Reach(at, number, attempt) => self.reach(at, number, attempt),
            Happening::Tell(entry, event) => self.event(entry, *event),
            Happening::Tick(entry) => {
                self.ticks[entry] = u64::MAX;
                let actions = self.entries[entry].1.tick(Duration::from_secs_f64(self.now));
                self.act(entry, actions);
            }
            Happening::Report(at) => self.report(at),
            Happening::Digest => self.digest(),
            Happening::Fault(number) => self.fault(number),
            Happening::Cancel(at, number, attempt) => {
                self.advance(at);
                let other = |work: &Work| (work.request, work.attempt) != (number, attempt);
                self.machines[at].running.retain(other);
                self.machines[at].waiting.retain(other);
                self.schedule(at);
            }
        }
    }

    fn event(&mut self, entry: usize, event: Event) {
        let done = match &event {
            Event::Finished(id) => Some(*id as usize),
            _ => None,
        };
        if let Event::Progress(id, _) = &event {
            let since = self.now - self.arrivals[*id as usize].at.as_secs_f64() - 2.0 * REPORT;
            self.records[*id as usize].first.get_or_insert(Duration::from_secs_f64(since));
        }
        if let Some(number) = done {
            let arrival = &self.arrivals[number];
            let whole = self.now - arrival.at.as_secs_f64() - 2.0 * REPORT;
            let room = (arrival.job.deadline - arrival.at).as_secs_f64();
            let record = &mut self.records[number];
            record.whole = Some(Duration::from_secs_f64(whole));
            record.timely = whole <= room && record.refused.is_none();
        }
        let actions = self.entries[entry].1.handle(Duration::from_secs_f64(self.now), event);
        self.act(entry, actions);
    }

    fn act(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(id, endpoint) => {
                    let at = self.places[&endpoint];
                    let record = &mut self.records[id as usize];
                    record.attempts += 1;
                    let attempt = record.attempts;
                    record.away |= self.machines[at].spec.region != self.entries[entry].0;
                    let link = self.link(entry, at);
                    self.push(self.now + link, Happening::Reach(at, id as usize, attempt));
                }
                Action::Refuse(id, refusal) => {
                    let arrival = &self.arrivals[id as usize];
                    let after = self.now - arrival.at.as_secs_f64() - 2.0 * REPORT;
                    let after = Duration::from_secs_f64(after.max(0.0));
                    self.records[id as usize].refused = Some((after, refusal));
                }
                Action::Cancel(id, endpoint) => {
                    let at = self.places[&endpoint];
                    let attempt = self.records[id as usize].attempts;
                    let link = self.link(entry, at);
                    self.push(self.now + link, Happening::Cancel(at, id as usize, attempt));
                }
                Action::Quarantine(fingerprint, term) => {
                    for peer in (0..self.entries.len()).filter(|peer| *peer != entry) {
                        let told = Box::new(Event::Quarantined(fingerprint, term));
                        self.push(self.now + FAR, Happening::Tell(peer, told));
                    }
                }
            }
        }
        let now = Duration::from_secs_f64(self.now);
        if let Some(next) = self.entries[entry].1.next(now) {
            let next = next.as_secs_f64().max(self.now + 0.001);
            if nanos(next) < self.ticks[entry] {
                self.ticks[entry] = nanos(next);
                self.push(next, Happening::Tick(entry));
            }
        }
    }

    fn link(&self, entry: usize, at: usize) -> f64 {
        if self.entries[entry].0 == self.machines[at].spec.region { NEAR } else { FAR }
    }

    fn tell(&mut self, at: usize, number: usize, event: Event) {
        let entry = self.arrivals[number].entry;
        let link = self.link(entry, at);
        self.push(self.now + link, Happening::Tell(entry, Box::new(event)));
    }

    fn fail(&mut self, at: usize, number: usize, error: endpoint::Error) {
        self.tell(at, number, Event::Failed { request: number as u64, error, delivered: 0 });
    }

    /// A request reaches an endpoint.
    fn reach(&mut self, at: usize, number: usize, attempt: u32) {
        self.advance(at);
        if self.machines[at].down > self.now {
            return self.fail(at, number, endpoint::Error::Connect);
        }
        if self.machines[at].leaving {
            let entry = self.arrivals[number].entry;
            let leaving = Event::Leaving(self.machines[at].address);
            self.push(self.now + self.link(entry, at), Happening::Tell(entry, Box::new(leaving)));
            return self.fail(at, number, endpoint::Error::Refused(503, None));
        }
        let arrival = &self.arrivals[number];
        let machine = &mut self.machines[at];
        let cached =
            arrival.job.prefix_hashes.iter().rposition(|block| machine.cache.contains(block));
        let hit = cached.map_or(0.0, |last| 16.0 * (last + 1) as f64);
        machine.cache.extend(&arrival.job.prefix_hashes);
        let over = machine.cache.len().saturating_sub(CACHE);
        machine.cache.drain(..over);
        let prompt = ((f64::from(arrival.job.prompt_tokens) - hit).max(0.0) / CHUNK).max(0.5);
        let priority = match self.entries[arrival.entry].1.priorities() {
            true => arrival.job.class as u8,
            false => 0,
        };
        let left = prompt + f64::from(arrival.length);
        let work =
            Work { request: number, attempt, priority, left, prompt, told: 0.0, begun: false };
        machine.waiting.push(work);
        self.schedule(at);
        if self.arrivals[number].deadly {
            self.crash(at, Duration::from_secs(5));
        }
    }

    /// Works off what an endpoint ran since it was last looked at.
    fn advance(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let span = (self.now - machine.at).max(0.0);
        machine.at = self.now;
        let step = (STEP + STEP_EACH * machine.running.len() as f64) / machine.spec.speed;
        let steps = span / step;
        let mut events = Vec::new();
        for work in &mut machine.running {
            work.left -= steps;
            let id = work.request as u64;
            let length = f64::from(self.arrivals[work.request].length);
            let ahead = (length - work.left.max(0.0)).floor();
            if !work.begun && work.left <= length + 1e-9 {
                work.begun = true;
                work.told = ahead.max(0.0);
                events.push((work.request, Event::Progress(id, 1)));
            } else if work.begun && ahead - work.told >= BEAT / step {
                events.push((work.request, Event::Progress(id, (ahead - work.told) as u32)));
                work.told = ahead;
            }
            if work.left <= 1e-6 {
                let rest = (length - work.told).max(0.0) as u32;
                events.push((work.request, Event::Progress(id, rest)));
                events.push((work.request, Event::Finished(id)));
            }
        }
        let (running, waiting) = (machine.running.len() as u32, machine.waiting.len() as u32);
        machine.running.retain(|work| work.left > 1e-6);
        let address = machine.address;
        let more = !events.is_empty();
        for (number, event) in events {
            if matches!(event, Event::Progress(_, 1)) {
                self.tell(at, number, Event::Load(address, running, waiting));
            }
            self.tell(at, number, event);
        }
        if more {
            self.schedule(at);
        }
    }

    /// Lets waiting requests run, and looks again when the next thing happens there.
    fn schedule(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.epoch += 1;
        machine.waiting.sort_by_key(|work| work.priority);
        while machine.running.len() < BATCH && !machine.waiting.is_empty() {
            let work = machine.waiting.remove(0);
            machine.running.push(work);
        }
        let step = (STEP + STEP_EACH * machine.running.len() as f64) / machine.spec.speed;
        let due = |work: &Work| match work.begun {
            true => work.left.min(BEAT / step + 1.0),
            false => work.left.min(work.prompt.min(work.left)).max(0.0),
        };
        let arrivals = &self.arrivals;
        let until = |work: &Work| match work.begun {
            true => due(work),
            false => (work.left - f64::from(arrivals[work.request].length)).max(0.0),
        };
        let soonest = machine.running.iter().map(until).fold(f64::MAX, f64::min);
        if soonest < f64::MAX {
            let epoch = machine.epoch;
            let when = self.now + (soonest * step).max(1e-6) + 1e-7;
            self.push(when, Happening::Work(at, epoch));
        }
    }

    fn crash(&mut self, at: usize, down: Duration) {
        let machine = &mut self.machines[at];
        machine.down = self.now + down.as_secs_f64();
        machine.incarnation += 1;
        machine.sequence = 0;
        machine.epoch += 1;
        machine.cache.clear();
        let mut lost = std::mem::take(&mut machine.running);
        lost.append(&mut machine.waiting);
        for work in lost {
            self.fail(at, work.request, endpoint::Error::Broken);
        }
    }

    fn fault(&mut self, number: usize) {
        match self.faults[number].1.clone() {
            Fault::Speed(at, speed) => {
                self.advance(at);
                self.machines[at].spec.speed = speed;
                self.schedule(at);
            }
            Fault::Down(at, span) => self.crash(at, span),
            Fault::Leave(at) => self.machines[at].leaving = true,
        }
    }

    fn report(&mut self, at: usize) {
        self.push(self.now + REPORT, Happening::Report(at));
        let machine = &mut self.machines[at];
        if machine.down > self.now {
            return;
        }
        machine.sequence += 1;
        let item = |model: &String, adapter: Option<&String>| Resident {
            model: model.clone(),
            version: 1,
            adapter: adapter.cloned(),
            accelerator: 0,
            memory: 1,
            stage: Stage::Resident,
        };
        let resident = machine.spec.holds.iter().flat_map(|(model, adapters)| {
            let adapters = adapters.iter().map(|name| item(model, Some(name)));
            std::iter::once(item(model, None)).chain(adapters)
        });
        let report = Report {
            incarnation: machine.incarnation,
            sequence: machine.sequence,
            accelerators: Vec::new(),
            resident: resident.collect(),
            applied: Vec::new(),
            running: machine.running.len() as u32,
            waiting: machine.waiting.len() as u32,
            draining: machine.leaving,
        };
        let address = machine.address;
        for entry in 0..self.entries.len() {
            let event = Box::new(Event::Reported(address, report.clone()));
            self.push(self.now + LAG, Happening::Tell(entry, event));
        }
    }

    fn digest(&mut self) {
        self.push(self.now + 1.0, Happening::Digest);
        for entry in 0..self.entries.len() {
            let digest = self.entries[entry].1.digest();
            let name = SocketAddr::from(([127, 2, 0, entry as u8 + 1], 9100));
            for peer in (0..self.entries.len()).filter(|peer| *peer != entry) {
                let event = Box::new(Event::Digest(name, digest.clone()));
                self.push(self.now + FAR, Happening::Tell(peer, event));
            }
        }
    }

    fn listed(&mut self) {
        let instance = |machine: &Machine| Instance {
            address: machine.address,
            peer: None,
            region: home(machine.spec.region).region,
            data_center: home(machine.spec.region).data_center,
            role: Role::Engine,
            service: None,
            state: Presence::Live,
            incarnation: 1,
        };
        let list: Vec<Instance> = self.machines.iter().map(instance).collect();
        for entry in 0..self.entries.len() {
            self.push(0.0, Happening::Tell(entry, Box::new(Event::Listed(list.clone()))));
        }
    }
}

/// A job with the usual values, for tests and loads.
pub fn job(id: u64, model: &str, caller: &str) -> Job {
    Job {
        id,
        service: model.to_string(),
        target: Target::Model(model.to_string(), None),
        caller: caller.to_string(),
        class: Class::Interactive,
        deadline: Duration::from_secs(20),
        prompt_tokens: 600,
        max_tokens: 400,
        prefix_hashes: Vec::new(),
        fingerprint: id ^ 0x9e37_79b9_7f4a_7c15,
        repeatable: true,
    }
}
