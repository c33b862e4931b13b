//! Crowds of clients that send more than they may, or never finish what they send, at an entry.
//!
//! Guards against entries that end, hang, use more memory or descriptors than their limits allow, or
//! answer nobody else.

mod scene;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use scene::Scene;
use scene::drafting;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;
use standin::crowd;
use standin::crowd::Part;
use standin::crowd::chunk;
use standin::crowd::once;
use standin::crowd::repeated;
use standin::crowd::zeros;
use standin::engine::text::Ask;
use standin::process::Process;

/// Limits of the entry.
const LIMITS: &str = "limits:\n  body: 1048576\n  bodies: 8388608\n  connections: 150\n";
const MAX_BODY_BYTES: usize = 1 << 20;
/// Memory that an entry may use at 1,000 streams, of which a crowd stays below.
const MEMORY_BYTES: usize = 64 << 20;
/// Connections that the entry may accept: 150 of callers and 1,024 of peers; and its own ones.
const MAX_CALLERS: usize = 150;
const MAX_PEERS: usize = 1_024;
const OWN_SOCKETS: usize = 50;
/// Clients with large bodies.
const SENDERS: usize = 140;
/// Clients that hold connections: more than the entry accepts of callers or of peers.
const HOLDERS: usize = 700;
const PEER_HOLDERS: usize = 1_400;
/// Time for which a crowd stays.
const STAY: Duration = Duration::from_secs(3);
/// Interval at which the use of memory and descriptors is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Attempts of an ordinary request while a crowd is there, and the pause between them.
const ATTEMPTS: usize = 10;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);

/// Lets the tests run one after the other: each measures a process.
static RUNNING: Mutex<()> = Mutex::new(());

fn head(headers: &str) -> Part {
    once(format!("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n{headers}\r\n"))
}

fn with_length(len: usize) -> Part {
    head(&format!("Content-Length: {len}\r\n"))
}

/// Returns the most memory and sockets that an entry uses until the future has ended.
async fn sample<T>(entry: &Process, work: impl Future<Output = T>) -> (T, usize, usize) {
    let (mut memory, mut sockets) = (0, 0);
    let sampling = async {
        loop {
            let unread = crowd::unread(&[entry.address, entry.peer]);
            memory = memory.max(entry.resident() as usize + unread);
            sockets = sockets.max(crowd::sockets(entry.child.id()).unwrap_or(0));
            Timer::after(SAMPLE_INTERVAL).await;
        }
    };
    let work = async { Some(work.await) };
    let sampling = async {
        let () = sampling.await;
        None
    };
    let done = smol::future::or(work, sampling).await.expect("sampling does not end");
    (done, memory, sockets)
}

/// Lets a crowd come to a port of an entry: ordinary requests have to be served beside it and after
/// it, within the limits of the entry.
fn bear(clients: usize, port: impl Fn(&Process) -> SocketAddr, max_sockets: usize, parts: &[Part]) {
    let _alone = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut scene = Scene::with_services(vec![drafting("m")]);
    let engine = scene.engine("m");
    scene.entry("wien", LIMITS);
    scene.wait_ready(&scene.entries[0], &[engine.addr()]);
    let (caller, entry) = (scene.caller.clone(), &scene.entries[0]);
    let ordinary = async || {
        let request = Ask::chat("m", "a letter", 8);
        caller.draft(entry.address, &request).await.is_ok_and(|reply| reply.status == 200)
    };
    let ex = LocalExecutor::new();
    let to = port(entry);
    let stay = async {
        let crowd: Vec<Task<()>> =
            (0..clients).map(|_| ex.spawn(crowd::behave_badly(to, parts.to_vec()))).collect();
        let leaving = Timer::after(STAY);
        let mut served = false;
        for _ in 0..ATTEMPTS {
            Timer::after(ATTEMPT_PAUSE).await;
            served = served || ordinary().await;
        }
        leaving.await;
        drop(crowd);
        (served, ordinary().await)
    };
    let ((beside, afterwards), memory, sockets) =
        smol::block_on(ex.run(async { sample(entry, stay).await }));
    eprintln!("at most {} kB and {sockets} sockets", memory / 1_000);
    assert!(scene.entries[0].child.try_wait().expect("a process").is_none(), "the entry has ended");
    assert!(memory <= MEMORY_BYTES, "{memory} bytes");
    assert!(sockets <= max_sockets, "{sockets} sockets");
    assert!(beside, "no ordinary request was served beside the crowd");
    assert!(afterwards, "no ordinary request was served after the crowd");
}

/// Lets a crowd come to the port for callers.
fn bear_callers(clients: usize, parts: &[Part]) {
    // No peer but a crowd at the port for peers opens connections.
    bear(clients, |entry| entry.address, MAX_CALLERS + OWN_SOCKETS, parts);
}

/// Lets a crowd come to the port for peers.
fn bear_peers(clients: usize, parts: &[Part]) {
    bear(clients, |entry| entry.peer, MAX_PEERS + MAX_CALLERS + OWN_SOCKETS, parts);
}

/// Guards against bodies of legal size that together exhaust the memory.
#[test]
fn entry_whole_bodies() {
    bear_callers(SENDERS, &[with_length(MAX_BODY_BYTES), once(zeros(MAX_BODY_BYTES))]);
}

/// Guards against bodies that are kept while their last byte never comes.
#[test]
fn entry_bodies_without_their_last_byte() {
    bear_callers(SENDERS, &[with_length(MAX_BODY_BYTES), once(zeros(MAX_BODY_BYTES - 1))]);
}

/// Guards against chunked bodies whose last chunk never comes.
#[test]
fn entry_chunked_bodies_without_their_last_chunk() {
    let piece = 64 << 10;
    let chunks = repeated(chunk(piece), MAX_BODY_BYTES / piece - 1);
    bear_callers(SENDERS, &[head("Transfer-Encoding: chunked\r\n"), chunks]);
}

/// Guards against chunks of one byte, each of which takes many times its size.
#[test]
fn entry_chunks_of_one_byte_without_the_last_chunk() {
    let chunks = repeated("1\r\n0\r\n".repeat(1_000), 200);
    bear_callers(SENDERS, &[head("Transfer-Encoding: chunked\r\n"), chunks]);
}

/// Guards against bodies over the limit that announce their length and hold a connection while the
/// rest is discarded.
#[test]
fn entry_bodies_over_the_limit() {
    let body = repeated(zeros(MAX_BODY_BYTES), 99);
    bear_callers(HOLDERS, &[with_length(100 * MAX_BODY_BYTES), body]);
}

/// Guards against bytes behind a request, which nobody has asked for yet.
#[test]
fn entry_requests_sent_behind_another() {
    let second = [with_length(MAX_BODY_BYTES), once(zeros(MAX_BODY_BYTES - 1))];
    bear_callers(SENDERS, &[&[with_length(4), once("work")], &second[..]].concat());
}

/// Guards against a head that is one line without end.
#[test]
fn entry_heads_without_a_line_end() {
    bear_callers(SENDERS, &[once("GET /"), repeated(zeros(1 << 20), 10)]);
}

/// Guards against connections that never send a head and leave no room for others.
#[test]
fn entry_connections_with_one_byte_of_a_head() {
    bear_callers(HOLDERS, &[once("P")]);
}

/// Guards against requests whose bodies never end and leave no room for others.
#[test]
fn entry_connections_with_requests_without_their_last_byte() {
    bear_callers(HOLDERS, &[with_length(4), once("wor")]);
}

/// Guards against connections to the port for peers that take all descriptors.
#[test]
fn entry_connections_of_peers_with_one_byte_of_a_head() {
    bear_peers(PEER_HOLDERS, &[once("P")]);
}

/// Guards against messages of peers that together exhaust the memory.
#[test]
fn entry_messages_of_peers_without_their_last_byte() {
    let len = 2 << 20;
    let head = format!("POST /rpc HTTP/1.1\r\nHost: h\r\nContent-Length: {len}\r\n\r\n");
    bear_peers(SENDERS, &[once(head), once(zeros(len - 1))]);
}
