//! The platform's HTTP client against scripted responses, and its circuit breaker and rate limit.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use poplarmux::decide::breaker;
use poplarmux::decide::breaker::Breaker;
use poplarmux::decide::breaker::Bucket;
use poplarmux::decide::breaker::Permit;
use poplarmux::edge::http::Pool;
use poplarmux::edge::platform;
use poplarmux::edge::platform::Error;
use poplarmux::edge::platform::Platform;
use poplarmux::edge::platform::Resolution;
use poplarmux::edge::platform::Update;
use poplarmux::edge::platform::http::Client;
use poplarmux::edge::platform::http::Settings;
use poplarmux::metric::Counter;
use poplarmux::metric::Metrics;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

const MS: Duration = Duration::from_millis(1);
/// Timeout of calls that the platform answers; no passing test waits for it.
const TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
enum Step {
    /// Sends a response: status, header lines, body.
    Respond(u16, &'static str, String),
    /// Closes the connection without a response.
    Close,
    /// Never responds.
    Hang,
}

/// A scripted platform, which records the requests it received.
struct Scene {
    client: Client,
    metrics: Arc<Metrics>,
    requests: Arc<Mutex<Vec<String>>>,
}

fn respond(status: u16, headers: &'static str, body: impl Into<String>) -> Step {
    Step::Respond(status, headers, body.into())
}

fn scene(steps: impl IntoIterator<Item = Step>, settings: Settings) -> Scene {
    let listener = smol::block_on(TcpListener::bind(("127.0.0.1", 0))).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let requests = Arc::new(Mutex::new(Vec::new()));
    let steps = Arc::new(Mutex::new(steps.into_iter().collect::<VecDeque<_>>()));
    let recorded = requests.clone();
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve_script(stream, steps.clone(), recorded.clone())).detach();
        }
    })
    .detach();
    let (client, metrics) = client(addr, settings);
    Scene { client, metrics, requests }
}

fn client(addr: SocketAddr, settings: Settings) -> (Client, Arc<Metrics>) {
    let metrics = Arc::new(Metrics::new(None));
    let pool = Pool::new(TIMEOUT, Duration::from_secs(10));
    (Client::new(addr, pool, metrics.clone(), settings), metrics)
}

async fn serve_script(
    mut stream: TcpStream,
    steps: Arc<Mutex<VecDeque<Step>>>,
    requests: Arc<Mutex<Vec<String>>>,
) {
    let mut text = String::new();
    let mut buf = [0_u8; 4096];
    while let Ok(len) = stream.read(&mut buf).await {
        if len == 0 {
            return;
        }
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
        });
        if body.len() < length.unwrap_or(0) {
            continue;
        }
        requests.lock().expect("requests").push(std::mem::take(&mut text));
        let step = steps.lock().expect("steps").pop_front();
        match step {
            None | Some(Step::Close) => return,
            Some(Step::Hang) => smol::future::pending().await,
            Some(Step::Respond(status, headers, body)) => {
                let len = body.len();
                let res =
                    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {len}\r\n\r\n{body}");
                stream.write_all(res.as_bytes()).await.expect("a reader");
            }
        }
    }
}

fn long_timeout() -> Settings {
    Settings { timeout: TIMEOUT, ..Settings::default() }
}

#[test]
fn client_follows_the_http_api() {
    let steps = [
        respond(200, "etag: \"7\"\r\n", r#"{"a":1}"#),
        respond(404, "", ""),
        respond(200, "", r#"{"version":8}"#),
        respond(412, "", r#"{"version":null}"#),
        respond(412, "", r#"{"version":9}"#),
        respond(404, "", ""),
        respond(200, "", r#"{"version":9,"objects":[{"name":"x","version":7,"value":1}]}"#),
        respond(200, "", r#"{"changes":[{"name":"x","version":9,"value":null}]}"#),
        respond(410, "", ""),
        respond(200, "", "[]"),
    ];
    let scene = scene(steps, long_timeout());
    let api = &scene.client;
    smol::block_on(async {
        let object = api.get("k", "a/b c").await.unwrap().unwrap();
        assert_eq!(
            (object.name.as_str(), object.version, object.value),
            ("a/b c", 7, json!({"a":1}))
        );
        assert_eq!(api.get("k", "x").await, Ok(None));
        assert_eq!(api.put("k", "x", Some(7), &json!(1)).await, Ok(Update::Applied(8)));
        assert_eq!(api.put("k", "x", None, &json!(1)).await, Ok(Update::Conflict(None)));
        assert_eq!(api.delete("k", "x", 8).await, Ok(Update::Conflict(Some(9))));
        assert_eq!(api.delete("k", "x", 8).await, Ok(Update::Conflict(None)));
        assert_eq!(api.list("k", "x&y").await.unwrap().1[0].version, 7);
        assert_eq!(api.watch("k", 8, MS).await.unwrap()[0].value, None);
        assert_eq!(api.watch("k", 1, MS).await, Err(Error::Compacted));
        assert_eq!(api.instances().await, Ok(Vec::new()));
    });
    let requests = scene.requests.lock().unwrap();
    let lines: Vec<_> = requests.iter().map(|text| text.lines().next().unwrap()).collect();
    assert_eq!(lines[0], "GET /objects/k/a%2Fb%20c HTTP/1.1");
    assert!(requests[2].contains("if-match: \"7\"") && requests[3].contains("if-none-match: *"));
    assert_eq!(lines[6], "GET /objects/k?prefix=x%26y HTTP/1.1");
    assert_eq!(lines[7], "GET /objects/k?watch=8&timeout_ms=1 HTTP/1.1");
    assert_eq!(scene.metrics.get(Counter::PlatformCalls), 10);
    assert_eq!(scene.metrics.get(Counter::PlatformWatches), 2);
    assert_eq!(scene.metrics.get(Counter::PlatformFailures), 0);
}

#[test]
fn lost_response_gives_unknown() {
    // A writer sends an update; the platform applies it and then crashes, returns a 5xx or does not
    // respond. If this counted as a failure, the writer would write again, or report "not run" to
    // its caller for an update that was applied.
    let answered = [Step::Close, respond(503, "", ""), respond(200, "", "not json")];
    let short_timeout = Settings { timeout: 200 * MS, ..Settings::default() };
    let scenes = [(scene(answered, long_timeout()), 3), (scene([Step::Hang], short_timeout), 1)];
    smol::block_on(async {
        for (scene, calls) in scenes {
            for _ in 0..calls {
                let update = scene.client.put("k", "x", None, &json!(1)).await;
                assert_eq!(update, Ok(Update::Unknown));
            }
        }
    });
}

#[test]
fn read_is_resent_after_a_broken_connection() {
    // The platform closes an idle connection while the client sends a read on it: the read is
    // resent, the caller sees no failure, and no failure is counted against the platform. An update
    // is not resent.
    let steps = [Step::Close, respond(404, "", ""), Step::Close];
    let scene = scene(steps, long_timeout());
    smol::block_on(async {
        assert_eq!(scene.client.get("k", "x").await, Ok(None));
        assert_eq!(scene.client.delete("k", "x", 1).await, Ok(Update::Unknown));
    });
    assert_eq!(scene.requests.lock().unwrap().len(), 3);
    assert_eq!(scene.metrics.get(Counter::PlatformCalls), 3);
}

#[test]
fn unsent_update_returns_an_error() {
    // No process listens there, nor can it be given to one as a free port.
    let (api, _) = client(SocketAddr::from(([127, 0, 0, 1], 1)), long_timeout());
    smol::block_on(async {
        assert_eq!(api.put("k", "x", None, &json!(1)).await, Err(Error::Unreachable));
        let large = json!("x".repeat(platform::MAX_VALUE_BYTES));
        assert_eq!(
            api.put("k", "x", None, &large).await,
            Err(Error::TooLarge(large.to_string().len()))
        );
    });
}

#[test]
fn lost_response_is_resolved_by_reading_back() {
    // The response to a write is lost. Reading back shows the writer's own token (applied), the old
    // version (resent under the same condition, so it cannot be applied twice), or another writer's
    // value (which may be later than this write: never reported as "not applied").
    let own_value = json!({"writer": "a", "n": 1});
    let steps = [
        Step::Close,
        respond(200, "etag: \"8\"\r\n", own_value.to_string()),
        Step::Close,
        respond(404, "", ""),
        respond(200, "", r#"{"version":9}"#),
        Step::Close,
        respond(200, "etag: \"12\"\r\n", r#"{"writer":"b"}"#),
        respond(412, "", r#"{"version":3}"#),
        Step::Close,
        respond(503, "", ""),
        respond(503, "", ""),
        respond(503, "", ""),
    ];
    let scene = scene(steps, long_timeout());
    let settle = |expect| platform::put_resolved(&scene.client, "k", "x", expect, &own_value);
    smol::block_on(async {
        assert_eq!(settle(Some(7)).await, Ok(Resolution::Applied(8)));
        assert_eq!(settle(None).await, Ok(Resolution::Applied(9)));
        assert!(matches!(settle(Some(9)).await, Ok(Resolution::Replaced(Some(_)))));
        assert_eq!(settle(Some(9)).await, Ok(Resolution::Conflict(Some(3))));
        assert_eq!(settle(Some(9)).await, Ok(Resolution::Unknown));
    });
}

#[test]
fn client_sends_nothing_until_retry_after() {
    // The platform returns a 429 with a retry-after time. A client that keeps calling would stay
    // limited and use up the rate of other clients, so it must send nothing until that time is
    // over.
    let scene = scene([respond(429, "retry-after: 30\r\n", "")], long_timeout());
    smol::block_on(async {
        let sent_at = Instant::now();
        let first = scene.client.put("k", "x", None, &json!(1)).await;
        assert_eq!(first, Err(Error::RateLimited(Duration::from_secs(30))));
        let limited = scene.client.get("k", "x").await;
        let passed = sent_at.elapsed();
        assert!(
            matches!(limited, Err(Error::RateLimited(after)) if after + passed > Duration::from_secs(29))
        );
    });
    assert_eq!(scene.requests.lock().unwrap().len(), 1);
    assert_eq!(scene.metrics.get(Counter::PlatformRefused), 1);
}

/// Guards against a client that sees no object, change or instance as one of another writer can't
/// be read.
#[test]
fn unreadable_entry_hides_no_other() {
    let nested = ["[".repeat(200), "]".repeat(200)].concat();
    for text in [r#""\ud83d""#, "1e999", &nested] {
        let entry =
            |name: &str, value: &str| format!(r#"{{"name":"{name}","version":1,"value":{value}}}"#);
        let both = format!("[{},{}]", entry("odd", text), entry("sound", "7"));
        let instance = r#"{"address":"127.0.0.1:1","region":"r","data_center":"z",
            "role":"engine","state":"live","incarnation":1}"#;
        let odd_port = instance.replace(":1\"", ":70000\"");
        let odd_role = instance.replace("\"engine\"", text);
        let steps = [
            respond(200, "", format!(r#"{{"version":3,"objects":{both}}}"#)),
            respond(200, "", format!(r#"{{"changes":{both}}}"#)),
            respond(200, "", format!("[{odd_port},{odd_role},{instance}]")),
        ];
        let scene = scene(steps, long_timeout());
        smol::block_on(async {
            let (_, objects) = scene.client.list("k", "").await.expect("a list");
            assert_eq!(objects.last().map(|row| &row.value), Some(&json!(7)), "{text}");
            let changes = scene.client.watch("k", 1, TIMEOUT).await.expect("changes");
            assert_eq!(changes.last().and_then(|row| row.value.clone()), Some(json!(7)), "{text}");
            // Not taken for one that was removed.
            assert!(changes.iter().all(|row| row.value.is_some()), "{text}");
            assert_eq!(scene.client.instances().await.expect("instances").len(), 1, "{text}");
        });
    }
}

/// Guards against a client that ends as the platform states a Retry-After beyond its clock.
#[test]
fn client_survives_a_retry_after_beyond_its_clock() {
    let scene = scene([respond(429, "retry-after: 18446744073709549568\r\n", "")], long_timeout());
    smol::block_on(async {
        for _ in 0..2 {
            let limited = scene.client.put("k", "x", None, &json!(1)).await;
            assert!(matches!(limited, Err(Error::RateLimited(_))), "{limited:?}");
        }
    });
}

#[test]
fn breaker_opens_when_the_platform_hangs() {
    // The platform hangs. Each call would occupy its request for a full timeout, for as long as the
    // outage lasts. After a few failures, calls must fail immediately and state when to retry.
    let mut timeout = 20 * MS;
    while !breaker_opens(timeout) {
        timeout *= 2;
        assert!(timeout < TIMEOUT, "the calls did not reach the platform");
    }
}

/// Checks that the breaker opens after two calls that end with this timeout. Returns whether both
/// reached the platform, so that it was the platform that let them hang.
fn breaker_opens(timeout: Duration) -> bool {
    let settings = Settings {
        timeout,
        breaker: breaker::Settings {
            max_failures: 2,
            initial_wait: Duration::from_secs(60),
            max_wait: Duration::from_secs(60),
        },
        ..Settings::default()
    };
    let scene = scene([Step::Hang, Step::Hang], settings);
    let arrived = || scene.requests.lock().expect("requests").len();
    smol::block_on(async {
        for _ in 0..2 {
            assert_eq!(scene.client.get("k", "x").await, Err(Error::Unreachable));
        }
        assert!(matches!(scene.client.get("k", "x").await, Err(Error::BreakerOpen(_))));
        assert!(matches!(
            scene.client.put("k", "x", None, &json!(1)).await,
            Err(Error::BreakerOpen(_))
        ));
        assert!(!scene.client.is_healthy());
        // What a call has written may be read after the call has ended.
        let waiting_since = Instant::now();
        while arrived() < 2 && waiting_since.elapsed() < timeout {
            smol::Timer::after(MS).await;
        }
    });
    assert_eq!(scene.metrics.get(Counter::PlatformCalls), 2);
    assert_eq!(scene.metrics.get(Counter::PlatformRefused), 2);
    assert!(arrived() <= 2, "{} calls", arrived());
    arrived() == 2
}

#[test]
fn breaker_lets_one_probe_through() {
    // Many requests wait for a platform that recovers. Sending all of them at once would overload
    // it again: one probe is sent, and the others are refused until it was answered.
    let mut rng = SmallRng::seed_from_u64(1);
    let mut circuit = Breaker::new(breaker::Settings {
        max_failures: 1,
        initial_wait: 100 * MS,
        max_wait: 400 * MS,
    });
    let permit = circuit.acquire(Duration::ZERO).unwrap();
    assert!(circuit.on_failure(permit, Duration::ZERO, &mut rng));
    let mut now = Duration::ZERO;
    let mut waits = Vec::new();
    for _ in 0..50 {
        let wait = circuit.acquire(now).unwrap_err();
        waits.push(wait);
        now += wait;
        assert_eq!(circuit.acquire(now), Ok(Permit::Probe));
        assert!(circuit.acquire(now).is_err());
        circuit.on_cancelled(Permit::Probe, now);
        assert_eq!(circuit.acquire(now), Ok(Permit::Probe));
        // A response to a call from before the outage does not count as the probe's.
        assert!(!circuit.on_success(Permit::Call));
        assert!(!circuit.on_failure(Permit::Probe, now, &mut rng));
    }
    assert!(waits[0] >= 50 * MS && waits[0] <= 150 * MS);
    assert!(waits[5..].iter().all(|wait| *wait >= 200 * MS && *wait <= 600 * MS));
    let spread = waits[5..].iter().max().unwrap().abs_diff(*waits[5..].iter().min().unwrap());
    assert!(spread > 200 * MS, "processes would send their probes simultaneously");
    now += circuit.acquire(now).unwrap_err();
    let probe = circuit.acquire(now).unwrap();
    assert!(circuit.on_success(probe) && circuit.is_closed());
}

#[test]
fn rate_limit_drops_its_burst_after_an_outage() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut bucket = Bucket::new(10.0, 5.0);
    let admitted =
        |now: Duration, bucket: &mut Bucket| (0..100).filter(|_| bucket.take(now).is_ok()).count();
    let sec = Duration::from_secs(1);
    assert_eq!(admitted(sec, &mut bucket), 5);
    assert_eq!(bucket.take(sec), Err(100 * MS));
    assert_eq!(admitted(sec + 200 * MS, &mut bucket), 2);
    assert_eq!(bucket.take(9 * sec), Ok(()));
    bucket.clear(9 * sec);
    assert_eq!(admitted(9 * sec, &mut bucket), 0);
    bucket.block(20 * sec, sec, &mut rng);
    assert_eq!(admitted(21 * sec - MS, &mut bucket), 0);
    assert_eq!(admitted(30 * sec, &mut bucket), 5);
}

#[test]
fn recovery_keeps_calls_within_the_rates() {
    // 420 processes make five calls a second each. The platform is down for half a minute, and
    // calls accumulate. When it recovers, each process has a backlog and a saved-up burst. The
    // calls that reach the platform in any tenth of a second must stay within the processes' rates,
    // or the backlog overloads it again.
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = breaker::Settings::default();
    let mut processes: Vec<(Breaker, Bucket, u32)> =
        (0..420).map(|_| (Breaker::new(settings), Bucket::new(10.0, 20.0), 0)).collect();
    let (down, up, end) = (3_000, 33_000, 45_000);
    let mut windows = vec![0_u32; end / 100];
    for ms in 0..end {
        let now = Duration::from_millis(ms as u64);
        for (index, (breaker, rate_limit, backlog)) in processes.iter_mut().enumerate() {
            *backlog += u32::from((ms + index) % 200 == 0);
            while *backlog > 0 {
                let Ok(permit) = breaker.acquire(now) else {
                    break;
                };
                if rate_limit.take(now).is_err() {
                    breaker.on_cancelled(permit, now);
                    break;
                }
                windows[ms / 100] += 1;
                if (down..up).contains(&ms) {
                    breaker.on_failure(permit, now, &mut rng);
                } else {
                    *backlog -= 1;
                    if breaker.on_success(permit) {
                        rate_limit.clear(now);
                    }
                }
            }
        }
    }
    let max_calls = |from: usize, to: usize| *windows[from / 100..to / 100].iter().max().unwrap();
    let (before, during, after) =
        (max_calls(1000, down), max_calls(down + 5000, up), max_calls(up, end));
    println!("calls per tenth of a second: {before} before, {during} during, {after} after");
    assert!(before <= 220, "{before}");
    assert!(during <= 30, "{during} probes per tenth of a second");
    assert!(after <= 440, "{after} calls per tenth of a second");
    let unserved = processes.iter().map(|(_, _, backlog)| *backlog).max();
    assert!(processes.iter().all(|(breaker, _, _)| breaker.is_closed()), "{unserved:?}");
}

#[test]
fn client_sends_no_burst_after_an_outage() {
    // The platform recovers from an outage in which this process saved up its complete burst. After
    // the one probe, calls must be sent at the configured rate and not in a burst.
    let settings = Settings {
        timeout: TIMEOUT,
        rate: 0.001,
        burst: 10.0,
        breaker: breaker::Settings { max_failures: 1, initial_wait: MS, max_wait: MS },
    };
    let steps = [respond(503, "", ""), respond(404, "", ""), respond(404, "", "")];
    let scene = scene(steps, settings);
    smol::block_on(async {
        assert_eq!(scene.client.get("k", "x").await, Err(Error::Unreachable));
        while let Err(Error::BreakerOpen(after)) = scene.client.get("k", "x").await {
            smol::Timer::after(after).await;
        }
        assert!(scene.client.is_healthy());
        let next = scene.client.get("k", "x").await;
        assert!(matches!(next, Err(Error::RateLimited(_))), "{next:?}");
    });
}
