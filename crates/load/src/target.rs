//! Where calls go: a fixed address, or what a directory says, kept as told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use quick_error::quick_error;
use reqwest::Client;
use serde::Deserialize;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::options::OptionsError;
use crate::options::check_loopback;

/// Longest wait for a directory.
const TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why no address is known.
    #[derive(Debug)]
    pub enum TargetError {
        /// No directory answered.
        Silent(err: reqwest::Error) {
            source(err)
            display("directory: {err}")
        }
        /// A directory answered with another status.
        Refused(status: u16) {
            display("directory: status {status}")
        }
        /// A directory's answer can't be read.
        Answer(err: serde_json::Error) {
            source(err)
            display("directory's answer: {err}")
        }
        /// A directory named an address outside loopback.
        Address(err: OptionsError) {
            from()
            source(err)
            display("{err}")
        }
        /// There is no directory to ask.
        NoDirectory {
            display("no directory to ask")
        }
    }
}

#[derive(Deserialize)]
struct Route {
    addresses: Vec<Named>,
    max_age_ms: u64,
}

#[derive(Deserialize)]
struct Named {
    address: SocketAddr,
}

/// A directory's answer, valid until `end`.
struct Kept {
    addresses: Vec<SocketAddr>,
    end: Instant,
}

/// Finds the address of each call.
pub enum Target {
    /// Always the same.
    Fixed(SocketAddr),
    /// As the directories say.
    Directory(Box<Finder>),
}

impl Target {
    /// A target that asks `directories`, the first one first.
    #[must_use]
    pub fn directory(directories: Vec<SocketAddr>, service: ServiceName) -> Self {
        Self::Directory(Box::new(Finder {
            client: Client::new(),
            directories,
            service,
            kept: Mutex::new(None),
        }))
    }

    /// The addresses to try, in order.
    ///
    /// # Errors
    ///
    /// Fails when no directory gives any.
    pub async fn addresses(&self) -> Result<Arc<[SocketAddr]>, TargetError> {
        match self {
            Self::Fixed(address) => Ok([*address].into()),
            Self::Directory(finder) => finder.addresses().await,
        }
    }
}

/// Asks directories and keeps their answer for as long as it says.
pub struct Finder {
    client: Client,
    directories: Vec<SocketAddr>,
    service: ServiceName,
    kept: Mutex<Option<Kept>>,
}

impl Finder {
    async fn addresses(&self) -> Result<Arc<[SocketAddr]>, TargetError> {
        // Held over the question, so that calls that wait for it share one answer.
        let mut kept = self.kept.lock().await;
        if let Some(kept) = &*kept
            && Instant::now() < kept.end
        {
            return Ok(kept.addresses.as_slice().into());
        }
        let fresh = self.ask_all().await?;
        let addresses = fresh.addresses.as_slice().into();
        *kept = Some(fresh);
        Ok(addresses)
    }

    async fn ask_all(&self) -> Result<Kept, TargetError> {
        let mut failure = TargetError::NoDirectory;
        for directory in &self.directories {
            match self.ask(*directory).await {
                Ok(kept) => return Ok(kept),
                Err(err) => failure = err,
            }
        }
        Err(failure)
    }

    async fn ask(&self, directory: SocketAddr) -> Result<Kept, TargetError> {
        let url = format!("http://{directory}/v1/route?service={}", self.service);
        let asked = Instant::now();
        let send = self.client.get(url).timeout(TIMEOUT).send();
        let answer = send.await.map_err(TargetError::Silent)?;
        if answer.status() != 200 {
            return Err(TargetError::Refused(answer.status().as_u16()));
        }
        let body = answer.bytes().await.map_err(TargetError::Silent)?;
        let route: Route = serde_json::from_slice(&body).map_err(TargetError::Answer)?;
        let addresses: Vec<SocketAddr> = route.addresses.iter().map(|a| a.address).collect();
        for address in &addresses {
            check_loopback(*address)?;
        }
        Ok(Kept {
            addresses,
            end: asked + Duration::from_millis(route.max_age_ms),
        })
    }
}
