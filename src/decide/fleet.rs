//! Which endpoint a request goes to.
//!
//! Load pattern: many daemons share few engines, none of which sees the others' requests; engines
//! differ in speed and distance, hold few of many models, and some fail or fall silent. Without
//! this module each daemon would fill the engine that it happens to know best.
//!
//! A request goes where its first byte is expected soonest: distance by the time that a connection
//! took to open, the endpoint's own recent delay, the part of the prompt that it has not read yet,
//! and its load by its own word plus what was sent since. Crossing to another region costs `FAR`
//! besides, as that link is billed: a near endpoint is left only when it is that much slower.
//! A stream is late as well when its events come too far apart, which prompts of others cause: the
//! cost of load grows with its cube, so that an engine is left before its streams falter.
//!
//! Failures count as `FAILURE` times their share, since a failed request is lost, not late.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::decide::prefill::READS;
use crate::decide::prefill::Window;
use crate::edge::dialect::Load;
use crate::edge::dialect::Part;
use crate::table::DataCenterId;
use crate::table::RegionId;
use crate::table::instance::Instance;
use crate::table::instance::Key;
use crate::table::instance::Resident;
use crate::table::instance::State;
use crate::table::instance::Stock;
use crate::table::instance::holds;

/// Milliseconds that a request is worth waiting to stay off the link between regions: bytes there
/// cost about a fiftieth of a request, a late answer seven tenths.
const FAR: f64 = 25.0;
/// The same for a link between data centers of a region.
const ACROSS: f64 = 3.0;
/// Part of an engine's slots up to which its streams are on time.
const COMFORT: f64 = 0.375;
/// Milliseconds that stand for the lateness of streams when so many run; it grows with the cube.
const CROWD: f64 = 30.0;
/// Milliseconds for each request that waits at the endpoint.
const QUEUED: f64 = 12.0;
/// Milliseconds that stand for a failure that is sure.
const FAILURE: f64 = 3_000.0;
/// Milliseconds that an adapter's load is expected to take, with the order's way.
const FETCH: f64 = 80.0;
/// Milliseconds for each adapter that an engine holds already: the places are few, and a copy in
/// each region would push out what others use. A far engine that has the adapter is nearer than
/// a near one that has others.
const FETCH_CROWD: f64 = 20.0;
/// An adapter that did not come to an engine within this time is asked for elsewhere: the engine may
/// be busy dropping a model for seconds.
const STUCK: Duration = Duration::from_millis(350);
/// So long that is remembered.
const WANTED: Duration = Duration::from_secs(2);
/// Milliseconds when another adapter has to go first.
const FETCH_FULL: f64 = 500.0;
/// Weight of one observation in the moving averages.
const WEIGHT: f64 = 0.15;
/// Observations of an endpoint that is not used fade within this time, so that one that was slow
/// is tried again.
const FADE: Duration = Duration::from_secs(4);
/// An endpoint's own word on its load holds this long.
const WORD: Duration = Duration::from_millis(1_500);
/// How long an endpoint that could not be reached is left alone, at first.
const DOWN: Duration = Duration::from_millis(400);
/// The longest that it is.
const DOWN_MAX: Duration = Duration::from_secs(3);
/// Requests are running there and nothing came for this long: it has fallen silent.
const SILENT: Duration = Duration::from_millis(900);
/// How long a model that an endpoint turned out not to hold is not asked of it again, unless it
/// tells anew.
const LACKS: Duration = Duration::from_millis(1_500);
/// An engine's entry lags behind its orders by a heartbeat and the store's own delay: so long what
/// the placer told goes first.
const ENTRY: Duration = Duration::from_millis(2_500);
/// After the store comes back, entries that lapsed meanwhile are missing for up to two seconds.
const LAPSE: Duration = Duration::from_millis(2_200);
/// Prompt parts remembered for each endpoint.
const PARTS: usize = 2_000;
/// Relative noise in the order of choices, so that daemons with the same view do not all choose
/// the same endpoint.
const NOISE: f64 = 0.15;
/// Requests that an engine is given, as a part of its slots: what is beyond them waits there, where the
/// engine takes the most urgent first, instead of being refused here while another ends. Measured by
/// credit earned on played days of two fleets: 0.70 and 0.66 of the marks at 0.75, 0.77 and 0.73 at
/// 1.0, 0.84 and 0.80 at 1.25.
const FILL: f64 = 1.25;
/// Requests beyond its slots that a plain endpoint may be given: they wait there for a few
/// milliseconds, where a daemon would wait for news.
const PLAIN_QUEUE: f64 = 2.0;

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, where one is named.
    pub model: Option<&'a str>,
    /// The adapter of that model.
    pub adapter: Option<&'a str>,
    /// Adapters that an engine has places for.
    pub places: u32,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Hashes of the prompt's beginnings, each with the tokens of its last part.
    pub parts: &'a [Part],
    /// The longest pause that streams may have; none where prompts hold up nothing.
    pub gap: Option<Duration>,
    /// Endpoints that it failed at.
    pub tried: &'a [Key],
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To this endpoint.
    Go(Key),
    /// Nowhere until the adapter is at this endpoint, which holds the model.
    Fetch(Key),
    /// Nowhere for so long: an endpoint is best that has prompts enough to read until then.
    Pace(Duration),
    /// Nowhere for now: all that could take it are full.
    Full,
    /// Nowhere: no endpoint in use holds the model.
    Absent,
    /// Nowhere: the service has no endpoint in use.
    Empty,
}

/// How far away an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data center.
    Here,
    /// In the same region.
    Near,
    /// In another region.
    Far,
}

/// An endpoint and what is known of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// As it tells of itself.
    pub instance: Instance,
    /// How far away it is.
    pub distance: Distance,
    /// Requests of this daemon there.
    pub running: u32,
    /// Requests of other daemons there, when it last said so.
    others: u32,
    told: Option<Duration>,
    /// Time that a connection takes to open, in milliseconds.
    open: f64,
    /// Delay of first bytes beyond distance and prompt, in milliseconds.
    delay: f64,
    /// Share of requests that failed.
    failing: f64,
    seen: Duration,
    /// When any byte came from it, or when it got work while idle.
    heard: Duration,
    down: Option<Duration>,
    downs: u32,
    /// Models and adapters that it refused as not held.
    lacks: HashMap<(String, Option<String>), Duration>,
    parts: HashMap<u64, Duration>,
    /// Prompts that all daemons sent there lately.
    prompts: Window,
    /// Adapters that were asked for there, and since when.
    wanted: HashMap<String, Duration>,
    /// Missing from the store since then.
    lapsed: Option<Duration>,
    /// It said itself that it leaves.
    left: bool,
    /// What its entry says that it holds, until that counts.
    listed: Option<Vec<Resident>>,
    /// Until then it takes no order for an adapter.
    busy: Duration,
    /// When the placer last told what it holds, and after how many orders.
    held: Option<(Duration, u64)>,
}

impl Endpoint {
    /// Whether it takes new work.
    pub fn usable(&self, now: Duration) -> bool {
        self.instance.state == State::Live
            && !self.left
            && self.down.is_none_or(|until| until <= now)
    }

    /// Whether it is silent although it has work.
    fn silent(&self, now: Duration) -> bool {
        self.running > 0 && now > self.heard + SILENT
    }

    /// Requests there by all that is known.
    pub fn load(&self, now: Duration) -> u32 {
        let fresh = self.told.is_some_and(|at| now < at + WORD);
        self.running + if fresh { self.others } else { 0 }
    }

    /// Whether it holds a model, and with it the adapter.
    pub fn holds(&self, now: Duration, model: &str, adapter: Option<&str>) -> bool {
        holds(&self.instance.resident, model, adapter) && !self.lacked(now, model, adapter)
    }

    fn lacked(&self, now: Duration, model: &str, adapter: Option<&str>) -> bool {
        let lacks = |adapter: Option<&str>| {
            let key = (model.to_string(), adapter.map(str::to_string));
            self.lacks.get(&key).is_some_and(|until| now < *until)
        };
        !self.lacks.is_empty() && (lacks(None) || (adapter.is_some() && lacks(adapter)))
    }

    /// Tokens of the prompt that it has not read lately.
    fn unread(&self, ask: &Ask<'_>) -> u32 {
        let known = ask.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        let read: u32 = known.map(|part| part.tokens).sum();
        ask.prompt.saturating_sub(read)
    }

    /// Milliseconds until the first byte, with what else speaks against it.
    fn cost(&self, now: Duration, ask: &Ask<'_>, engines: bool) -> f64 {
        let idle = now.saturating_sub(self.seen).as_secs_f64() / FADE.as_secs_f64();
        let fade = (1.0 - idle).max(0.0);
        let distance = match self.distance {
            Distance::Here => 0.0,
            Distance::Near => ACROSS,
            Distance::Far => FAR,
        };
        let load = f64::from(self.load(now));
        let slots = f64::from(self.instance.slots);
        let busy = if engines {
            CROWD * (load / slots / COMFORT).powi(3) + QUEUED * (load - slots).max(0.0)
        } else {
            self.delay.max(1.0) * fade * (load / slots)
        };
        let read = f64::from(self.unread(ask)) / READS;
        let cold = self.instance.cold.as_secs_f64() * 20.0;
        let silent = if self.silent(now) { FAILURE / 2.0 } else { 0.0 };
        self.open
            + self.delay * fade
            + distance
            + busy
            + read
            + cold
            + silent
            + self.failing * fade * FAILURE
    }
}

/// All endpoints that a daemon knows.
#[derive(Debug)]
pub struct Fleet {
    region: RegionId,
    data_center: DataCenterId,
    regions: BTreeMap<DataCenterId, RegionId>,
    rows: HashMap<Key, Endpoint>,
    /// Which start is the newest of each id.
    newest: HashMap<String, u64>,
}

impl Fleet {
    /// No endpoints yet, for a daemon that stands there.
    pub fn new(
        region: RegionId,
        data_center: DataCenterId,
        regions: BTreeMap<DataCenterId, RegionId>,
    ) -> Self {
        Fleet { region, data_center, regions, rows: HashMap::new(), newest: HashMap::new() }
    }

    /// All endpoints.
    pub fn rows(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values()
    }

    /// An endpoint.
    pub fn get(&self, key: &Key) -> Option<&Endpoint> {
        self.rows.get(key)
    }

    /// The region of a data center.
    pub fn region_of(&self, data_center: &str) -> RegionId {
        self.regions.get(data_center).cloned().unwrap_or_else(|| data_center.to_string())
    }

    /// An entry is there or has changed; false when it speaks of a start that is over.
    pub fn put(&mut self, now: Duration, instance: Instance) -> bool {
        let key = instance.key.clone();
        let newest = self.newest.entry(key.id.clone()).or_insert(key.born);
        if key.born < *newest {
            return false;
        }
        if key.born > *newest {
            let old = Key { id: key.id.clone(), born: *newest };
            *newest = key.born;
            self.drop_row(&old);
        }
        let distance = self.distance(&instance.data_center);
        match self.rows.get_mut(&key) {
            Some(row) => {
                row.lapsed = None;
                if row.instance.resident != instance.resident {
                    row.lacks.clear();
                }
                row.listed = Some(instance.resident.clone());
                let resident = std::mem::take(&mut row.instance.resident);
                row.instance = Instance { resident, ..instance };
                row.settle(now);
            }
            None => {
                self.rows.insert(key, fresh(now, instance, distance));
            }
        }
        true
    }

    /// What the placer knows an engine to hold.
    pub fn hold(&mut self, now: Duration, key: &Key, held: Stock) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        if row.held.is_none_or(|(_, known)| held.orders >= known) {
            row.held = Some((now, held.orders));
            row.instance.resident = held.resident;
            row.busy = now + Duration::from_millis(held.busy.into());
            row.lacks.clear();
        }
    }

    /// For how long an engine takes no order for an adapter.
    pub fn busy(&self, now: Duration, key: &Key) -> Duration {
        self.rows.get(key).map_or(Duration::ZERO, |row| row.busy.saturating_sub(now))
    }

    /// An entry was removed. While the store was away entries lapse although the endpoint lives:
    /// then it stays in use until `LAPSE` after the return.
    pub fn remove(&mut self, now: Duration, id: &str, returned: Option<Duration>) {
        let Some(born) = self.newest.get(id) else {
            return;
        };
        let key = Key { id: id.to_string(), born: *born };
        let lapse = returned.is_some_and(|at| now < at + LAPSE);
        match self.rows.get_mut(&key) {
            Some(row) if lapse && row.instance.state == State::Live => {
                row.lapsed = Some(returned.unwrap_or(now) + LAPSE);
            }
            _ => self.drop_row(&key),
        }
    }

    /// Keeps only what a whole list holds.
    pub fn retain(&mut self, now: Duration, ids: &[String], returned: Option<Duration>) {
        let gone: Vec<String> =
            self.rows.keys().map(|key| key.id.clone()).filter(|id| !ids.contains(id)).collect();
        for id in gone {
            self.remove(now, &id, returned);
        }
    }

    /// Does what time makes due; true when an endpoint went.
    pub fn tick(&mut self, now: Duration) -> bool {
        let due = |row: &&Endpoint| row.lapsed.is_some_and(|until| until <= now);
        let gone: Vec<Key> =
            self.rows.values().filter(due).map(|row| row.instance.key.clone()).collect();
        for key in &gone {
            self.drop_row(key);
        }
        for row in self.rows.values_mut() {
            row.lacks.retain(|_, until| *until > now);
            row.settle(now);
        }
        !gone.is_empty()
    }

    /// Where a request goes at `now`.
    pub fn choose(
        &self,
        now: Duration,
        ask: &Ask<'_>,
        engines: bool,
        rng: &mut SmallRng,
    ) -> Choice {
        let mut any = false;
        let mut held = false;
        let mut best: Option<(f64, &Endpoint, bool, Duration)> = None;
        for row in self.rows.values() {
            if row.instance.service != ask.service || !row.usable(now) {
                continue;
            }
            any = true;
            let ready = match ask.model {
                None => true,
                Some(model) if row.holds(now, model, ask.adapter) => true,
                Some(model) if row.holds(now, model, None) => false,
                Some(_) => continue,
            };
            held = true;
            if ask.tried.contains(&row.instance.key) || row.load(now) >= room(row, engines) {
                continue;
            }
            let fetch = if ready { 0.0 } else { fetch_cost(now, row, ask) };
            let noise = 1.0 + rng.random_range(0.0..NOISE);
            let gap = ask.gap.filter(|_| engines);
            let pace =
                gap.map_or(Duration::ZERO, |gap| row.prompts.wait(now, gap, row.unread(ask)));
            let cost = row.cost(now, ask, engines) + pace.as_secs_f64() * 1000.0 + fetch;
            let cost = cost * noise;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, row, ready, pace));
            }
        }
        match best {
            Some((_, row, false, _)) => Choice::Fetch(row.instance.key.clone()),
            Some((_, _, true, pace)) if !pace.is_zero() => Choice::Pace(pace),
            Some((_, row, true, _)) => Choice::Go(row.instance.key.clone()),
            None if held => Choice::Full,
            None if any => Choice::Absent,
            None => Choice::Empty,
        }
    }

    /// A request goes there, with so many prompt tokens to read.
    pub fn start(&mut self, now: Duration, key: &Key, parts: &[Part], unread: u32) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        if row.running == 0 {
            row.heard = now;
        }
        row.running += 1;
        row.prompts.add(now, unread);
        if row.parts.len() > PARTS {
            let mut times: Vec<Duration> = row.parts.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            row.parts.retain(|_, at| *at > middle);
        }
        for part in parts {
            row.parts.insert(part.id, now);
        }
    }

    /// Another daemon sent prompts there.
    pub fn sent(&mut self, now: Duration, key: &Key, tokens: u32) {
        if let Some(row) = self.rows.get_mut(key) {
            row.prompts.add(now, tokens);
        }
    }

    /// An adapter is asked for there.
    pub fn want(&mut self, now: Duration, key: &Key, adapter: &str) {
        if let Some(row) = self.rows.get_mut(key) {
            row.wanted.retain(|_, at| now < *at + WANTED);
            row.wanted.entry(adapter.to_string()).or_insert(now);
        }
    }

    /// A request there has ended.
    pub fn end(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.running = row.running.saturating_sub(1);
        }
    }

    /// A connection was opened within this time.
    pub fn opened(&mut self, key: &Key, took: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            let took = took.as_secs_f64() * 1000.0;
            row.open += (took - row.open) * 0.3;
            row.downs = 0;
        }
    }

    /// It could not be reached.
    pub fn unreachable(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            let span = DOWN.saturating_mul(1 << row.downs.min(4)).min(DOWN_MAX);
            row.down = Some(now + span);
            row.downs += 1;
        }
    }

    /// Bytes came from it.
    pub fn heard(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.heard = now;
        }
    }

    /// The first byte of an answer came after this time; `prompt` tokens had to be read.
    pub fn answered(&mut self, now: Duration, key: &Key, took: Duration, prompt: u32) {
        if let Some(row) = self.rows.get_mut(key) {
            let own = took.as_secs_f64() * 1000.0 - row.open - f64::from(prompt) / READS;
            row.observe(now, own.max(0.0));
            row.heard = now;
            row.failing -= row.failing * WEIGHT;
        }
    }

    /// A request failed there.
    pub fn failed(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.seen = now;
            row.failing += (1.0 - row.failing) * WEIGHT;
        }
    }

    /// It told its load.
    pub fn told(&mut self, now: Duration, key: &Key, load: Load) {
        if let Some(row) = self.rows.get_mut(key) {
            row.others = (load.running + load.waiting).saturating_sub(row.running);
            row.told = Some(now);
        }
    }

    /// It refused a model or adapter as not held.
    pub fn lacks(&mut self, now: Duration, key: &Key, model: &str, adapter: Option<&str>) {
        if let Some(row) = self.rows.get_mut(key) {
            let what = (model.to_string(), adapter.map(str::to_string));
            row.lacks.insert(what, now + LACKS);
        }
    }

    /// Another start of an endpoint answers at its address.
    pub fn replaced(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.left = true;
        }
    }

    /// The prompt tokens that an endpoint would have to read.
    pub fn unread(&self, key: &Key, ask: &Ask<'_>) -> u32 {
        self.rows.get(key).map_or(ask.prompt, |row| row.unread(ask))
    }

    fn distance(&self, data_center: &str) -> Distance {
        if data_center == self.data_center {
            Distance::Here
        } else if self.regions.get(data_center) == Some(&self.region) {
            Distance::Near
        } else {
            Distance::Far
        }
    }

    fn drop_row(&mut self, key: &Key) {
        self.rows.remove(key);
    }
}

impl Endpoint {
    /// Lets the entry's word on what it holds count, unless the placer's is newer.
    fn settle(&mut self, now: Duration) {
        if self.held.is_none_or(|(at, _)| now > at + ENTRY)
            && let Some(resident) = self.listed.take()
        {
            self.instance.resident = resident;
        }
    }

    fn observe(&mut self, now: Duration, delay: f64) {
        let idle = now.saturating_sub(self.seen) > FADE;
        self.delay = if idle { delay } else { self.delay + (delay - self.delay) * WEIGHT };
        self.seen = now;
    }
}

/// Requests that an endpoint is given at most.
fn room(row: &Endpoint, engines: bool) -> u32 {
    let slots = f64::from(row.instance.slots);
    (if engines { slots * FILL } else { slots * PLAIN_QUEUE }) as u32
}

/// What speaks against bringing an adapter to an engine.
fn fetch_cost(now: Duration, row: &Endpoint, ask: &Ask<'_>) -> f64 {
    let held: usize = row.instance.resident.iter().map(|held| held.adapters.len()).sum();
    let full = if held >= ask.places as usize { FETCH_FULL } else { 0.0 };
    let since = ask.adapter.and_then(|adapter| row.wanted.get(adapter));
    let stuck = if since.is_some_and(|at| now > *at + STUCK) { FETCH_FULL } else { 0.0 };
    let busy = row.busy.saturating_sub(now).as_secs_f64() * 1000.0;
    FETCH + FETCH_CROWD * held as f64 + full + stuck + busy
}

fn fresh(now: Duration, instance: Instance, distance: Distance) -> Endpoint {
    // Until a connection has opened: a guess by distance, twice one way.
    let open = match distance {
        Distance::Here => 0.5,
        Distance::Near => 2.0,
        Distance::Far => 60.0,
    };
    Endpoint {
        instance,
        distance,
        running: 0,
        others: 0,
        told: None,
        open,
        delay: 0.0,
        failing: 0.0,
        seen: now,
        heard: now,
        down: None,
        downs: 0,
        lacks: HashMap::new(),
        parts: HashMap::new(),
        prompts: Window::default(),
        wanted: HashMap::new(),
        lapsed: None,
        left: false,
        listed: None,
        busy: now,
        held: None,
    }
}
