//! The HTTP client of the platform, with a rate limit and a circuit breaker.
//!
//! When the platform is down or limits the rate, calls fail immediately instead of waiting for a
//! timeout each. After an outage one probe is sent first and no saved-up burst, as the calls of
//! all processes together would otherwise overload the platform again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::value::RawValue;
use smol::future::FutureExt;

use crate::decide::breaker;
use crate::decide::breaker::Breaker;
use crate::decide::breaker::Bucket;
use crate::decide::breaker::Permit;
use crate::edge::http;
use crate::edge::http::Pool;
use crate::edge::http::Reuse;
use crate::edge::platform::Change;
use crate::edge::platform::Error;
use crate::edge::platform::Instance;
use crate::edge::platform::MAX_VALUE_BYTES;
use crate::edge::platform::Object;
use crate::edge::platform::Platform;
use crate::edge::platform::Update;
use crate::edge::platform::Version;
use crate::edge::text::Document;
use crate::edge::time;
use crate::metric::Counter;
use crate::metric::Metrics;

/// Maximum size of a list or of the changes from a watch, in bytes.
const MAX_LIST_BYTES: usize = 64 << 20;

/// Retry-after time if a 429 response does not state one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of the client.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Timeout of one call; a watch adds its own waiting time.
    pub timeout: Duration,
    /// Average rate limit of this process, in calls per second; a waiting watch counts as one.
    pub rate: f64,
    /// Maximum number of calls that can be saved up for a burst.
    pub burst: f64,
    /// Settings of the circuit breaker.
    pub breaker: breaker::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            timeout: Duration::from_secs(1),
            rate: 100.0,
            burst: 200.0,
            breaker: breaker::Settings::default(),
        }
    }
}

struct Gate {
    breaker: Breaker,
    rate_limit: Bucket,
    rng: SmallRng,
}

struct Shared {
    addr: SocketAddr,
    pool: Pool,
    metrics: Arc<Metrics>,
    settings: Settings,
    started_at: Instant,
    gate: Mutex<Gate>,
}

/// A client of the platform; clones share the rate limit and the circuit breaker.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

/// An admitted call; it is cancelled if dropped before its result was recorded.
struct Call<'a> {
    shared: &'a Shared,
    permit: Permit,
    recorded: bool,
}

/// A complete response.
struct Reply {
    status: StatusCode,
    version: Option<Version>,
    retry_after: Option<Duration>,
    body: Vec<u8>,
}

/// An object of a list, or a change, which may be of another writer.
#[derive(Deserialize)]
struct Entry<'a> {
    name: String,
    version: Version,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
}

impl Entry<'_> {
    /// Returns the value, null if it can't be read; none if there is none.
    fn value(&self, document: &Document<'_>) -> Option<Value> {
        self.value.map(|value| document.value(value).unwrap_or_default())
    }
}

#[derive(Deserialize)]
struct List<'a> {
    version: Version,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Changes<'a> {
    #[serde(borrow)]
    changes: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Current {
    version: Option<Version>,
}

#[derive(Serialize)]
struct Prefix<'a> {
    prefix: &'a str,
}

#[derive(Serialize)]
struct Watch {
    watch: Version,
    timeout_ms: u64,
}

impl Client {
    /// Creates a client of the platform at `addr`.
    pub fn new(addr: SocketAddr, pool: Pool, metrics: Arc<Metrics>, settings: Settings) -> Self {
        let gate = Gate {
            breaker: Breaker::new(settings.breaker),
            rate_limit: Bucket::new(settings.rate, settings.burst),
            rng: SmallRng::from_os_rng(),
        };
        let gate = Mutex::new(gate);
        let started_at = Instant::now();
        Client { shared: Arc::new(Shared { addr, pool, metrics, settings, started_at, gate }) }
    }

    /// Whether the circuit breaker is closed, so that calls are sent.
    pub fn is_healthy(&self) -> bool {
        self.shared.gate().breaker.is_closed()
    }

    async fn read(&self, counter: Counter, req: &Request, max: usize) -> Result<Reply, Error> {
        let limit = self.shared.settings.timeout;
        let call = self.shared.admit(counter)?;
        let result = call.send(req.clone(), max, limit).await;
        // The platform may have closed the connection without a response; a read is safe to resend.
        let result = match result {
            Err(http::Error::Broken) => {
                self.shared.metrics.count(Counter::PlatformCalls);
                self.shared.metrics.count(counter);
                call.send(req.clone(), max, limit).await
            }
            result => result,
        };
        let reply = call.record(result).map_err(read_error)?;
        check_status(&reply)?;
        Ok(reply)
    }

    async fn write(&self, counter: Counter, req: Request) -> Result<Update, Error> {
        let limit = self.shared.settings.timeout;
        let call = self.shared.admit(counter)?;
        let result = call.send(req, MAX_VALUE_BYTES, limit).await;
        match call.record(result) {
            Ok(reply) => parse_update(&reply),
            Err(http::Error::Connect) => Err(Error::Unreachable),
            Err(_) => Ok(Update::Unknown),
        }
    }

    fn request(&self, method: Method, segments: &[&str]) -> Result<Request, Error> {
        let mut req = http::request(method, self.shared.addr, "").map_err(protocol_error)?;
        if let Ok(mut path) = req.url_mut().path_segments_mut() {
            path.clear();
            path.extend(segments);
        }
        Ok(req)
    }
}

impl Shared {
    fn gate(&self) -> std::sync::MutexGuard<'_, Gate> {
        self.gate.lock().expect("platform gate")
    }

    /// Admits and counts one call, or returns the reason why it must not be sent.
    fn admit(&self, counter: Counter) -> Result<Call<'_>, Error> {
        let now = self.started_at.elapsed();
        let mut gate = self.gate();
        let refuse = |err: Error| {
            self.metrics.count(Counter::PlatformRefused);
            Err(err)
        };
        let permit = match gate.breaker.acquire(now) {
            Ok(permit) => permit,
            Err(retry_after) => return refuse(Error::BreakerOpen(retry_after)),
        };
        if let Err(retry_after) = gate.rate_limit.take(now) {
            gate.breaker.on_cancelled(permit, now);
            return refuse(Error::RateLimited(retry_after));
        }
        drop(gate);
        self.metrics.count(Counter::PlatformCalls);
        self.metrics.count(counter);
        Ok(Call { shared: self, permit, recorded: false })
    }
}

impl Call<'_> {
    /// Sends the request on a connection of its own: a response does not name it.
    async fn send(&self, req: Request, max: usize, limit: Duration) -> Result<Reply, http::Error> {
        let shared = self.shared;
        let transfer = async {
            let answer = shared.pool.send(shared.addr, req, Reuse::Never, limit).await?;
            let status = answer.head.status();
            let version = answer.header("etag").and_then(parse_etag);
            let retry_after = answer.header("retry-after").and_then(parse_seconds);
            let body = answer.bytes(max).await?;
            Ok(Reply { status, version, retry_after, body })
        };
        let expiry = async {
            smol::Timer::after(limit).await;
            Err(http::Error::Timeout)
        };
        transfer.or(expiry).await
    }

    /// Records the result in the circuit breaker and the rate limit.
    fn record(mut self, result: Result<Reply, http::Error>) -> Result<Reply, http::Error> {
        self.recorded = true;
        let now = self.shared.started_at.elapsed();
        let mut gate = self.shared.gate();
        let gate = &mut *gate;
        let answered = result.as_ref().is_ok_and(|reply| !reply.status.is_server_error());
        if answered {
            if gate.breaker.on_success(self.permit) {
                gate.rate_limit.clear(now);
                tracing::info!("the platform responds again");
            }
        } else {
            self.shared.metrics.count(Counter::PlatformFailures);
            if gate.breaker.on_failure(self.permit, now, &mut gate.rng) {
                tracing::warn!("the platform does not respond");
            }
        }
        if let Ok(reply) = &result
            && reply.status == StatusCode::TooManyRequests
        {
            gate.rate_limit.block(
                now,
                reply.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
                &mut gate.rng,
            );
        }
        result
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            let now = self.shared.started_at.elapsed();
            self.shared.gate().breaker.on_cancelled(self.permit, now);
        }
    }
}

impl Platform for Client {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let req = self.request(Method::Get, &["objects", kind, name])?;
        let reply = self.read(Counter::PlatformGets, &req, 2 * MAX_VALUE_BYTES).await?;
        match (reply.status, reply.version) {
            (StatusCode::NotFound, _) => Ok(None),
            (StatusCode::Ok, Some(version)) => {
                let value = parse(&reply)?;
                Ok(Some(Object { name: name.to_string(), version, value }))
            }
            (status, _) => Err(Error::Protocol(status.into())),
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expect: Option<Version>,
        value: &Value,
    ) -> Result<Update, Error> {
        let mut req = self.request(Method::Put, &["objects", kind, name])?;
        let body = value.to_string();
        if body.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(body.len()));
        }
        match expect {
            Some(version) => req.insert_header("if-match", format!("\"{version}\"")),
            None => req.insert_header("if-none-match", "*"),
        };
        req.set_body(Body::from_string(body));
        req.insert_header("content-type", "application/json");
        self.write(Counter::PlatformPuts, req).await
    }

    async fn delete(&self, kind: &str, name: &str, expect: Version) -> Result<Update, Error> {
        let mut req = self.request(Method::Delete, &["objects", kind, name])?;
        req.insert_header("if-match", format!("\"{expect}\""));
        self.write(Counter::PlatformDeletes, req).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<(Version, Vec<Object>), Error> {
        let mut req = self.request(Method::Get, &["objects", kind])?;
        req.set_query(&Prefix { prefix }).map_err(|_| Error::Protocol(0))?;
        let reply = self.read(Counter::PlatformLists, &req, MAX_LIST_BYTES).await?;
        let document = Document::new(success(&reply)?);
        let list: List<'_> = document.parse().map_err(|_| protocol(&reply))?;
        let object = |entry: Entry<'_>| {
            let value = entry.value(&document).unwrap_or_default();
            Object { name: entry.name, version: entry.version, value }
        };
        Ok((list.version, readable(list.objects).map(object).collect()))
    }

    async fn watch(
        &self,
        kind: &str,
        since: Version,
        timeout: Duration,
    ) -> Result<Vec<Change>, Error> {
        let mut req = self.request(Method::Get, &["objects", kind])?;
        let call = self.shared.admit(Counter::PlatformWatches)?;
        // A probe that waits would block every other call for as long, so it returns immediately.
        let wait = if call.permit == Permit::Probe { Duration::ZERO } else { timeout };
        let timeout_ms = wait.as_millis() as u64;
        let query = Watch { watch: since, timeout_ms };
        req.set_query(&query).map_err(|_| Error::Protocol(0))?;
        let limit = wait + self.shared.settings.timeout;
        let result = call.send(req, MAX_LIST_BYTES, limit).await;
        let reply = call.record(result).map_err(read_error)?;
        check_status(&reply)?;
        let document = Document::new(success(&reply)?);
        let list: Changes<'_> = document.parse().map_err(|_| protocol(&reply))?;
        let change = |entry: Entry<'_>| {
            let value = entry.value(&document);
            Change { name: entry.name, version: entry.version, value }
        };
        Ok(readable(list.changes).map(change).collect())
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let req = self.request(Method::Get, &["instances"])?;
        let reply = self.read(Counter::PlatformInstances, &req, MAX_LIST_BYTES).await?;
        let document = Document::new(success(&reply)?);
        let list: Vec<&RawValue> = document.parse().map_err(|_| protocol(&reply))?;
        Ok(readable(list).collect())
    }
}

/// Returns the result of an update from its response; `Unknown` if the response is inconclusive.
fn parse_update(reply: &Reply) -> Result<Update, Error> {
    let current_version =
        || serde_json::from_slice::<Current>(&reply.body).map(|body| body.version);
    match reply.status {
        StatusCode::Ok | StatusCode::Created => match (current_version(), reply.version) {
            (Ok(Some(version)), _) | (_, Some(version)) => Ok(Update::Applied(version)),
            _ => Ok(Update::Unknown),
        },
        StatusCode::PreconditionFailed => match current_version() {
            Ok(version) => Ok(Update::Conflict(version)),
            Err(_) => Err(Error::Protocol(reply.status.into())),
        },
        StatusCode::NotFound => Ok(Update::Conflict(None)),
        status if status.is_client_error() => {
            check_status(reply)?;
            Err(Error::Protocol(status.into()))
        }
        _ => Ok(Update::Unknown),
    }
}

/// Returns the errors whose statuses mean the same for every call.
fn check_status(reply: &Reply) -> Result<(), Error> {
    match reply.status {
        StatusCode::TooManyRequests => {
            Err(Error::RateLimited(reply.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)))
        }
        StatusCode::Gone => Err(Error::Compacted),
        status if status.is_server_error() => Err(Error::Unreachable),
        _ => Ok(()),
    }
}

fn parse<T: for<'de> Deserialize<'de>>(reply: &Reply) -> Result<T, Error> {
    serde_json::from_slice(success(reply)?).map_err(|_| protocol(reply))
}

/// Returns the body of a response; an error unless its status is a success.
fn success(reply: &Reply) -> Result<&[u8], Error> {
    if reply.status.is_success() { Ok(&reply.body) } else { Err(protocol(reply)) }
}

fn protocol(reply: &Reply) -> Error {
    Error::Protocol(reply.status.into())
}

/// Decodes the entries of a list one by one, and leaves out those that can't be decoded.
fn readable<'a, T: Deserialize<'a>>(entries: Vec<&'a RawValue>) -> impl Iterator<Item = T> {
    entries.into_iter().filter_map(|entry| {
        let decoded = serde_json::from_str(entry.get());
        decoded.inspect_err(|error| tracing::warn!(%error, "skipping an unreadable entry")).ok()
    })
}

fn read_error(err: http::Error) -> Error {
    match err {
        http::Error::Connect | http::Error::Broken | http::Error::Timeout => Error::Unreachable,
        http::Error::TooLarge(max) => Error::TooLarge(max),
        http::Error::Unframed | http::Error::NoRoom | http::Error::Malformed => Error::Protocol(0),
    }
}

fn protocol_error(_: http::Error) -> Error {
    Error::Protocol(0)
}

fn parse_etag(etag: &str) -> Option<Version> {
    etag.trim_matches('"').parse().ok()
}

fn parse_seconds(retry_after: &str) -> Option<Duration> {
    time::from_secs(retry_after.parse().ok()?)
}
