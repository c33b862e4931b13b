//! A platform with engines and services in one process, for tests.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use poplarmux::config;
use poplarmux::config::service::Class;
use poplarmux::config::service::Kind;
use poplarmux::config::service::Model;
use poplarmux::config::snapshot::Snapshot;
use poplarmux::edge::endpoint::Resident;
use poplarmux::edge::endpoint::Stage;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Presence;
use poplarmux::edge::platform::Role;
use poplarmux::table::Bytes;
use poplarmux::table::Incarnation;
use poplarmux::table::ServiceId;

use crate::engine;
use crate::engine::Engine;
use crate::engine::weights::Weights;
use crate::platform;
use crate::platform::Platform;
use crate::process::Process;
use crate::service::Service;

/// Returns a free port of the loopback address.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A platform and its registered instances.
#[derive(Clone)]
pub struct Site {
    /// The platform.
    pub platform: Platform,
    /// The weight store that all engines load from.
    pub weights: Arc<Weights>,
}

impl Site {
    /// Starts a platform without instances.
    pub fn start() -> io::Result<Site> {
        let weights = Weights::new(Duration::from_millis(50), Duration::from_millis(7));
        Ok(Site { platform: Platform::start(any_port())?, weights: Arc::new(weights) })
    }

    /// Starts and registers an engine; the site's weight store replaces `settings.weights`.
    pub fn engine(
        &self,
        region: &str,
        data_center: &str,
        mut settings: engine::Settings,
    ) -> io::Result<Engine> {
        settings.weights = self.weights.clone();
        let engine = Engine::start(any_port(), settings)?;
        let row = instance(engine.addr(), (region, data_center), Role::Engine);
        self.platform.put_instance(Instance { incarnation: engine.incarnation(), ..row });
        Ok(engine)
    }

    /// Starts and registers a plain service.
    pub fn service(&self, name: &str, region: &str, data_center: &str) -> io::Result<Service> {
        let service = Service::start(any_port(), 1)?;
        let row = instance(service.addr(), (region, data_center), Role::Service);
        self.platform.put_instance(Instance { service: Some(ServiceId::from(name)), ..row });
        Ok(service)
    }

    /// Publishes services without the publish program.
    pub fn configure(&self, version: u64, services: Vec<config::service::Service>) {
        let publish = format!("publish-{version}");
        let snapshot = Snapshot { version, publish, services, ..Snapshot::default() };
        self.platform.tell(platform::Command::PutObject {
            kind: "config".to_string(),
            name: "current".to_string(),
            value: serde_json::to_value(snapshot).ok(),
        });
    }

    /// Returns the part of a settings file that contains a process's location.
    pub fn place(&self, region: &str, peers: &[SocketAddr]) -> String {
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let (platform, peers) = (self.platform.addr(), peers.join(", "));
        format!(
            "place:\n  region: {region}\n  data_center: {region}-1\n  platform: \"{platform}\"\n  \
             peers: [{peers}]\n"
        )
    }

    /// Starts an entry without registering it; `more` is added to its settings.
    pub fn unlisted_entry(
        &self,
        program: &Path,
        region: &str,
        peers: &[SocketAddr],
        more: &str,
    ) -> io::Result<Process> {
        let place = self.place(region, peers);
        start_entry(program, &place, more)
    }

    /// Starts and registers an entry.
    pub fn entry(
        &self,
        program: &Path,
        region: &str,
        peers: &[SocketAddr],
        more: &str,
    ) -> io::Result<Process> {
        let process = self.unlisted_entry(program, region, peers, more)?;
        let row = instance(process.address, (region, &format!("{region}-1")), Role::Entry);
        self.platform.put_instance(Instance { peer: Some(process.peer), ..row });
        Ok(process)
    }

    /// Sets the registered state of an instance.
    pub fn presence(&self, address: SocketAddr, state: Presence) {
        self.platform.tell(platform::Command::SetPresence { address, state });
    }
}

/// Starts an entry; `place` and `more` are the rest of its settings.
pub fn start_entry(program: &Path, place: &str, more: &str) -> io::Result<Process> {
    let own = "listen: \"127.0.0.1:0\"\npeer: \"127.0.0.1:0\"\n";
    Process::start(program, &format!("{place}{own}{more}"))
}

/// Returns an engine service with one small model and no adapters.
pub fn drafting(model: &str) -> config::service::Service {
    config::service::Service {
        name: format!("{model}-service"),
        kind: Kind::Engine,
        models: vec![Model {
            name: model.to_string(),
            version: 1,
            memory: 1 << 20,
            copies: 1,
            adapters: Vec::new(),
        }],
        class: Class::Interactive,
        ..plain(model, true)
    }
}

/// A plain service.
pub fn plain(name: &str, repeatable: bool) -> config::service::Service {
    config::service::Service {
        name: name.to_string(),
        kind: Kind::Plain,
        class: Class::Record,
        regions: vec!["wien".to_string()],
        deadline: Duration::from_secs(60),
        share: 1,
        repeatable,
        models: Vec::new(),
    }
}

/// Returns the registration of a live instance.
pub fn instance(address: SocketAddr, place: (&str, &str), role: Role) -> Instance {
    let incarnation: Incarnation = 1;
    Instance {
        address,
        peer: None,
        region: place.0.to_string(),
        data_center: place.1.to_string(),
        role,
        service: None,
        state: Presence::Live,
        incarnation,
    }
}

/// Returns a resident model or adapter for `Engine::preload`, on the first accelerator.
pub fn resident(model: &str, adapter: Option<&str>, memory: Bytes) -> Resident {
    Resident {
        model: model.to_string(),
        version: 1,
        adapter: adapter.map(str::to_string),
        accelerator: 0,
        memory,
        stage: Stage::Resident,
    }
}
