//! Stand-ins for the cases of this review: the platform's store, model engines, plain servers and
//! clients, as the platform's protocol describes them. The standard library alone.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// A JSON value. Numbers keep their text.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(rows) => rows.iter().find(|row| row.0 == name).map(|row| &row.1),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn encode(&self) -> String {
        match self {
            Json::Null => "null".to_string(),
            Json::Bool(value) => value.to_string(),
            Json::Number(text) => text.clone(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::encode).collect();
                format!("[{}]", items.join(","))
            }
            Json::Object(rows) => {
                let rows: Vec<String> = rows
                    .iter()
                    .map(|(name, value)| format!("{}:{}", quote(name), value.encode()))
                    .collect();
                format!("{{{}}}", rows.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            char if (char as u32) < 32 => out.push_str(&format!("\\u{:04x}", char as u32)),
            char => out.push(char),
        }
    }
    out.push('"');
    out
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(rows));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        skip(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        rows.push((name, value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(string(bytes, at)?)),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let begin = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[begin..*at]).ok()?;
            (!text.is_empty()).then(|| Json::Number(text.to_string()))
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(text.as_bytes()).then(|| *at += text.len())?;
    Some(value)
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escape = *bytes.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let char = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend(char.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => out.push(byte),
        }
    }
}

/// Returns a JSON object.
pub fn object(rows: Vec<(&str, Json)>) -> Json {
    Json::Object(rows.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
}

pub fn text(text: &str) -> Json {
    Json::Text(text.to_string())
}

pub fn number(number: impl std::fmt::Display) -> Json {
    Json::Number(number.to_string())
}

/// What happened, with times since the start. Written to `record.txt`.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Record { began: Instant::now(), file: Mutex::new(file) })
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {line}", self.began.elapsed().as_secs_f64());
    }
}

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|row| row.0 == name).map(|row| row.1.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", |path| path.split('?').next().unwrap_or(path))
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.first.get(1)?.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|row| row.0 == name)
            .map(|row| row.1)
    }
}

/// Reads the first line and the headers; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.split_whitespace().map(str::to_string).collect();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the next chunk of a body; an empty one at its end, none if it breaks off.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

/// Reads a whole message with a length or in chunks; none if it breaks off.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    }
    Some(message)
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

pub fn unix_millis() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis() as u64)
}

#[derive(Clone)]
struct Row {
    spec: Json,
    revision: u64,
    created: u64,
}

impl Row {
    fn encode(&self, name: &str) -> Json {
        object(vec![
            (
                "metadata",
                object(vec![
                    ("name", text(name)),
                    ("revision", number(self.revision)),
                    ("createdRev", number(self.created)),
                    ("finalizers", Json::List(Vec::new())),
                    ("deleting", Json::Bool(false)),
                ]),
            ),
            ("spec", self.spec.clone()),
            ("status", Json::Null),
        ])
    }
}

#[derive(Default)]
struct Objects {
    revision: u64,
    rows: BTreeMap<(String, String), Row>,
    /// Revision, kind, whether it is a removal, and the object.
    events: Vec<(u64, String, bool, Json)>,
}

/// The platform's store.
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let objects = Objects { revision: 500, ..Objects::default() };
        let store = Arc::new(Store { objects: Mutex::new(objects), changed: Condvar::new() });
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(req) = read_message(&mut reader) {
            let (status, body) = self.answer(&req);
            let body = body.encode();
            let res = response(status, &[("Content-Type", "application/json")], body.as_bytes());
            if stream.write_all(&res).is_err() {
                return;
            }
        }
    }

    /// Writes an object as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut objects = self.objects.lock().unwrap();
        set(&mut objects, kind, name, spec);
        self.changed.notify_all();
    }

    /// Removes an object as an engine's expiry does.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        unset(&mut objects, kind, name);
        self.changed.notify_all();
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.objects.lock().unwrap();
        objects.rows.keys().filter(|key| key.0 == kind).map(|key| key.1.clone()).collect()
    }

    /// Returns an object's content.
    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let objects = self.objects.lock().unwrap();
        objects.rows.get(&(kind.to_string(), name.to_string())).map(|row| row.spec.clone())
    }

    fn answer(&self, req: &Message) -> (u16, Json) {
        let path = req.path().to_string();
        let mut parts = path.trim_start_matches('/').split('/');
        let (Some("objects"), Some(kind)) = (parts.next(), parts.next()) else {
            return (404, Json::Null);
        };
        let name = parts.next().map(str::to_string);
        let body = Json::parse(&String::from_utf8_lossy(&req.body));
        let spec =
            || body.as_ref().and_then(|body| body.get("spec")).cloned().unwrap_or(Json::Null);
        let metadata = body.as_ref().and_then(|body| body.get("metadata"));
        match (req.first[0].as_str(), name) {
            ("GET", None) => match req.query("watch").and_then(|text| text.parse().ok()) {
                Some(since) => self.watch(kind, since, req.query("waitMs")),
                None => self.list(kind, req.query("after")),
            },
            ("GET", Some(name)) => {
                let objects = self.objects.lock().unwrap();
                match objects.rows.get(&(kind.to_string(), name.clone())) {
                    Some(row) => (200, row.encode(&name)),
                    None => (404, Json::Null),
                }
            }
            ("POST", None) => {
                let name = metadata.and_then(|row| row.get("name")).and_then(Json::text);
                let Some(name) = name else {
                    return (400, Json::Null);
                };
                let mut objects = self.objects.lock().unwrap();
                if let Some(row) = objects.rows.get(&(kind.to_string(), name.to_string())) {
                    return (409, row.encode(name));
                }
                let row = set(&mut objects, kind, name, spec());
                self.changed.notify_all();
                (201, row)
            }
            ("PUT", Some(name)) => {
                let expect = metadata.and_then(|row| row.get("revision")).and_then(Json::number);
                let mut objects = self.objects.lock().unwrap();
                let Some(row) = objects.rows.get(&(kind.to_string(), name.clone())) else {
                    return (404, Json::Null);
                };
                if expect.is_some_and(|expect| expect != row.revision) {
                    return (409, row.encode(&name));
                }
                let row = set(&mut objects, kind, &name, spec());
                self.changed.notify_all();
                (200, row)
            }
            ("DELETE", Some(name)) => {
                let expect: Option<u64> = req.query("revision").and_then(|text| text.parse().ok());
                let mut objects = self.objects.lock().unwrap();
                let Some(row) = objects.rows.get(&(kind.to_string(), name.clone())).cloned() else {
                    return (404, Json::Null);
                };
                if expect.is_some_and(|expect| expect != row.revision) {
                    return (409, row.encode(&name));
                }
                unset(&mut objects, kind, &name);
                self.changed.notify_all();
                (200, row.encode(&name))
            }
            _ => (400, Json::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Json) {
        let objects = self.objects.lock().unwrap();
        let rows = objects.rows.iter().filter(|(key, _)| key.0 == kind);
        let rows = rows.filter(|(key, _)| after.is_none_or(|after| key.1.as_str() > after));
        let items = rows.map(|(key, row)| row.encode(&key.1)).collect();
        let body = object(vec![
            ("items", Json::List(items)),
            ("morePages", Json::Bool(false)),
            ("currentRev", number(objects.revision)),
        ]);
        (200, body)
    }

    fn watch(&self, kind: &str, since: u64, wait: Option<&str>) -> (u16, Json) {
        let wait = wait.and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut objects = self.objects.lock().unwrap();
        loop {
            let events: Vec<Json> = objects
                .events
                .iter()
                .filter(|row| row.0 > since && row.1 == kind)
                .map(|row| object(vec![("removed", Json::Bool(row.2)), ("object", row.3.clone())]))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = object(vec![
                    ("events", Json::List(events)),
                    ("currentRev", number(objects.revision)),
                ]);
                return (200, body);
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

fn set(objects: &mut Objects, kind: &str, name: &str, spec: Json) -> Json {
    let key = (kind.to_string(), name.to_string());
    if let Some(row) = objects.rows.get(&key).filter(|row| row.spec == spec) {
        return row.encode(name);
    }
    objects.revision += 1;
    let revision = objects.revision;
    let created = objects.rows.get(&key).map_or(revision, |row| row.created);
    let row = Row { spec, revision, created };
    let encoded = row.encode(name);
    objects.rows.insert(key, row);
    objects.events.push((revision, kind.to_string(), false, encoded.clone()));
    encoded
}

fn unset(objects: &mut Objects, kind: &str, name: &str) {
    if let Some(mut row) = objects.rows.remove(&(kind.to_string(), name.to_string())) {
        objects.revision += 1;
        row.revision = objects.revision;
        objects.events.push((row.revision, kind.to_string(), true, row.encode(name)));
    }
}

/// A daemon of the system, started with the command of the deploy file. It is killed when dropped.
pub struct Daemon {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Settings of a daemon.
pub struct Place<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
    pub store: SocketAddr,
}

/// Each daemon has an address of its own, so that all use the same ports.
pub const FRONT_PORT: u16 = 28149;

impl Daemon {
    pub fn new(folder: &str, place: &Place<'_>, zones: &[(&str, &str)]) -> Self {
        let Place { name, ip, zone, region, store } = place;
        let zones: String =
            zones.iter().map(|(zone, region)| format!("  {zone}: \"{region}\"\n")).collect();
        let settings = format!(
            "nodeName: \"{name}\"\nrole: \"daemon\"\nmachineClass: \"front\"\n\
             serves:\n  - \"front\"\n  - \"directory\"\nip: \"{ip}\"\nzone: \"{zone}\"\n\
             region: \"{region}\"\nzones:\n{zones}listen:\n  front: \"{ip}:28149\"\n  \
             ready: \"{ip}:28141\"\n  directory: \"{ip}:28143\"\nportRange:\n  - 27380\n  - 27395\n\
             seeds: []\nbootstrap: true\ninTolerance: false\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  \
             memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n\
             discovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\nbounds:\n  \
             contactMs: 4000\n  drainMs: 3000\n  graceS: 8\n  lossSlackMs: 200\n  \
             configApplyMs: 3000\n  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n  retrySlack: 56\n  \
             enforceFencing: false\n  leaseMs: 3000\n  thawSlackMs: 300\n  ceilingWindowS: 5\n  \
             ceilingOvershoot: 1.1\n  ttl_max_s: 5\nprovider:\n  address: \"{store}\"\n  \
             form: \"objects\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  \
             valueBytes: 1048576\n"
        );
        let path = PathBuf::from(folder).join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings can be written");
        Daemon {
            name: name.to_string(),
            ip: ip.to_string(),
            front: format!("{ip}:{FRONT_PORT}").parse().unwrap(),
            settings: path,
            log: PathBuf::from(folder).join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/poplarmux-daemon")
            .args(["--metrics-port", "27396"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("POPLARMUX_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the daemon is built");
        // `run.sh` ends what is left if this process does not.
        let _ = std::fs::write(self.settings.with_extension("pid"), child.id().to_string());
        self.child = Some(child);
    }

    /// Sends a signal by its number.
    pub fn signal(&self, signal: i32) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the daemon answers its readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let addr: SocketAddr = format!("{}:28141", self.ip).parse().unwrap();
        let req = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = exchange(addr, req.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.first.get(1).is_some_and(|status| status == "200"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn exchange(addr: SocketAddr, req: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(req).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Waits until all daemons are ready; exits with 2 if they are not in time.
pub fn wait_until_ready(daemons: &[Daemon], record: &Record) {
    let until = Instant::now() + Duration::from_secs(15);
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > until {
            record.note("the daemons are not ready: the case could not run");
            println!("the daemons are not ready");
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.note("all daemons are ready");
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A loopback address that differs between runs.
pub fn address(number: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{number}", 20 + (pid >> 8) % 200, 1 + pid % 250)
}

/// Random numbers of a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// What an engine holds and does.
#[derive(Default)]
pub struct Held {
    pub models: BTreeMap<String, Vec<String>>,
    coming: usize,
    pub busy: bool,
    pub seq: u64,
    running: BTreeMap<(String, String), usize>,
    pub crashed: Option<String>,
    /// Whether it says that it leaves.
    is_draining: bool,
    /// Whether it writes its entry no more.
    is_silent: bool,
    /// Whether it accepts connections no more.
    is_closed: bool,
    beat: u64,
    connections: Vec<TcpStream>,
}

impl Held {
    fn adapters(&self) -> usize {
        self.models.values().map(Vec::len).sum()
    }

    fn running(&self) -> usize {
        self.running.values().sum()
    }

    fn encode_models(&self) -> Json {
        let rows = self.models.iter().map(|(name, adapters)| {
            let adapters = adapters.iter().map(|name| text(name)).collect();
            object(vec![
                ("name", text(name)),
                ("version", number(1)),
                ("adapters", Json::List(adapters)),
            ])
        });
        Json::List(rows.collect())
    }
}

/// Limits and speeds of a model engine.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub weights_mb: u64,
    pub model_mb: u64,
    pub adapter_slots: usize,
    pub adapter_mb: u64,
    pub load: Duration,
    pub adapter_load: Duration,
    pub events: u64,
    pub pause: Duration,
    /// Whether its streams have no length and end with their connections.
    pub is_unframed: bool,
}

/// A model engine. An order beyond what it can hold crashes it, for good.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub born: u64,
    pub kind: Kind,
    pub held: Mutex<Held>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// The requests that ran, with their ids, in order.
    pub ran: Mutex<Vec<String>>,
}

impl Engine {
    pub fn start(
        id: &str,
        addr: SocketAddr,
        kind: Kind,
        models: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let models = models.iter().map(|name| (name.to_string(), Vec::new())).collect();
        let engine = Arc::new(Engine {
            id: id.to_string(),
            addr,
            born: unix_millis(),
            kind,
            held: Mutex::new(Held { models, ..Held::default() }),
            store: store.clone(),
            record: record.clone(),
            ran: Mutex::default(),
        });
        let listener = TcpListener::bind(addr).expect("the engine's address is free");
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.held.lock().unwrap().crashed.is_some() {
                    break;
                }
                let connection = stream.try_clone().unwrap();
                shared.held.lock().unwrap().connections.push(connection);
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
            drop(listener);
            shared.held.lock().unwrap().is_closed = true;
        });
        let shared = engine.clone();
        thread::spawn(move || {
            while shared.beat() {
                thread::sleep(Duration::from_millis(1_200));
            }
            if shared.held.lock().unwrap().is_silent {
                return;
            }
            // After three intervals of silence the entry is removed.
            thread::sleep(Duration::from_millis(3_600));
            shared.store.remove("servers", &shared.id);
        });
        engine
    }

    /// Writes the engine's entry; returns false once the engine has crashed.
    fn beat(&self) -> bool {
        let mut held = self.held.lock().unwrap();
        if held.crashed.is_some() || held.is_silent {
            return false;
        }
        held.beat += 1;
        let spec = object(vec![
            ("born", number(self.born)),
            ("service", text(&self.kind.service)),
            ("address", text(&self.addr.to_string())),
            ("zone", text(&self.kind.zone)),
            ("version", text("v1")),
            ("slots", number(self.kind.slots)),
            ("state", text(if held.is_draining { "draining" } else { "ready" })),
            ("coldRemainingMs", number(0)),
            ("stage", text("both")),
            ("models", held.encode_models()),
            (
                "atHand",
                object(vec![("inMemory", Json::List(vec![])), ("onDisk", Json::List(vec![]))]),
            ),
            ("seq", number(held.beat)),
        ]);
        self.store.put("servers", &self.id, spec);
        true
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(req) = read_message(&mut reader) {
            if self.held.lock().unwrap().crashed.is_some() {
                return;
            }
            let expected = req.header("x-poplarmux-expect-instance").map(str::to_string);
            let id = req.header("x-poplarmux-request-id").unwrap_or("").to_string();
            let other = expected.is_some_and(|expected| expected != self.id);
            let sent = if other {
                self.reject(&mut stream, 421, &id)
            } else {
                match (req.first[0].as_str(), req.path()) {
                    ("GET", "/report") => self.report(&mut stream),
                    ("POST", "/order") => self.order(&mut stream, &req),
                    ("GET", "/health") => {
                        let head = [("X-Poplarmux-Instance-Id", self.id.as_str())];
                        stream.write_all(&response(200, &head, b"")).is_ok()
                    }
                    _ => self.run(&mut stream, &req, &id),
                }
            };
            if !sent {
                return;
            }
        }
    }

    fn load_header(&self) -> String {
        let held = self.held.lock().unwrap();
        format!("{},0,{}", held.running(), self.kind.slots)
    }

    fn reject(&self, stream: &mut TcpStream, status: u16, id: &str) -> bool {
        let load = self.load_header();
        let mut head = vec![
            ("X-Poplarmux-Not-Executed", "1"),
            ("X-Poplarmux-Instance-Id", self.id.as_str()),
            ("X-Poplarmux-Server-Load", load.as_str()),
        ];
        if !id.is_empty() {
            head.push(("X-Poplarmux-Request-Id", id));
        }
        stream.write_all(&response(status, &head, b"")).is_ok()
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let body = {
            let held = self.held.lock().unwrap();
            object(vec![
                ("born", number(self.born)),
                ("stage", text("both")),
                ("models", held.encode_models()),
                ("busy", Json::Bool(held.busy)),
                ("seq", number(held.seq)),
                ("queued", number(0)),
                ("running", number(held.running())),
                ("kvUsed", number(0)),
                ("kvTotal", number(138_945)),
                ("handles", number(0)),
                ("coming", Json::List((0..held.coming).map(|_| text("?/?@1")).collect())),
                (
                    "atHand",
                    object(vec![("inMemory", Json::List(vec![])), ("onDisk", Json::List(vec![]))]),
                ),
            ])
        };
        let head = [("Content-Type", "application/json")];
        stream.write_all(&response(200, &head, body.encode().as_bytes())).is_ok()
    }

    fn order(self: &Arc<Self>, stream: &mut TcpStream, req: &Message) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let field = |name: &str| body.get(name).and_then(Json::text).map(str::to_string);
        let (Some(operation), Some(model)) = (field("operation"), field("model")) else {
            return stream.write_all(&response(400, &[], b"")).is_ok();
        };
        let status = self.carry_out(&operation, &model, field("adapter"), &body);
        let line = format!(
            "engine {} ({}) order {} -> {status:?}",
            self.id,
            self.kind.service,
            String::from_utf8_lossy(&req.body)
        );
        self.record.note(&line);
        match status {
            Some(status) => stream.write_all(&response(status, &[], b"")).is_ok(),
            None => false,
        }
    }

    /// Returns the status of an order; none if it has crashed the engine.
    fn carry_out(
        self: &Arc<Self>,
        operation: &str,
        model: &str,
        adapter: Option<String>,
        body: &Json,
    ) -> Option<u16> {
        let mut held = self.held.lock().unwrap();
        let expect = body.get("expect").and_then(Json::number);
        if expect.is_some_and(|expect| expect != held.seq) || held.busy {
            return Some(409);
        }
        let resident = held.models.get(model).cloned();
        match (operation, adapter) {
            ("load", Some(adapter)) => {
                let Some(adapters) = resident else {
                    return Some(400);
                };
                if adapters.contains(&adapter) {
                    return Some(200);
                }
                let count = held.adapters() + held.coming + 1;
                let weights = held.models.len() as u64 * self.kind.model_mb
                    + count as u64 * self.kind.adapter_mb;
                if weights > self.kind.weights_mb {
                    drop(held);
                    self.crash(format!(
                        "adapter {adapter} of {model} is ordered, which makes {weights} MB of {} MB",
                        self.kind.weights_mb
                    ));
                    return None;
                }
                if count > self.kind.adapter_slots {
                    drop(held);
                    self.crash(format!(
                        "adapter {adapter} of {model} is ordered as number {count}, adapterSlots {}",
                        self.kind.adapter_slots
                    ));
                    return None;
                }
                held.seq += 1;
                held.coming += 1;
                drop(held);
                let (shared, model) = (self.clone(), model.to_string());
                thread::spawn(move || {
                    thread::sleep(shared.kind.adapter_load);
                    let mut held = shared.held.lock().unwrap();
                    held.coming -= 1;
                    if let Some(adapters) = held.models.get_mut(&model) {
                        adapters.push(adapter);
                    }
                });
                Some(202)
            }
            ("unload", Some(adapter)) => {
                if !resident.is_some_and(|adapters| adapters.contains(&adapter)) {
                    return Some(200);
                }
                held.seq += 1;
                let key = (model.to_string(), adapter.clone());
                if held.running.get(&key).copied().unwrap_or(0) == 0 {
                    held.models.get_mut(model)?.retain(|other| *other != adapter);
                    return Some(200);
                }
                drop(held);
                let shared = self.clone();
                thread::spawn(move || {
                    loop {
                        thread::sleep(Duration::from_millis(5));
                        let mut held = shared.held.lock().unwrap();
                        if held.running.get(&key).copied().unwrap_or(0) == 0 {
                            if let Some(adapters) = held.models.get_mut(&key.0) {
                                adapters.retain(|other| *other != key.1);
                            }
                            return;
                        }
                    }
                });
                Some(202)
            }
            ("load", None) => {
                if resident.is_some() {
                    return Some(200);
                }
                let adapters = (held.adapters() + held.coming) as u64;
                let weights = (held.models.len() as u64 + 1) * self.kind.model_mb
                    + adapters * self.kind.adapter_mb;
                if weights > self.kind.weights_mb {
                    drop(held);
                    self.crash(format!(
                        "model {model} is ordered, which makes {weights} MB of {} MB",
                        self.kind.weights_mb
                    ));
                    return None;
                }
                held.seq += 1;
                held.busy = true;
                drop(held);
                let (shared, model) = (self.clone(), model.to_string());
                thread::spawn(move || {
                    thread::sleep(shared.kind.load);
                    let mut held = shared.held.lock().unwrap();
                    held.models.insert(model, Vec::new());
                    held.busy = false;
                });
                Some(202)
            }
            ("unload", None) => {
                if resident.is_none() {
                    return Some(200);
                }
                held.seq += 1;
                held.busy = true;
                drop(held);
                let (shared, model) = (self.clone(), model.to_string());
                thread::spawn(move || {
                    loop {
                        thread::sleep(Duration::from_millis(5));
                        let mut held = shared.held.lock().unwrap();
                        let running = held.running.iter().filter(|(key, _)| key.0 == model);
                        if running.map(|(_, count)| count).sum::<usize>() == 0 {
                            held.models.remove(&model);
                            held.busy = false;
                            return;
                        }
                    }
                });
                Some(202)
            }
            _ => Some(400),
        }
    }

    /// Ends the engine with all that it runs.
    pub fn crash(&self, why: String) {
        self.record.note(&format!("engine {} ({}) crashes: {why}", self.id, self.kind.service));
        let mut held = self.held.lock().unwrap();
        held.crashed = Some(why);
        for connection in held.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(held);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.addr);
    }

    /// Reports that the engine leaves.
    pub fn drain(&self) {
        self.held.lock().unwrap().is_draining = true;
        self.beat();
        self.record.note(&format!("engine {} reports draining", self.id));
    }

    /// Removes the engine's entry, as one does that leaves without a report.
    pub fn leave(&self) {
        let mut held = self.held.lock().unwrap();
        held.is_silent = true;
        self.store.remove("servers", &self.id);
        self.record.note(&format!("the entry of engine {} is removed", self.id));
    }

    /// Ends the engine as a process ends: it accepts no connection any more, and its connections are
    /// closed, but not reset.
    pub fn exit(&self) {
        self.held.lock().unwrap().crashed = Some("exit".to_string());
        while !self.held.lock().unwrap().is_closed {
            let _ = TcpStream::connect(self.addr);
            thread::sleep(Duration::from_millis(1));
        }
        let mut held = self.held.lock().unwrap();
        for connection in held.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.record.note(&format!("engine {} is gone", self.id));
    }

    fn run(&self, stream: &mut TcpStream, req: &Message, id: &str) -> bool {
        if id.is_empty() {
            return self.reject(stream, 400, "");
        }
        let name = req.header("x-poplarmux-model").unwrap_or("");
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        let key = (model.to_string(), adapter.to_string());
        {
            let mut held = self.held.lock().unwrap();
            let adapters = held.models.get(model);
            let present = adapters
                .is_some_and(|all| adapter.is_empty() || all.iter().any(|one| one == adapter));
            if !present {
                drop(held);
                return self.reject(stream, 421, id);
            }
            if held.running() >= self.kind.slots {
                drop(held);
                return self.reject(stream, 503, id);
            }
            *held.running.entry(key.clone()).or_default() += 1;
        }
        self.ran.lock().unwrap().push(id.to_string());
        self.record.note(&format!("engine {} runs {id} for {name}", self.id));
        let complete = self.stream(stream, id);
        *self.held.lock().unwrap().running.entry(key).or_default() -= 1;
        complete
    }

    fn stream(&self, stream: &mut TcpStream, id: &str) -> bool {
        let framing = match self.kind.is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             X-Poplarmux-Request-Id: {id}\r\nX-Poplarmux-Response-Seal: seal.{id}\r\n\
             X-Poplarmux-Server-Load: {}\r\nX-Poplarmux-Weight-Versions: 1\r\n\r\n",
            self.load_header()
        );
        thread::sleep(self.kind.pause);
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=self.kind.events {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = match self.kind.is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if stream.write_all(chunk.as_bytes()).is_err() {
                self.record.note(&format!(
                    "engine {} has sent {} events of {id}",
                    self.id,
                    number - 1
                ));
                return false;
            }
            thread::sleep(self.kind.pause);
        }
        self.record.note(&format!("engine {} has sent all events of {id}", self.id));
        if self.kind.is_unframed {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return false;
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// How a client's request for a stream has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Complete, with so many events.
    Complete(u64),
    /// Answered with another status than 200.
    Status(u16),
    /// The stream began and broke off after so many events.
    Cut(u64),
    /// There was no answer.
    None,
}

/// Sends a request for a stream on a new connection and reads the answer to its end.
pub fn request_stream(
    addr: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    model: &str,
    deadline: Duration,
) -> End {
    let body = "{}";
    let req = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Poplarmux-Request-Id: {id}\r\n\
         X-Poplarmux-Model: {model}\r\nX-Poplarmux-Token-Count: 300,48\r\n\
         X-Poplarmux-Prompt-Prefix: {id}:300\r\nX-Poplarmux-Deadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return End::None;
    };
    let _ = stream.set_read_timeout(Some(deadline));
    if stream.write_all(req.as_bytes()).is_err() {
        return End::None;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else {
        return End::None;
    };
    let status = head.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    if status != 200 {
        return End::Status(status);
    }
    let mut events = 0;
    loop {
        match read_chunk(&mut reader) {
            Some(chunk) if chunk.is_empty() => return End::Complete(events),
            Some(chunk) => {
                events += String::from_utf8_lossy(&chunk).matches("data:").count() as u64;
            }
            None => return End::Cut(events),
        }
    }
}
