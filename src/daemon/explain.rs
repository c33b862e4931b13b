//! Explains where a request would go now, and why, without sending it and without changing any
//! state.
//!
//! Operators ask on the port of the metrics. The questions are bounded in number, as each assesses
//! all endpoints of a service, and the answers in length. They show names, loads and costs, never
//! keys or prompts. An explanation is what this daemon knows: a broker knows the grants of all
//! daemons, and a request may be refused for its content.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Arrival;
use crate::daemon::admission::Evaluation;
use crate::daemon::admission::Spec;
use crate::daemon::broker;
use crate::daemon::broker::Terms;
use crate::daemon::clock;
use crate::daemon::directory;
use crate::daemon::front;
use crate::decide::endpoint::Endpoint;
use crate::decide::fleet::Candidate;
use crate::decide::fleet::Choice;
use crate::decide::fleet::Obstacle;
use crate::decide::shutdown;
use crate::decide::wait_policy::Verdict;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::ServiceId;
use crate::table::TeamId;
use crate::table::routing::Config;
use crate::table::routing::Route;
use crate::table::team::Team;
use crate::table::team::Unit;

/// Path of explanations.
pub const PATH: &str = "/explain";
/// Explanations in one second: an operator's script and a few people.
const MAX_PER_SECOND: u32 = 10;
/// Candidates and excluded endpoints in one answer, so that it has at most some 20 KB.
const MAX_ROWS: usize = 40;

/// Explanations since the start of a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    started_at: Duration,
    count: u32,
}

impl Rate {
    /// Counts an explanation at `now`, and returns whether it is given.
    pub fn allows(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.started_at) >= Duration::from_secs(1) {
            *self = Rate { started_at: now, count: 0 };
        }
        self.count = self.count.saturating_add(1);
        self.count <= MAX_PER_SECOND
    }
}

/// The request that is asked about, as a URL-encoded query.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// Its host.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Name of its team; a key is not accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Its model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The adapter of that model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// Tokens of its prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Most tokens of its answer.
    #[serde(default)]
    pub output_tokens: u32,
}

/// Why there is no explanation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What is wrong with the question, or why it is not answered now.
    pub error: String,
}

/// Where a request would go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the daemon.
    pub daemon: String,
    /// Version of its configuration.
    pub config_version: u64,
    /// Name of the route.
    pub route: String,
    /// Services of the route, each with its weight. The first one is explained.
    pub services: Vec<(ServiceId, f64)>,
    /// Target latency in milliseconds.
    pub target_latency_ms: u64,
    /// Time until the final answer at most, in milliseconds.
    pub timeout_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The team, if one is given.
    pub team: Option<Account>,
    /// Address of the broker that is asked first; none if this daemon decides.
    pub broker: Option<String>,
    /// What would be done by what this daemon knows.
    pub decision: Decision,
    /// Requests with equal requirements that wait here.
    pub waiting: usize,
    /// Endpoints that could take it now, those with the lowest cost first.
    pub candidates: Vec<Target>,
    /// Endpoints that could not.
    pub excluded: Vec<Excluded>,
    /// Endpoints left out of both lists for their length.
    pub omitted: usize,
}

/// A team that shares the endpoints with others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: TeamId,
    /// How far it exceeds its fair share of the service here; 0 is within it.
    pub excess: u8,
    /// Its quota; none if it has none.
    pub quota: Option<Quota>,
}

/// The quota of a team over all daemons. What is left of it is known to one daemon only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units available at once after a pause.
    pub burst: f64,
    /// `requests` or `tokens`.
    pub unit: String,
    /// Units that the request costs.
    pub cost: u32,
}

/// What would be done with the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Decision {
    /// It is sent.
    Send {
        /// The endpoint.
        endpoint: String,
        /// The region whose broker is asked, if it is another one.
        region: Option<RegionId>,
    },
    /// It waits.
    Wait {
        /// What it is short of.
        shortage: String,
        /// How many requests wait before it.
        ahead: usize,
        /// For how long at most, in milliseconds.
        for_ms: u64,
        /// The endpoint that is asked to load the adapter, if that is missing.
        loads_at: Option<String>,
    },
    /// It is refused.
    Refuse {
        /// The code of the refusal.
        reason: String,
        /// What it is short of, if that is known.
        shortage: Option<String>,
        /// How many requests wait before it.
        ahead: usize,
        /// Retry-After in milliseconds.
        retry_after_ms: u64,
    },
}

/// An endpoint that could take the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Its id.
    pub endpoint: String,
    /// Its data center.
    pub data_center: String,
    /// Known requests there.
    pub load: u32,
    /// Its slots.
    pub slots: u32,
    /// Most requests of all daemons while it has just started or recovered.
    pub pace: Option<u32>,
    /// What the request costs there, in milliseconds of delay, before noise.
    pub cost_ms: f64,
    /// Whether the adapter is loaded.
    pub is_ready: bool,
    /// For how long the prefill of other prompts goes on first, in milliseconds.
    pub delay_ms: u64,
}

/// An endpoint that could not take the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Excluded {
    /// Its id.
    pub endpoint: String,
    /// Its data center.
    pub data_center: String,
    /// Known requests there.
    pub load: u32,
    /// Its slots.
    pub slots: u32,
    /// Why.
    pub obstacle: String,
    /// For how long, in milliseconds, if that is known.
    pub for_ms: Option<u64>,
}

/// Answers a question.
pub fn respond(daemon: &Rc<Daemon>, query: &str) -> Response<Bytes> {
    let now = clock::now();
    let mut rate = daemon.explanations.get();
    let is_allowed = rate.allows(now);
    daemon.explanations.set(rate);
    let answer = match is_allowed {
        false => Err((StatusCode::TOO_MANY_REQUESTS, "too many questions in one second".into())),
        true => match serde_urlencoded::from_str(query) {
            Ok(query) => explain(daemon, now, &query),
            Err(err) => Err((StatusCode::BAD_REQUEST, format!("malformed question: {err}"))),
        },
    };
    let (status, body) = match answer {
        Ok(explanation) => (StatusCode::OK, serde_json::to_vec(&explanation)),
        Err((status, error)) => (status, serde_json::to_vec(&Failure { error })),
    };
    match body {
        Ok(body) => directory::response(status, Bytes::from(body)),
        Err(_) => directory::response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

type Error = (StatusCode, String);

/// Explains where a request would go.
fn explain(daemon: &Rc<Daemon>, now: Duration, query: &Query) -> Result<Explanation, Error> {
    let config = daemon.config.borrow().clone().ok_or((
        StatusCode::SERVICE_UNAVAILABLE,
        "the daemon has no configuration yet".to_string(),
    ))?;
    let route = config.route(&query.host, &query.path).ok_or_else(|| {
        let text = format!("no route for host {:?} and path {:?}", query.host, query.path);
        (StatusCode::NOT_FOUND, text)
    })?;
    let team = find_team(&config, route, query)?;
    let arrival = arrival(&config, now, route, team, query)?;
    // A decision draws random numbers. None may be missing afterwards.
    let rng = daemon.rng.borrow().clone();
    let decision = decide(daemon, now, &arrival);
    *daemon.rng.borrow_mut() = rng;
    let (candidates, excluded, omitted) = assess(daemon, now, &arrival.spec);
    let mut services = route.targets.clone();
    services.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    Ok(Explanation {
        daemon: daemon.settings.name.clone(),
        config_version: config.version,
        route: route.name.clone(),
        services,
        target_latency_ms: route.target_latency.as_millis() as u64,
        timeout_ms: route.timeout.as_millis() as u64,
        priority: arrival.spec.priority,
        team: team.map(|team| account(daemon, now, &arrival.spec, team)),
        broker: broker::address_for(daemon, &arrival.spec).map(|addr| addr.to_string()),
        decision,
        waiting: daemon.queue.borrow().count(arrival.class()),
        candidates,
        excluded,
        omitted,
    })
}

fn find_team<'a>(
    config: &'a Config,
    route: &Route,
    query: &Query,
) -> Result<Option<&'a Rc<Team>>, Error> {
    match (&config.teams, &query.team) {
        (Some(teams), Some(name)) => {
            let error = || (StatusCode::NOT_FOUND, format!("no team {name:?}"));
            teams.get(name).map(Some).ok_or_else(error)
        }
        (Some(_), None) if !route.public => {
            Err((StatusCode::BAD_REQUEST, format!("route {:?} needs a team", route.name)))
        }
        (None, Some(_)) => {
            Err((StatusCode::BAD_REQUEST, "the configuration has no teams".to_string()))
        }
        (_, None) => Ok(None),
    }
}

/// Returns the request as it would arrive now, for the route's service with the largest weight.
fn arrival(
    config: &Config,
    now: Duration,
    route: &Route,
    team: Option<&Rc<Team>>,
    query: &Query,
) -> Result<Arrival, Error> {
    let heaviest = route.targets.iter().max_by(|(_, a), (_, b)| a.total_cmp(b));
    let (service, _) = heaviest.expect("a route has services");
    let engines = config.services.get(service).and_then(|row| row.engines.as_ref());
    if let (Some(engines), Some(model)) = (engines, &query.model)
        && engines.model(model).is_none()
    {
        return Err((StatusCode::NOT_FOUND, format!("service {service:?} has no model {model:?}")));
    }
    if query.adapter.is_some() && query.model.is_none() {
        return Err((StatusCode::BAD_REQUEST, "an adapter needs a model".to_string()));
    }
    let (model, adapter) = (query.model.clone(), query.adapter.clone());
    let hasher = admission::class_hasher(service, model.as_deref(), adapter.as_deref());
    let spec = Spec {
        service: service.clone(),
        model,
        adapter,
        engine_service: engines.is_some(),
        adapter_slots: engines.map_or(0, |engines| engines.adapter_slots),
        prompt_tokens: query.prompt_tokens,
        parts: Vec::new(),
        max_pause: route.max_pause,
        target_latency: route.target_latency,
        priority: team.and_then(|team| team.priority).unwrap_or(route.priority),
        terms: Terms {
            team: team.map(|team| team.name.clone()),
            route_priority: route.priority,
            output_tokens: query.output_tokens,
            patience: route.patience,
        },
        class: hasher.digest(),
    };
    Ok(Arrival {
        // No request has this number.
        number: 0,
        spec: Rc::new(spec),
        arrived_at: now,
        deadline: now + route.timeout,
        tried: Vec::new(),
        excluded: None,
        required_region: None,
        software: None,
    })
}

fn account(daemon: &Daemon, now: Duration, spec: &Spec, team: &Team) -> Account {
    let quota = team.quota.map(|quota| Quota {
        rate: quota.rate,
        burst: quota.burst,
        unit: match quota.unit {
            Unit::Requests => "requests".to_string(),
            Unit::Tokens { .. } => "tokens".to_string(),
        },
        cost: quota.unit.cost(Some(spec.tokens()).filter(|tokens| *tokens > 0)),
    });
    let excess = daemon.shares.borrow().rank(now, &spec.service, &spec.terms.team);
    Account { name: team.name.clone(), excess, quota }
}

fn decide(daemon: &Daemon, now: Duration, arrival: &Arrival) -> Decision {
    let answer = shutdown::Answer {
        tokens: arrival.spec.terms.output_tokens,
        target_latency: arrival.spec.target_latency,
        max_pause: arrival.spec.max_pause,
        limit: arrival.deadline.saturating_sub(now),
        usual: daemon.fleet.borrow().shortest_delay(now, &arrival.spec.service),
    };
    if let Some((began, end)) = daemon.shutdown_period.get()
        && !shutdown::accepts(now, began, end, &answer)
    {
        return refusal("stopping", front::SHUTDOWN_RETRY_AFTER);
    }
    match admission::evaluate(daemon, now, arrival) {
        Evaluation::Send(key) => {
            let region = admission::broker_region(daemon, arrival, &key);
            Decision::Send { endpoint: key.id, region }
        }
        Evaluation::Hold { choice: Choice::TooLarge, .. } => {
            refusal(admission::TOO_LARGE, admission::TOO_LARGE_RETRY_AFTER)
        }
        Evaluation::Hold { choice, ahead, cause, verdict } => {
            let shortage: &str = cause.shortage().into();
            match verdict {
                Verdict::Wait(until) => Decision::Wait {
                    shortage: shortage.to_string(),
                    ahead,
                    for_ms: until.saturating_sub(now).as_millis() as u64,
                    loads_at: match choice {
                        Choice::LoadAdapter(key) => Some(key.id),
                        _ => None,
                    },
                },
                Verdict::Refuse(retry_after) => Decision::Refuse {
                    reason: admission::refusal_reason(&choice).to_string(),
                    shortage: Some(shortage.to_string()),
                    ahead,
                    retry_after_ms: retry_after.as_millis() as u64,
                },
            }
        }
    }
}

/// Returns a refusal that does not depend on other requests.
fn refusal(reason: &str, retry_after: Duration) -> Decision {
    let retry_after_ms = retry_after.as_millis() as u64;
    Decision::Refuse { reason: reason.to_string(), shortage: None, ahead: 0, retry_after_ms }
}

/// Returns the candidates, the excluded endpoints, and the number of those left out.
fn assess(daemon: &Daemon, now: Duration, spec: &Spec) -> (Vec<Target>, Vec<Excluded>, usize) {
    let fleet = daemon.fleet.borrow();
    let (mut candidates, mut excluded) = (Vec::new(), Vec::new());
    let requirements = spec.requirements(&[]);
    for (row, assessment) in fleet.assess_all(now, &requirements, spec.engine_service) {
        match assessment {
            Ok(candidate) => candidates.push(target(now, &candidate)),
            Err(obstacle) => excluded.push(exclusion(now, row, obstacle)),
        }
    }
    candidates.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    // Those that have the model but can't take the request say more than the others.
    excluded.sort_by_key(|row| (row.obstacle == "model_absent", row.endpoint.clone()));
    let all = candidates.len() + excluded.len();
    candidates.truncate(MAX_ROWS);
    excluded.truncate(MAX_ROWS);
    let omitted = all - candidates.len() - excluded.len();
    (candidates, excluded, omitted)
}

fn target(now: Duration, candidate: &Candidate<'_>) -> Target {
    let row = candidate.row;
    Target {
        endpoint: row.instance.key.id.clone(),
        data_center: row.instance.data_center.clone(),
        load: row.load(now),
        slots: row.instance.slots,
        pace: row.pace_bound(),
        cost_ms: candidate.cost,
        is_ready: candidate.is_ready,
        delay_ms: candidate.delay.as_millis() as u64,
    }
}

fn exclusion(now: Duration, row: &Endpoint, obstacle: Obstacle) -> Excluded {
    let span = match obstacle {
        Obstacle::Limited(span) | Obstacle::Backoff(span) => Some(span),
        _ => None,
    };
    Excluded {
        endpoint: row.instance.key.id.clone(),
        data_center: row.instance.data_center.clone(),
        load: row.load(now),
        slots: row.instance.slots,
        obstacle: <&str>::from(obstacle).to_string(),
        for_ms: span.map(|span| span.as_millis() as u64),
    }
}
