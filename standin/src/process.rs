//! Runs programs as processes for a test or a measurement.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use poplarmux::edge::http::Pool;
use poplarmux::edge::peer;
use poplarmux::state;
use poplarmux::state::Dump;
use poplarmux::table::Bytes;

/// Clock ticks per second of the processor times in `/proc`; the same on all Linux systems.
const TICKS: u64 = 100;

/// A program that runs as a process, which is killed when this is dropped.
pub struct Process {
    /// The process.
    pub child: Child,
    /// Address at which it serves; for a placer the same as `peer`.
    pub address: SocketAddr,
    /// Address for its peers; for a stand-in the same as `address`.
    pub peer: SocketAddr,
    settings: Option<PathBuf>,
}

impl Process {
    /// Starts a program of the system with a settings file of this content.
    pub fn start(program: &Path, settings: &str) -> io::Result<Process> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("poplarmux-{}-{number}.yaml", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings)?;
        let started = Process::run(Command::new(program).arg(&path).args(["--log", "warn"]));
        if started.is_err() {
            let _ = fs::remove_file(&path);
        }
        let mut process = started?;
        process.settings = Some(path);
        Ok(process)
    }

    /// Starts a program that prints its address in its first line.
    pub fn run(command: &mut Command) -> io::Result<Process> {
        let mut child = command.stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = after(&line, "listening on ");
        let Some(peer) = after(&line, "peers on ").or(address) else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(io::Error::other("it does not say where it listens"));
        };
        Ok(Process { child, address: address.unwrap_or(peer), peer, settings: None })
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let done = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(done.expect("kill").success());
    }

    /// Waits until it exits; returns whether it exited successfully.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("wait").success()
    }

    /// Returns its tables.
    pub fn dump(&self) -> Dump {
        self.try_dump().expect("dump")
    }

    /// Returns its tables if it responds.
    pub fn try_dump(&self) -> Option<Dump> {
        let client = peer::Client::new(Pool::new(Duration::from_secs(2), Duration::ZERO));
        let ask = state::Request::default();
        let limit = Duration::from_secs(5);
        smol::block_on(client.call(self.peer, state::METHOD, &ask, limit)).ok()
    }

    /// Returns one of its counters.
    pub fn count(&self, name: &str) -> u64 {
        let dump = self.dump();
        let row = dump.tables["counters"].iter().find(|row| row["name"] == name);
        row.and_then(|row| row["count"].as_u64()).expect("counter")
    }

    /// Returns whether an entry is ready and knows what each of these endpoints serves.
    pub fn knows(&self, endpoints: &[SocketAddr]) -> bool {
        let Some(dump) = self.try_dump() else {
            return false;
        };
        let rows = dump.tables.get("endpoints").map_or(&[][..], Vec::as_slice);
        let known = |at: &SocketAddr| {
            let at = at.to_string();
            let row = rows.iter().find(|row| row["endpoint"] == *at);
            row.is_some_and(|row| row["targets"].as_u64() > Some(0))
        };
        dump.ready && endpoints.iter().all(known)
    }

    /// Returns the configuration that an entry has in force, if it responds at once.
    pub fn version(&self) -> Option<u64> {
        let wait = Duration::from_millis(200);
        let client = peer::Client::new(Pool::new(wait, Duration::ZERO));
        let ask = state::Request { tables: vec!["config".to_string()] };
        let dump =
            smol::block_on(client.call::<Dump>(self.peer, state::METHOD, &ask, wait)).ok()?;
        dump.tables.get("config")?.first()?["version"].as_u64()
    }

    /// Returns the processor time it has used, in steps of 10 ms.
    pub fn cpu(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The second field is the program's name, which may hold spaces.
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks = rest.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 1000 / TICKS)
    }

    /// Returns its resident memory.
    pub fn resident(&self) -> Bytes {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(path) = &self.settings {
            let _ = fs::remove_file(path);
        }
    }
}

/// Returns the path of a program in the directory of the running one.
pub fn beside(name: &str) -> io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name(name);
    if path.exists() { Ok(path) } else { Err(io::Error::other(format!("{name} is not built"))) }
}

fn after(line: &str, words: &str) -> Option<SocketAddr> {
    let rest = line.split_once(words)?.1;
    rest.split([',', '\n', ' ']).next()?.parse().ok()
}
