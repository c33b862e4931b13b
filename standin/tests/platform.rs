//! The platform's stand-in behaves as the edges' page says, seen by the real client.

use std::sync::Arc;
use std::time::Duration;

use poplarmux::edge::http::Pool;
use poplarmux::edge::platform::Error;
use poplarmux::edge::platform::Platform as _;
use poplarmux::edge::platform::Presence;
use poplarmux::edge::platform::Role;
use poplarmux::edge::platform::Update;
use poplarmux::edge::platform::http::Client;
use poplarmux::edge::platform::http::Settings;
use poplarmux::metric::Metrics;
use serde_json::json;
use standin::platform::Call;
use standin::platform::Command;
use standin::platform::Platform;
use standin::site;

/// Timeout of calls that the platform answers; no passing test waits for it.
const TIMEOUT: Duration = Duration::from_secs(20);

fn scene() -> (Platform, Client) {
    let platform = Platform::start(site::any_port()).expect("platform");
    let client = client(&platform);
    (platform, client)
}

/// A client whose breaker and budget have seen nothing yet.
fn client(platform: &Platform) -> Client {
    client_with_timeout(platform, TIMEOUT)
}

fn client_with_timeout(platform: &Platform, timeout: Duration) -> Client {
    let pool = Pool::new(TIMEOUT, Duration::from_secs(9));
    let settings = Settings { timeout, ..Settings::default() };
    Client::new(platform.addr(), pool, Arc::new(Metrics::new(None)), settings)
}

#[test]
fn updates_are_conditional_and_versions_rise_over_all_kinds() {
    smol::block_on(async {
        let (_platform, client) = scene();
        let put = |kind, name, expect| {
            let client = client.clone();
            async move { client.put(kind, name, expect, &json!({ "n": 1 })).await }
        };
        assert_eq!(put("a", "one/two", None).await, Ok(Update::Applied(1)));
        assert_eq!(put("b", "x", None).await, Ok(Update::Applied(2)));
        assert_eq!(put("a", "one/two", None).await, Ok(Update::Conflict(Some(1))));
        assert_eq!(put("a", "one/two", Some(2)).await, Ok(Update::Conflict(Some(1))));
        assert_eq!(put("a", "none", Some(2)).await, Ok(Update::Conflict(None)));
        assert_eq!(put("a", "one/two", Some(1)).await, Ok(Update::Applied(3)));
        assert_eq!(put("a", "other", None).await, Ok(Update::Applied(4)));
        let (version, objects) = client.list("a", "one").await.expect("list");
        assert_eq!((version, objects.len(), objects[0].name.as_str()), (4, 1, "one/two"));
        assert_eq!(client.delete("a", "one/two", 1).await, Ok(Update::Conflict(Some(3))));
        assert_eq!(client.delete("a", "one/two", 3).await, Ok(Update::Applied(5)));
        assert_eq!(client.get("a", "one/two").await, Ok(None));
    });
}

#[test]
fn a_watch_waits_for_changes_and_says_when_the_history_is_gone() {
    smol::block_on(async {
        let (platform, client) = scene();
        let watching = client.clone();
        let watch =
            smol::spawn(async move { watching.watch("a", 0, Duration::from_secs(20)).await });
        while platform.record().calls.get(&Call::Watch) != Some(&1) {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        let _ = client.put("b", "x", None, &json!(1)).await;
        let _ = client.put("a", "x", None, &json!(2)).await;
        let changes = watch.await.expect("changes");
        assert_eq!((changes[0].name.as_str(), changes[0].version), ("x", 2));
        let _ = client.delete("a", "x", 2).await;
        let deleted = client.watch("a", 2, Duration::ZERO).await.expect("changes");
        assert_eq!(deleted[0].value, None);
        assert_eq!(client.watch("a", 3, Duration::ZERO).await, Ok(Vec::new()));
        platform.tell(Command::Compact { keep: 1 });
        assert_eq!(client.watch("a", 1, Duration::ZERO).await, Err(Error::Compacted));
    });
}

#[test]
fn faults_are_shown_as_commanded() {
    smol::block_on(async {
        let (platform, first) = scene();
        platform.tell(Command::LoseAnswers { writes: 1 });
        assert_eq!(first.put("a", "x", None, &json!(1)).await, Ok(Update::Unknown));
        assert!(platform.object("a", "x").is_some(), "the write took effect");
        platform.tell(Command::Rate { writes: Some(0.001), reads: None });
        assert!(matches!(first.put("a", "y", None, &json!(1)).await, Ok(Update::Applied(_))));
        assert!(matches!(first.put("a", "z", None, &json!(1)).await, Err(Error::RateLimited(_))));
        platform.tell(Command::Refuse { client: "127.0.0.1".to_string() });
        assert_eq!(client(&platform).get("a", "x").await, Err(Error::Unreachable));
        platform.tell(Command::Heal);
        assert!(client(&platform).get("a", "x").await.expect("get").is_some());
        platform.tell(Command::Down);
        assert_eq!(client(&platform).get("a", "x").await, Err(Error::Unreachable));
        platform.tell(Command::Heal);
        while client(&platform).get("a", "x").await.is_err() {}
        platform.tell(Command::Hang);
        let client = client_with_timeout(&platform, Duration::from_millis(300));
        assert_eq!(client.get("a", "x").await, Err(Error::Unreachable));
    });
}

#[test]
fn the_instance_list_is_as_late_as_commanded() {
    smol::block_on(async {
        let (platform, client) = scene();
        let row = site::instance(site::any_port(), ("wien", "wien-1"), Role::Engine);
        platform.put_instance(row.clone());
        platform.tell(Command::SetPresence { address: row.address, state: Presence::Leaving });
        let list = client.instances().await.expect("list");
        assert_eq!((list.len(), list[0].state), (1, Presence::Leaving));
        platform.tell(Command::Lag { ms: 60_000 });
        assert_eq!(client.instances().await, Ok(Vec::new()));
    });
}
