//! Questions to the broker of a model, and its answers: see `decide::broker`.
//!
//! All messages are datagrams. A question is asked again until it is answered, ends are made good by
//! lists, and a broker that stays silent is done without.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Arrival;
use crate::daemon::admission::Decision;
use crate::daemon::admission::Need;
use crate::daemon::admission::Refusal;
use crate::daemon::admission::Taker;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::node;
use crate::daemon::peer;
use crate::decide::broker;
use crate::decide::broker::Grants;
use crate::decide::broker::Suspects;
use crate::decide::broker::Ticket;
use crate::decide::endpoint::End;
use crate::decide::line::Group;
use crate::decide::speed::Reading;
use crate::edge::dialect::Load;
use crate::edge::dialect::Part;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::ServiceId;
use crate::table::instance::Key;

/// A question without an answer is asked once more after this long: several times the way there and
/// back within a region, and what a small machine takes to come to it.
const REPLY: Duration = Duration::from_millis(60);
/// The same from the broker of another region: the way there and back besides.
const REPLY_FAR: Duration = Duration::from_millis(160);
/// One that waits in the broker's line asks again after this long, so that each knows of the other.
const KEEP: Duration = Duration::from_millis(250);
/// Questions without an answer after which the broker is done without.
const TRIES: u32 = 2;
/// Time between two tellings of a broker's loads to the others.
const TELL: Duration = Duration::from_millis(100);
/// Engines of one such message: what one datagram holds.
const TOLD: usize = 40;
/// Time between two lists of the grants that are held.
const LIST: Duration = Duration::from_millis(400);
/// Grants of one list: what one datagram holds.
const LISTED: usize = 24;
/// One whose daemon does not ask again for so long has left the line.
const GONE: Duration = Duration::from_millis(800);

/// A message between a daemon and a broker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request needs a place.
    Ask(Box<Question>),
    /// It waits in the broker's line.
    Waits(Ticket),
    /// It goes there.
    Granted {
        /// Which question.
        ticket: Ticket,
        /// The engine.
        key: Key,
        /// Tokens that the engine has not read yet.
        tokens: u32,
        /// Until it has read them, in microseconds.
        own: u32,
        /// Until it has read what was sent before, in microseconds.
        ahead: u32,
    },
    /// The broker of another region has room for it.
    Elsewhere {
        /// Which question.
        ticket: Ticket,
        /// Which region.
        region: RegionId,
    },
    /// It is refused.
    Refused {
        /// Which question.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When coming back makes sense, in milliseconds.
        after: u32,
    },
    /// The first byte of its answer came.
    Answered {
        /// Which grant.
        ticket: Ticket,
        /// After so many microseconds.
        took: u32,
        /// Requests that run at the engine and that wait there, by its own word.
        load: Option<(u32, u32)>,
    },
    /// It has ended, or needs no place any more.
    Done {
        /// Which grant or question.
        ticket: Ticket,
        /// How.
        end: End,
        /// How far apart events of that engine come, in microseconds.
        beat: u32,
    },
    /// Requests at the engines of a broker.
    Loads(Vec<(Key, u32)>),
    /// The grants that a daemon holds.
    Holds {
        /// Which.
        rows: Vec<(Ticket, Group, Key)>,
        /// Whether these are all.
        whole: bool,
    },
}

/// What a request needs, as the broker is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Question {
    ticket: Ticket,
    service: ServiceId,
    model: ModelId,
    adapter: Option<AdapterId>,
    places: u32,
    prompt: u32,
    parts: Vec<(u64, u32)>,
    /// In milliseconds, like all that follow.
    gap: Option<u32>,
    aim: u32,
    priority: u8,
    waited: u32,
    left: u32,
    tried: Vec<Key>,
    only: Option<RegionId>,
}

/// Why a broker refuses.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[expect(missing_docs, reason = "each is explained in docs/OPERATIONS.md")]
pub enum Reason {
    Full,
    AdapterAbsent,
    ModelAbsent,
    NoEndpoint,
    Waited,
}

/// What a broker answered.
enum Reply {
    Waits,
    Granted(Key, Reading),
    Elsewhere(RegionId),
    Refused(Refusal),
}

/// The last word of a broker.
pub enum Answer {
    /// A place.
    Granted(Ticket, Key, Reading),
    /// The broker of this region has room.
    Elsewhere(RegionId),
}

/// Why a broker gave no place.
pub enum Broken {
    /// It refused.
    Refused(Refusal),
    /// It did not answer.
    Silent,
}

/// What a broker keeps of a grant.
struct Given {
    need: Rc<Need>,
    reading: Reading,
}

/// One of another daemon that stands in this one's line.
struct Standing {
    arrival: Rc<Arrival>,
    /// When its daemon last asked.
    asked: Duration,
}

/// Questions to brokers, and what this one has given to others.
#[derive(Default)]
pub struct Broker {
    suspects: Suspects,
    open: HashMap<Ticket, Sender<Reply>>,
    /// Grants that this daemon holds, by broker.
    held: HashMap<Ticket, (SocketAddr, Group, Key)>,
    /// Grants that it has given.
    given: Grants<Given>,
    standing: HashMap<(SocketAddr, Ticket), Standing>,
}

impl Broker {
    /// Grants given to others, and requests of theirs in line.
    pub fn counts(&self) -> (usize, usize) {
        (self.given.len(), self.standing.len())
    }
}

fn micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn send(daemon: &Rc<Daemon>, to: SocketAddr, message: Message) {
    peer::tell(daemon, vec![to], peer::Message::Broker(message));
}

/// Where the broker of a service in a region hears; none where that is this daemon, or there is none.
pub fn at(daemon: &Daemon, service: &str, region: &RegionId) -> Option<SocketAddr> {
    let (now, nodes, state) = (clock::now(), daemon.nodes.borrow(), daemon.broker.borrow());
    let own = node::own(daemon, 0);
    let all = nodes.registered().chain(Some(&own));
    let to = broker::pick(all, region, service, |addr| state.suspects.has(now, addr))?.peer;
    (to != daemon.settings.peer).then_some(to)
}

/// Where the broker of what a request needs hears; none where this daemon decides itself.
pub fn of(daemon: &Daemon, need: &Need) -> Option<SocketAddr> {
    let model = need.model.as_ref().filter(|_| need.brokered())?;
    let own = &daemon.settings.region;
    let held = daemon.fleet.borrow().regions_of(clock::now(), &need.service, model);
    let most = held.iter().max_by_key(|(_, copies)| **copies).map(|(region, _)| region);
    let region = if held.contains_key(own) { own } else { most.unwrap_or(own) };
    at(daemon, &need.service, region)
}

/// A question that is open; taken back when dropped without a grant.
struct Open<'a> {
    daemon: &'a Rc<Daemon>,
    to: SocketAddr,
    ticket: Ticket,
    granted: bool,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.daemon.broker.borrow_mut().open.remove(&self.ticket);
        if !self.granted {
            let done = Message::Done { ticket: self.ticket, end: End::Unused, beat: 0 };
            send(self.daemon, self.to, done);
        }
    }
}

/// Asks a broker for a place, and waits in its line.
pub async fn ask(daemon: &Rc<Daemon>, to: SocketAddr, arrival: &Arrival) -> Result<Answer, Broken> {
    let ticket: Ticket = daemon.rng.borrow_mut().random();
    let (reply, replies) = smol::channel::bounded(4);
    daemon.broker.borrow_mut().open.insert(ticket, reply);
    let mut open = Open { daemon, to, ticket, granted: false };
    let mut silent = 0;
    let far = daemon.nodes.borrow().region_of(to).is_some_and(|at| *at != daemon.settings.region);
    let limit = if far { REPLY_FAR } else { REPLY };
    while silent < TRIES {
        send(daemon, to, Message::Ask(Box::new(question(ticket, arrival))));
        match next(&replies, limit).await {
            Some(Reply::Waits) => {
                // Nothing else comes before its turn, but it may have been lost.
                match next(&replies, KEEP).await {
                    Some(Reply::Waits) | None => {}
                    Some(reply) => return settle(daemon, &mut open, arrival, reply),
                }
                silent = 0;
            }
            Some(reply) => return settle(daemon, &mut open, arrival, reply),
            None => silent += 1,
        }
    }
    daemon.broker.borrow_mut().suspects.add(clock::now(), to);
    daemon.note(&Event::Broker { address: to.to_string(), silent: true });
    Err(Broken::Silent)
}

async fn next(replies: &Receiver<Reply>, limit: Duration) -> Option<Reply> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    async { replies.recv().await.ok() }.or(late).await
}

/// Takes a broker's last word on a question.
fn settle(
    daemon: &Daemon,
    open: &mut Open<'_>,
    arrival: &Arrival,
    reply: Reply,
) -> Result<Answer, Broken> {
    let (key, reading) = match reply {
        Reply::Granted(key, reading) => (key, reading),
        Reply::Elsewhere(region) => return Ok(Answer::Elsewhere(region)),
        Reply::Refused(refusal) => return Err(Broken::Refused(refusal)),
        Reply::Waits => return Err(Broken::Silent),
    };
    // What this daemon knows of an endpoint that leaves binds it, whatever the broker knows.
    let now = clock::now();
    if !daemon.fleet.borrow().get(&key).is_some_and(|row| row.usable(now)) {
        return Err(Broken::Silent);
    }
    open.granted = true;
    let held = (open.to, arrival.need.group, key.clone());
    daemon.broker.borrow_mut().held.insert(open.ticket, held);
    Ok(Answer::Granted(open.ticket, key, reading))
}

fn question(ticket: Ticket, arrival: &Arrival) -> Question {
    let (now, need) = (clock::now(), &arrival.need);
    Question {
        ticket,
        service: need.service.clone(),
        model: need.model.clone().unwrap_or_default(),
        adapter: need.adapter.clone(),
        places: need.places,
        prompt: need.prompt,
        parts: need.parts.iter().map(|part| (part.id, part.tokens)).collect(),
        gap: need.gap.map(millis),
        aim: millis(need.aim),
        priority: need.priority,
        waited: millis(now.saturating_sub(arrival.came)),
        left: millis(arrival.deadline.saturating_sub(now)),
        tried: arrival.tried.clone(),
        only: arrival.only.clone(),
    }
}

/// Tells a broker that the first byte of an answer came.
pub fn answered(
    daemon: &Rc<Daemon>,
    broker: SocketAddr,
    ticket: Ticket,
    took: Duration,
    load: Option<Load>,
) {
    let load = load.map(|load| (load.running, load.waiting));
    send(daemon, broker, Message::Answered { ticket, took: micros(took), load });
}

/// Tells a broker that a request at an engine has ended.
pub fn done(daemon: &Rc<Daemon>, broker: SocketAddr, ticket: Ticket, key: &Key, end: End) {
    daemon.broker.borrow_mut().held.remove(&ticket);
    let beat = daemon.fleet.borrow().get(key).map_or(Duration::ZERO, |row| row.beat());
    send(daemon, broker, Message::Done { ticket, end, beat: micros(beat) });
}

/// Lists to brokers the grants that are held, and gives up those of daemons that are gone.
pub async fn lists(daemon: Rc<Daemon>) {
    loop {
        Timer::after(LIST).await;
        let mut lists: HashMap<SocketAddr, Vec<(Ticket, Group, Key)>> = HashMap::new();
        for (ticket, (to, group, key)) in &daemon.broker.borrow().held {
            lists.entry(*to).or_default().push((*ticket, *group, key.clone()));
        }
        for (to, rows) in lists {
            let whole = rows.len() <= LISTED;
            for rows in rows.chunks(LISTED) {
                send(&daemon, to, Message::Holds { rows: rows.to_vec(), whole });
            }
        }
        sweep(&daemon);
    }
}

/// Tells the brokers of other regions the load of this one's engines, for as long as the daemon runs.
pub async fn loads(daemon: Rc<Daemon>) {
    loop {
        Timer::after(TELL).await;
        let config = daemon.config.borrow().clone();
        for (service, _) in config.iter().flat_map(|config| config.engines()) {
            // Where another daemon is the broker this one has nothing to tell.
            if at(&daemon, &service.name, &daemon.settings.region).is_none() && daemon.ready() {
                tell_loads(&daemon, &service.name);
            } else {
                Timer::after(LIST).await;
            }
        }
    }
}

fn tell_loads(daemon: &Rc<Daemon>, service: &str) {
    let (now, own) = (clock::now(), &daemon.settings.region);
    let regions: BTreeSet<&RegionId> = daemon.settings.data_centers.values().collect();
    let others = regions.into_iter().filter(|region| *region != own);
    let to: Vec<SocketAddr> = others.filter_map(|region| at(daemon, service, region)).collect();
    let rows: Vec<(Key, u32)> = {
        let fleet = daemon.fleet.borrow();
        let here = fleet.rows().filter(|row| {
            row.instance.service == service && fleet.region_of(&row.instance.data_center) == *own
        });
        here.map(|row| (row.instance.key.clone(), row.load(now))).collect()
    };
    for rows in rows.chunks(TOLD) {
        let message = Message::Loads(rows.to_vec());
        peer::tell(daemon, to.clone(), peer::Message::Broker(message));
    }
}

fn sweep(daemon: &Rc<Daemon>) {
    let now = clock::now();
    let gone = daemon.broker.borrow_mut().given.sweep(now);
    for key in &gone {
        daemon.fleet.borrow_mut().release(key);
    }
    daemon.broker.borrow_mut().standing.retain(|_, row| {
        let stays = now < row.asked + GONE;
        if !stays {
            admission::leave(daemon, &row.arrival);
        }
        stays
    });
    if !gone.is_empty() {
        admission::pump(daemon);
    }
}

/// Takes in a message.
pub fn take(daemon: &Rc<Daemon>, message: Message, from: SocketAddr) {
    match message {
        Message::Ask(question) => asked(daemon, from, *question),
        Message::Waits(ticket) => replied(daemon, from, ticket, Reply::Waits),
        Message::Granted { ticket, key, tokens, own, ahead } => {
            let time = |micros: u32| Duration::from_micros(micros.into());
            let reading = Reading { tokens, own: time(own), ahead: time(ahead) };
            replied(daemon, from, ticket, Reply::Granted(key, reading));
        }
        Message::Elsewhere { ticket, region } => {
            replied(daemon, from, ticket, Reply::Elsewhere(region));
        }
        Message::Loads(rows) => {
            let (now, mut fleet) = (clock::now(), daemon.fleet.borrow_mut());
            for (key, running) in rows {
                fleet.told(now, &key, Load { running, waiting: 0 });
            }
        }
        Message::Refused { ticket, reason, after } => {
            let after = Duration::from_millis(after.into());
            replied(daemon, from, ticket, Reply::Refused(Refusal { reason: reason.into(), after }));
        }
        Message::Answered { ticket, took, load } => {
            first_byte(daemon, from, ticket, Duration::from_micros(took.into()), load);
        }
        Message::Done { ticket, end, beat } => {
            ended(daemon, from, ticket, end, Duration::from_micros(beat.into()));
        }
        Message::Holds { rows, whole } => listed(daemon, from, &rows, whole),
    }
}

/// A broker has answered; one that nobody waits for is told so.
fn replied(daemon: &Rc<Daemon>, from: SocketAddr, ticket: Ticket, reply: Reply) {
    let granted = matches!(reply, Reply::Granted(..));
    let (open, held) = {
        let state = daemon.broker.borrow();
        (state.open.get(&ticket).cloned(), state.held.contains_key(&ticket))
    };
    let taken = open.is_some_and(|open| open.try_send(reply).is_ok());
    if granted && !taken && !held {
        send(daemon, from, Message::Done { ticket, end: End::Unused, beat: 0 });
    }
}

/// A daemon asks for a place.
fn asked(daemon: &Rc<Daemon>, from: SocketAddr, question: Question) {
    let now = clock::now();
    let ticket = question.ticket;
    {
        let mut state = daemon.broker.borrow_mut();
        if let Some(row) = state.standing.get_mut(&(from, ticket)) {
            row.asked = now;
            drop(state);
            return send(daemon, from, Message::Waits(ticket));
        }
        let grant = state.given.get(from, ticket);
        if let Some((key, what)) = grant.and_then(|row| Some((row.key.clone(), row.what.as_ref()?)))
        {
            let message = granted(ticket, key, &what.reading);
            drop(state);
            return send(daemon, from, message);
        }
    }
    let arrival = Rc::new(arrival(daemon, now, question));
    match admission::decide(daemon, now, &arrival) {
        Decision::Go(key) => grant(daemon, now, from, ticket, &arrival, key),
        Decision::Elsewhere(region) => send_on(daemon, from, ticket, region),
        Decision::Refuse(refusal) => refuse(daemon, from, ticket, &refusal),
        Decision::Wait(until, ..) => {
            stand(daemon, from, ticket, arrival, until.saturating_sub(now));
        }
    }
}

fn arrival(daemon: &Daemon, now: Duration, question: Question) -> Arrival {
    let time = |millis: u32| Duration::from_millis(millis.into());
    let model = Some(question.model);
    let group =
        admission::group(&question.service, model.as_deref(), question.adapter.as_deref()).digest();
    let parts = question.parts.into_iter().map(|(id, tokens)| Part { id, tokens });
    let need = Need {
        service: question.service,
        model,
        adapter: question.adapter,
        engines: true,
        places: question.places,
        prompt: question.prompt,
        parts: parts.collect(),
        gap: question.gap.map(time),
        aim: time(question.aim),
        priority: question.priority,
        group,
    };
    Arrival {
        number: daemon.number(),
        need: Rc::new(need),
        came: now.saturating_sub(time(question.waited)),
        deadline: now + time(question.left),
        tried: question.tried,
        only: question.only,
    }
}

/// Puts a request of another daemon in line, for so long.
fn stand(
    daemon: &Rc<Daemon>,
    from: SocketAddr,
    ticket: Ticket,
    arrival: Rc<Arrival>,
    span: Duration,
) {
    admission::join(daemon, &arrival, Taker::Other(from, ticket));
    let row = Standing { arrival: arrival.clone(), asked: clock::now() };
    daemon.broker.borrow_mut().standing.insert((from, ticket), row);
    send(daemon, from, Message::Waits(ticket));
    let shared = daemon.clone();
    let over = async move {
        Timer::after(span).await;
        if admission::leave(&shared, &arrival) {
            shared.broker.borrow_mut().standing.remove(&(from, ticket));
            refuse(&shared, from, ticket, &admission::waited(&shared, &arrival));
        }
    };
    daemon.ex.spawn(over).detach();
}

fn refuse(daemon: &Rc<Daemon>, to: SocketAddr, ticket: Ticket, refusal: &Refusal) {
    // All refusals of `admission` have a name here.
    let reason = refusal.reason.parse().unwrap_or(Reason::Full);
    send(daemon, to, Message::Refused { ticket, reason, after: millis(refusal.after) });
}

/// Sends a request on to the broker of another region.
pub fn send_on(daemon: &Rc<Daemon>, to: SocketAddr, ticket: Ticket, region: RegionId) {
    daemon.broker.borrow_mut().standing.remove(&(to, ticket));
    send(daemon, to, Message::Elsewhere { ticket, region });
}

fn granted(ticket: Ticket, key: Key, reading: &Reading) -> Message {
    let (own, ahead) = (micros(reading.own), micros(reading.ahead));
    Message::Granted { ticket, key, tokens: reading.tokens, own, ahead }
}

/// Gives a place to a request of another daemon.
pub fn grant(
    daemon: &Rc<Daemon>,
    now: Duration,
    to: SocketAddr,
    ticket: Ticket,
    arrival: &Arrival,
    key: Key,
) {
    let need = arrival.need.clone();
    let reading = {
        let mut fleet = daemon.fleet.borrow_mut();
        let reading = fleet.reading(now, &key, &need.ask(&[]));
        fleet.grant(now, &key, &need.parts, reading.own);
        reading
    };
    let message = granted(ticket, key.clone(), &reading);
    let group = need.group;
    let mut state = daemon.broker.borrow_mut();
    state.standing.remove(&(to, ticket));
    state.given.give(now, to, ticket, key, group, Given { need, reading });
    drop(state);
    send(daemon, to, message);
}

/// The first byte of a granted request's answer came.
fn first_byte(
    daemon: &Daemon,
    from: SocketAddr,
    ticket: Ticket,
    took: Duration,
    load: Option<(u32, u32)>,
) {
    let state = daemon.broker.borrow();
    let Some(grant) = state.given.get(from, ticket) else {
        return;
    };
    let (now, mut fleet) = (clock::now(), daemon.fleet.borrow_mut());
    if let Some((running, waiting)) = load {
        fleet.told(now, &grant.key, Load { running, waiting });
    }
    if let Some(Given { need, reading }) = &grant.what {
        fleet.answered(now, &grant.key, took, need.model.as_deref(), reading);
    }
}

/// A granted request has ended, or one in line has left.
fn ended(daemon: &Rc<Daemon>, from: SocketAddr, ticket: Ticket, end: End, beat: Duration) {
    let now = clock::now();
    let standing = daemon.broker.borrow_mut().standing.remove(&(from, ticket));
    if let Some(row) = standing {
        admission::leave(daemon, &row.arrival);
    }
    let Some(grant) = daemon.broker.borrow_mut().given.end(from, ticket) else {
        return;
    };
    {
        let mut fleet = daemon.fleet.borrow_mut();
        fleet.release(&grant.key);
        fleet.event(now, &grant.key, beat);
        if let Some(Given { need, .. }) = &grant.what {
            fleet.ended_as(now, &grant.key, end, &need.ask(&[]));
        }
    }
    if end == End::Over {
        daemon.gauges.ended(now, grant.group);
    }
    if !daemon.line.borrow().is_empty() {
        admission::pump(daemon);
    }
}

/// A daemon lists the grants that it holds.
fn listed(daemon: &Rc<Daemon>, from: SocketAddr, rows: &[(Ticket, Group, Key)], whole: bool) {
    let change = daemon.broker.borrow_mut().given.list(clock::now(), from, rows, whole);
    let mut fleet = daemon.fleet.borrow_mut();
    change.taken.iter().for_each(|key| fleet.adopt(key));
    change.ended.iter().for_each(|key| fleet.release(key));
    drop(fleet);
    if !change.ended.is_empty() {
        admission::pump(daemon);
    }
}
