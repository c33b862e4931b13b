//! Common parts of the stand-ins' programs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use async_signal::Signal;
use async_signal::Signals;
use clap::Args;
use http_types::Body;
use http_types::Method;
use poplarmux::edge::http;
use poplarmux::edge::http::Pool;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Role;
use poplarmux::error::Error;
use poplarmux::table::Incarnation;
use poplarmux::table::ServiceId;
use serde_json::Value;
use smol::stream::StreamExt;

use crate::platform::Command;
use crate::site;

/// Maximum number of attempts to register.
const TRIES: u32 = 50;

/// Interval between two attempts.
const AGAIN: Duration = Duration::from_millis(100);

/// Maximum size of the platform's response.
const ANSWER_MAX: usize = 1 << 20;

/// Address and location of a stand-in.
#[derive(Debug, Clone, Args)]
pub struct Place {
    /// Address to listen on; with port 0 on a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// The platform to register with.
    #[arg(long)]
    pub platform: Option<SocketAddr>,
    /// Its region.
    #[arg(long, default_value = "wien")]
    pub region: String,
    /// Its data center.
    #[arg(long, default_value = "wien-1")]
    pub data_center: String,
}

impl Place {
    /// Prints its address, registers it with the platform, and runs until SIGTERM or SIGINT.
    pub async fn run(
        &self,
        addr: SocketAddr,
        role: Role,
        service: Option<ServiceId>,
        incarnation: Incarnation,
    ) -> Result<(), Error> {
        println!("listening on {addr}");
        if let Some(platform) = self.platform {
            let place = (self.region.as_str(), self.data_center.as_str());
            let row = site::instance(addr, place, role);
            let instance = Box::new(Instance { service, incarnation, ..row });
            register(platform, &Command::PutInstance { instance }, TRIES).await?;
        }
        stop_asked().await?;
        if let Some(platform) = self.platform {
            // A platform that is gone keeps no list.
            let _ = register(platform, &Command::RemoveInstance { address: addr }, 0).await;
        }
        Ok(())
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn stop_asked() -> Result<(), Error> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}

/// Returns the incarnation of this process, which is higher for later ones.
pub fn incarnation() -> Incarnation {
    SystemTime::UNIX_EPOCH.elapsed().map_or(1, |time| time.as_millis() as Incarnation)
}

/// Sends a command to a platform that may not have started yet, with up to `again` retries.
async fn register(platform: SocketAddr, command: &Command, again: u32) -> Result<(), Error> {
    let pool = Pool::new(Duration::from_secs(1), Duration::ZERO);
    let mut tries = 0;
    loop {
        let mut req = http::request(Method::Post, platform, "/control")?;
        req.set_body(Body::from_string(serde_json::to_string(command)?));
        match pool.json::<Value>(platform, req, ANSWER_MAX, Duration::from_secs(2)).await {
            Ok(_) => return Ok(()),
            Err(err) if tries == again => return Err(err.into()),
            Err(_) => tries += 1,
        }
        smol::Timer::after(AGAIN).await;
    }
}
