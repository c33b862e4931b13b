//! Small stand-ins for the platform's store, engines and clients, for the scripts in `review/`.
//!
//! Only the standard library is used. Everything listens on loopback addresses.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub mod json;
use json::Value;

/// Returns the Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64
}

/// The record of what was sent, answered and run; one line each.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record file");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("record line");
    }
}

/// A parsed HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads a body by its length or its chunks. An error is a body that broke off.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> std::io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let len = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..len]);
        }
    }
    let len = head.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a whole message; none at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    message.body = read_body(reader, &message)?;
    Ok(Some(message))
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// Calls `handle` in a thread for each connection.
pub fn serve(
    addr: SocketAddr,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    Ok(addr)
}

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Value,
    status: Value,
}

#[derive(Default, Clone)]
struct StoreState {
    /// Number of restores from a copy; the header is left out while it is 0.
    era: u64,
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Revision, kind, name, object, removed.
    events: Vec<(u64, String, String, Object, bool)>,
}

/// A gate that may hold back or change the store's answer to a call. Returns false to drop it.
pub type Gate = dyn Fn(&Message, SocketAddr) -> GateAction + Send + Sync;

/// What happens to a call to the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GateAction {
    Serve,
    /// Answer 503 without doing anything.
    Busy,
    /// Never answer, and do nothing.
    Silent,
    /// Do it, and never answer.
    DoSilent,
}

/// A copy of the store's objects.
pub struct Copy(StoreState);

/// The platform's metadata store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub addr: SocketAddr,
}

fn object_json(name: &str, object: &Object) -> Value {
    let mut metadata = Value::object();
    metadata.set("name", name.into());
    metadata.set("revision", object.revision.into());
    metadata.set("createdRev", object.created.into());
    metadata.set("finalizers", Value::Array(Vec::new()));
    metadata.set("deleting", Value::Bool(false));
    let mut value = Value::object();
    value.set("metadata", metadata);
    value.set("spec", object.spec.clone());
    value.set("status", object.status.clone());
    value
}

impl Store {
    pub fn start(addr: SocketAddr, gate: Arc<Gate>) -> std::io::Result<Store> {
        let state = Arc::new((Mutex::new(StoreState { revision: 1, ..StoreState::default() }), Condvar::new()));
        let mut store = Store { state, addr };
        store.addr = store.listen(addr, gate)?;
        Ok(store)
    }

    /// Serves the same objects at another address, behind a gate of its own.
    pub fn listen(&self, addr: SocketAddr, gate: Arc<Gate>) -> std::io::Result<SocketAddr> {
        let shared = self.state.clone();
        serve(addr, move |stream| {
            let peer = stream.peer_addr().unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while let Ok(Some(call)) = read_message(&mut reader) {
                let action = gate(&call, peer);
                let answer = match action {
                    GateAction::Busy => Some(response(503, &[], b"{}")),
                    GateAction::Silent => None,
                    GateAction::Serve | GateAction::DoSilent => Some(answer(&shared, &call)),
                };
                match answer.filter(|_| action != GateAction::DoSilent) {
                    Some(bytes) => {
                        if stream.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                    None => loop {
                        // A connection on which a response is lost returns nothing further.
                        let mut sink = [0; 1024];
                        if reader.read(&mut sink).unwrap_or(0) == 0 {
                            return;
                        }
                    },
                }
            }
        })
    }

    /// Returns a copy of all objects.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().clone())
    }

    /// Replaces all objects by those of an earlier copy, in a new era.
    pub fn restore(&self, copy: Copy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let era = state.era + 1;
        *state = StoreState { era, ..copy.0 };
        changed.notify_all();
    }

    /// Begins the first era that answers name.
    pub fn set_era(&self, era: u64) {
        self.state.0.lock().unwrap().era = era;
    }

    /// Writes an object, as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let revision = write(&mut state, kind, name, spec);
        changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.state;
        remove(&mut state.lock().unwrap(), kind, name);
        changed.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.0.lock().unwrap();
        state.kinds.get(kind)?.get(name).map(|object| object.spec.clone())
    }
}

fn write(state: &mut StoreState, kind: &str, name: &str, spec: Value) -> u64 {
    let objects = state.kinds.entry(kind.to_string()).or_default();
    let old = objects.get(name).cloned();
    if let Some(old) = &old {
        if old.spec == spec {
            return old.revision;
        }
    }
    state.revision += 1;
    let revision = state.revision;
    let created = old.as_ref().map_or(revision, |old| old.created);
    let object = Object { revision, created, spec, status: Value::Null };
    objects.insert(name.to_string(), object.clone());
    state.events.push((revision, kind.to_string(), name.to_string(), object, false));
    revision
}

fn remove(state: &mut StoreState, kind: &str, name: &str) -> bool {
    let Some(mut object) = state.kinds.entry(kind.to_string()).or_default().remove(name) else {
        return false;
    };
    state.revision += 1;
    object.revision = state.revision;
    state.events.push((state.revision, kind.to_string(), name.to_string(), object, true));
    true
}

/// Objects of one page of a list.
const PAGE_ITEMS: usize = 500;

/// Decodes the `%xx` of a value in a query.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// First of the characters that stand for the bytes from 128 on, as they are.
pub const RAW_BYTE: u32 = 0xf780;

/// Stands for the escape of the first half of a surrogate pair.
pub const HALF_PAIR: char = '\u{f700}';

/// Encodes text in which characters from `RAW_BYTE` on stand for single bytes.
fn raw_bytes(text: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len());
    for char in text.chars() {
        match (char as u32).checked_sub(RAW_BYTE) {
            Some(offset) if offset < 128 => bytes.push(128 + offset as u8),
            _ if char == HALF_PAIR => bytes.extend_from_slice(b"\\ud83d"),
            _ => bytes.extend_from_slice(char.encode_utf8(&mut [0; 4]).as_bytes()),
        }
    }
    bytes
}

fn answer(shared: &(Mutex<StoreState>, Condvar), call: &Message) -> Vec<u8> {
    let mut path = call.path().strip_prefix("/objects/").unwrap_or("").splitn(2, '/');
    let kind = path.next().unwrap_or("").to_string();
    let name = path.next().map(str::to_string);
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    let era = state.era;
    let json = |status: u16, value: Value| {
        let mut headers = vec![("Content-Type", "application/json".to_string())];
        if era > 0 {
            headers.push(("Store-Era", era.to_string()));
        }
        response(status, &headers, &raw_bytes(&value.to_string()))
    };
    let body = json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Value::Null);
    let expected = call
        .query("revision")
        .and_then(|text| text.parse().ok())
        .or_else(|| body.get("metadata").and_then(|row| row.get("revision")).and_then(Value::number));
    match (call.method(), name) {
        ("GET", None) => {
            if let Some(since) = call.query("watch") {
                let since: u64 = since.parse().unwrap_or(0);
                let wait: u64 = call.query("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if since > state.revision || state.era != era {
                        return json(410, Value::object());
                    }
                    let events: Vec<Value> = state
                        .events
                        .iter()
                        .filter(|(revision, of, ..)| *revision > since && *of == kind)
                        .map(|(_, _, name, object, removed)| {
                            let mut event = Value::object();
                            event.set("object", object_json(name, object));
                            event.set("removed", Value::Bool(*removed));
                            event
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let mut value = Value::object();
                        value.set("events", Value::Array(events));
                        value.set("currentRev", state.revision.into());
                        return json(200, value);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            let after = percent_decoded(&call.query("after").unwrap_or_default());
            let objects = state.kinds.get(&kind).cloned().unwrap_or_default();
            let items = objects.iter().filter(|(name, _)| **name > after);
            let more = items.clone().count() > PAGE_ITEMS;
            let items = items.take(PAGE_ITEMS);
            let items = items.map(|(name, object)| object_json(name, object)).collect();
            let mut value = Value::object();
            value.set("items", Value::Array(items));
            value.set("morePages", Value::Bool(more));
            value.set("currentRev", state.revision.into());
            json(200, value)
        }
        ("GET", Some(name)) => match state.kinds.get(&kind).and_then(|objects| objects.get(&name)) {
            Some(object) => json(200, object_json(&name, object)),
            None => json(404, Value::object()),
        },
        ("POST", None) => {
            let name = body.get("metadata").and_then(|row| row.get("name")).and_then(Value::text);
            let name = name.unwrap_or_default();
            let known = state.kinds.get(&kind).and_then(|objects| objects.get(&name)).cloned();
            if let Some(object) = known {
                return json(409, object_json(&name, &object));
            }
            write(&mut state, &kind, &name, body.get("spec").cloned().unwrap_or(Value::Null));
            changed.notify_all();
            json(200, object_json(&name, &state.kinds[&kind][&name]))
        }
        ("PUT" | "DELETE", Some(name)) => {
            let known = state.kinds.get(&kind).and_then(|objects| objects.get(&name)).cloned();
            let Some(object) = known else {
                return json(404, Value::object());
            };
            if expected.is_some_and(|expected| expected != object.revision) {
                return json(409, object_json(&name, &object));
            }
            if call.method() == "DELETE" {
                remove(&mut state, &kind, &name);
                changed.notify_all();
                return json(200, object_json(&name, &object));
            }
            write(&mut state, &kind, &name, body.get("spec").cloned().unwrap_or(Value::Null));
            changed.notify_all();
            json(200, object_json(&name, &state.kinds[&kind][&name]))
        }
        _ => json(400, Value::object()),
    }
}

/// One daemon process.
pub struct Daemon {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    pub child: Child,
}

pub const FRONT: u16 = 8149;
pub const READY: u16 = 8141;
pub const DIRECTORY: u16 = 8143;

impl Daemon {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name}");
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_none()
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.root, &self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let req = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let addr = SocketAddr::from((self.ip, READY));
        exchange(addr, req.as_bytes(), Duration::from_secs(1)).is_ok_and(|res| res.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options().append(true).create(true).open(log).expect("log");
    let mut command = Command::new("target/release/poplarmux-daemon");
    // Ends the daemon also if this program is killed.
    // SAFETY: `prctl` only sets an attribute of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .args(["--metrics-port", "7390"])
        .current_dir(root)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("POPLARMUX_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("daemon starts")
}

/// A small deployment: zones wien-a, graz-a and ibk-a, each in a region of its own.
pub struct Site {
    pub root: PathBuf,
    pub dir: PathBuf,
    /// First two octets after 127 are drawn for each run.
    pub net: (u8, u8),
}

impl Site {
    pub fn new() -> Site {
        let root = std::env::current_dir().expect("repository");
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("poplarmux-review-{pid}"));
        std::fs::create_dir_all(&dir).expect("temporary folder");
        let seed = unix_millis() ^ u64::from(pid) << 7;
        let net = (100 + (seed % 100) as u8, (seed / 100 % 250) as u8);
        Site { root, dir, net }
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    pub fn addr(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(last), port))
    }

    /// Starts daemon number `number` (1 and up).
    pub fn daemon(&self, number: u8, store: SocketAddr) -> Daemon {
        let (zone, region) = [("wien-a", "wien"), ("graz-a", "steiermark"), ("ibk-a", "tirol")]
            [usize::from(number - 1) % 3];
        let name = format!("front-{zone}-{}", (number + 2) / 3);
        let ip = self.ip(number);
        let settings = self.dir.join(format!("{name}.yaml"));
        let text = format!(
            r#"nodeName: "{name}"
role: "daemon"
machineClass: "front"
serves:
  - "front"
  - "directory"
ip: "{ip}"
zone: "{zone}"
region: "{region}"
zones:
  wien-a: "wien"
  graz-a: "steiermark"
  ibk-a: "tirol"
listen:
  front: "{ip}:{FRONT}"
  ready: "{ip}:{READY}"
  directory: "{ip}:{DIRECTORY}"
portRange:
  - 7380
  - 7395
seeds: []
bootstrap: true
inTolerance: false
limits:
  cpuShare: 0.25
  cores: 1
  memoryMb: 260
  maxFds: 4200
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "directory"
heartbeatMs: 1200
faultTolerance:
  machines: 2
  zones: 0
  regions: 0
bounds:
  contactMs: 4000
  drainMs: 3000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 3000
  rollbackSlackMs: 250
  maxStretchMs: 6000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retrySlack: 52
  recoverS: 12
  passMs: 400
  enforceFencing: false
  leaseMs: 3000
  thawSlackMs: 300
  ceilingWindowS: 5
  ceilingOvershoot: 1.1
  ttl_max_s: 5
provider:
  address: "{store}"
  form: "objects"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
"#
        );
        std::fs::write(&settings, text).expect("settings file");
        let log = self.dir.join(format!("{name}.log"));
        let child = spawn(&self.root, &settings, &log);
        let root = self.root.clone();
        Daemon { name, ip, zone: zone.to_string(), settings, log, root, child }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("kept {}", self.dir.display());
        }
    }
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Sends one request on a new connection and reads the response.
pub fn exchange(addr: SocketAddr, req: &[u8], limit: Duration) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(req)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// How a plain engine answers a request.
pub type PlainHandler = dyn Fn(&Message, &str) -> Vec<u8> + Send + Sync;

/// An engine of a plain service.
#[derive(Clone)]
pub struct Plain {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    born: u64,
    store: Store,
    seq: Arc<AtomicU64>,
    is_draining: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
}

impl Plain {
    fn beat(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let Plain { service, zone, addr, born, .. } = self;
        let text = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","coldRemainingMs":0,"born":{born},"seq":{seq}}}"#
        );
        self.store.put("servers", &self.id, json::parse(&text).unwrap());
    }

    /// Reports `draining`; returns once the store has accepted that.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.beat();
    }

    /// Ends: its entry is removed, and its connections are closed with what runs there.
    pub fn leave(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.store.remove("servers", &self.id);
    }
}

/// Starts an engine of a plain service that answers each request by `handle`, and its heartbeat.
pub fn plain(
    store: &Store,
    id: &str,
    service: &str,
    zone: &str,
    addr: SocketAddr,
    handle: Arc<PlainHandler>,
) -> std::io::Result<Plain> {
    let (name, ended) = (id.to_string(), Arc::new(AtomicBool::new(false)));
    let has_ended = ended.clone();
    let addr = serve(addr, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Ok(Some(call)) = read_message(&mut reader) {
            if has_ended.load(Ordering::SeqCst) {
                return;
            }
            if call.header("x-poplarmux-expect-instance").is_some_and(|id| id != name) {
                let id = call.header("x-poplarmux-request-id").unwrap_or_default().to_string();
                let headers =
                    [("X-Poplarmux-Instance-Id", name.clone()), ("X-Poplarmux-Request-Id", id)];
                if stream.write_all(&response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let answer = handle(&call, &name);
            if has_ended.load(Ordering::SeqCst) || stream.write_all(&answer).is_err() {
                return;
            }
        }
    })?;
    let engine = Plain {
        id: id.to_string(),
        addr,
        service: service.to_string(),
        zone: zone.to_string(),
        born: unix_millis(),
        store: store.clone(),
        seq: Arc::new(AtomicU64::new(0)),
        is_draining: Arc::new(AtomicBool::new(false)),
        ended,
    };
    engine.beat();
    let beating = engine.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1200));
        if beating.ended.load(Ordering::SeqCst) {
            return;
        }
        beating.beat();
    });
    Ok(engine)
}

/// Headers of an engine's answer to a request.
pub fn sealed(call: &Message) -> Vec<(&'static str, String)> {
    let id = call.header("x-poplarmux-request-id").unwrap_or_default().to_string();
    vec![
        ("X-Poplarmux-Request-Id", id.clone()),
        ("X-Poplarmux-Response-Seal", format!("seal.{id}")),
        ("Keep-Alive", "timeout=8".to_string()),
    ]
}

/// Counters by name.
#[derive(Clone, Default)]
pub struct Counts(Arc<Mutex<HashMap<String, u64>>>);

impl Counts {
    pub fn add(&self, name: &str) -> u64 {
        let mut rows = self.0.lock().unwrap();
        let row = rows.entry(name.to_string()).or_default();
        *row += 1;
        *row
    }

    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().unwrap().get(name).copied().unwrap_or(0)
    }

    pub fn rows(&self) -> Vec<(String, u64)> {
        self.0.lock().unwrap().iter().map(|(name, count)| (name.clone(), *count)).collect()
    }
}

/// A model engine that streams events.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    state: Arc<Mutex<EngineState>>,
    store: Store,
    service: String,
    zone: String,
    born: Arc<AtomicU64>,
}

#[derive(Default)]
struct EngineState {
    models: Vec<String>,
    /// Number of orders accepted.
    orders: u64,
    beats: u64,
    loads: u64,
    is_busy: bool,
}

/// Called with each order as it arrives: the engine's id, the order's body, the models that the engine
/// holds, and whether it accepts the order.
pub type OrderHandler = dyn Fn(&str, &Value, &[String], bool) + Send + Sync;
/// Answers a request on its connection; returns whether the connection stays open.
pub type StreamHandler = dyn Fn(&Message, &str, &mut TcpStream) -> bool + Send + Sync;

/// Starts a model engine, and its heartbeat.
#[allow(clippy::too_many_arguments)]
pub fn engine(
    store: &Store,
    id: &str,
    service: &str,
    zone: &str,
    addr: SocketAddr,
    models: &[&str],
    load_time: Duration,
    on_order: Arc<OrderHandler>,
    on_request: Arc<StreamHandler>,
) -> std::io::Result<Arc<Engine>> {
    let models = models.iter().map(|name| name.to_string()).collect();
    let state = Arc::new(Mutex::new(EngineState { models, ..EngineState::default() }));
    let (name, shared) = (id.to_string(), state.clone());
    let born = Arc::new(AtomicU64::new(unix_millis()));
    let start = born.clone();
    let addr = serve(addr, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(call)) = read_message(&mut reader) {
            if call.header("x-poplarmux-expect-instance").is_some_and(|id| id != name) {
                let id = call.header("x-poplarmux-request-id").unwrap_or_default().to_string();
                let headers =
                    [("X-Poplarmux-Instance-Id", name.clone()), ("X-Poplarmux-Request-Id", id)];
                if stream.write_all(&response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let answer = match call.path() {
                "/report" => response(200, &[], report(&shared, start.load(Ordering::SeqCst)).to_string().as_bytes()),
                "/health" => response(200, &[("X-Poplarmux-Instance-Id", name.clone())], b""),
                "/order" => {
                    let body = json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Value::Null);
                    let status = order(&shared, &body, load_time, |models, accepts| {
                        on_order(&name, &body, models, accepts)
                    });
                    response(status, &[], b"{}")
                }
                _ => {
                    if !on_request(&call, &name, &mut stream) {
                        return;
                    }
                    continue;
                }
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    })?;
    let engine = Arc::new(Engine {
        id: id.to_string(),
        addr,
        state,
        store: store.clone(),
        service: service.to_string(),
        zone: zone.to_string(),
        born,
    });
    engine.beat();
    let beating = engine.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1200));
        beating.beat();
    });
    Ok(engine)
}

impl Engine {
    /// Starts again under the same id, and holds nothing.
    pub fn restart(&self) {
        *self.state.lock().unwrap() = EngineState::default();
        self.born.store(unix_millis(), Ordering::SeqCst);
        self.beat();
    }

    pub fn holds(&self, model: &str) -> bool {
        self.state.lock().unwrap().models.iter().any(|other| other == model)
    }

    fn beat(&self) {
        let models = {
            let mut state = self.state.lock().unwrap();
            state.beats += 1;
            (models_json(&state.models), state.beats)
        };
        let (service, zone, addr) = (&self.service, &self.zone, self.addr);
        let born = self.born.load(Ordering::SeqCst);
        let (models, beats) = models;
        let text = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","models":{models},"born":{born},"seq":{beats}}}"#
        );
        self.store.put("servers", &self.id, json::parse(&text).unwrap());
    }
}

fn models_json(models: &[String]) -> Value {
    let row = |name: &String| {
        let mut row = Value::object();
        row.set("name", name.as_str().into());
        row.set("version", 1.into());
        row.set("adapters", Value::Array(Vec::new()));
        row
    };
    Value::Array(models.iter().map(row).collect())
}

fn report(state: &Mutex<EngineState>, born: u64) -> Value {
    let state = state.lock().unwrap();
    let mut value = Value::object();
    value.set("stage", "both".into());
    value.set("models", models_json(&state.models));
    value.set("busy", Value::Bool(state.is_busy));
    value.set("seq", state.orders.into());
    value.set("born", born.into());
    for name in ["queued", "running", "kvUsed", "handles"] {
        value.set(name, 0.into());
    }
    value.set("kvTotal", 150_000.into());
    value
}

/// Applies an order for a model and returns the status of the answer.
fn order(
    shared: &Arc<Mutex<EngineState>>,
    body: &Value,
    load_time: Duration,
    on_order: impl Fn(&[String], bool),
) -> u16 {
    let text = |name: &str| body.get(name).and_then(Value::text);
    let (Some(operation), Some(model)) = (text("operation"), text("model")) else {
        return 400;
    };
    let mut state = shared.lock().unwrap();
    let holds = state.models.contains(&model);
    let expected = body.get("expect").and_then(Value::number);
    if state.is_busy || expected.is_some_and(|expected| expected != state.orders) {
        on_order(&state.models, false);
        return 409;
    }
    if holds == (operation == "load") {
        on_order(&state.models, false);
        return 200;
    }
    on_order(&state.models, true);
    state.orders += 1;
    if operation == "unload" {
        state.models.retain(|other| *other != model);
        return 202;
    }
    state.is_busy = true;
    state.loads += 1;
    let (shared, number) = (shared.clone(), state.loads);
    thread::spawn(move || {
        thread::sleep(load_time);
        let mut state = shared.lock().unwrap();
        // The engine may have started again meanwhile.
        if state.is_busy && state.loads == number {
            state.is_busy = false;
            state.models.push(model);
        }
    });
    202
}

/// Writes the head of an event stream.
pub fn write_stream_head(call: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_string();
    for (name, value) in sealed(call) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())
}

/// Writes one event of a stream.
pub fn write_event(stream: &mut TcpStream, number: usize, data: &str) -> std::io::Result<()> {
    let event = format!("id: {number}\ndata: {data}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

/// Writes the end of a stream.
pub fn write_stream_end(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"0\r\n\r\n")
}
