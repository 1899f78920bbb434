//! Address of a target: fixed, or looked up in a directory and cached.

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

/// Timeout of a request to a directory.
const TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of looking up addresses.
    #[derive(Debug)]
    pub enum TargetError {
        /// The request to a directory failed.
        Request(err: reqwest::Error) {
            source(err)
            display("directory request failed: {err}")
        }
        /// A directory responded with a status other than 200.
        Status(status: u16) {
            display("directory responded with status {status}")
        }
        /// A directory's response could not be parsed.
        InvalidResponse(err: serde_json::Error) {
            source(err)
            display("invalid response from directory: {err}")
        }
        /// A directory returned an address outside loopback.
        Address(err: OptionsError) {
            from()
            source(err)
            display("{err}")
        }
        /// No directory is configured.
        NoDirectory {
            display("no directory configured")
        }
    }
}

#[derive(Deserialize)]
struct Route {
    addresses: Vec<RouteAddress>,
    max_age_ms: u64,
}

#[derive(Deserialize)]
struct RouteAddress {
    address: SocketAddr,
}

/// Addresses from a directory, valid until `expires_at`.
struct CachedRoute {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

/// Source of the addresses of a target.
pub enum Target {
    /// A fixed address.
    Fixed(SocketAddr),
    /// The addresses that the directories return.
    Directory(Box<RouteResolver>),
}

impl Target {
    /// Creates a target that queries `directories` in order until one responds.
    #[must_use]
    pub fn directory(directories: Vec<SocketAddr>, service: ServiceName) -> Self {
        Self::Directory(Box::new(RouteResolver {
            client: Client::new(),
            directories,
            service,
            cached: Mutex::new(None),
        }))
    }

    /// The addresses to try, in order.
    ///
    /// # Errors
    ///
    /// Fails if no directory returns a valid response.
    pub async fn addresses(&self) -> Result<Arc<[SocketAddr]>, TargetError> {
        match self {
            Self::Fixed(address) => Ok([*address].into()),
            Self::Directory(resolver) => resolver.addresses().await,
        }
    }
}

/// Queries directories and caches the response for its `max_age_ms`.
pub struct RouteResolver {
    client: Client,
    directories: Vec<SocketAddr>,
    service: ServiceName,
    cached: Mutex<Option<CachedRoute>>,
}

impl RouteResolver {
    async fn addresses(&self) -> Result<Arc<[SocketAddr]>, TargetError> {
        // Locked during the query, so that concurrent calls share one response.
        let mut cached = self.cached.lock().await;
        if let Some(cached) = &*cached
            && Instant::now() < cached.expires_at
        {
            return Ok(cached.addresses.as_slice().into());
        }
        let route = self.query_all().await?;
        let addresses = route.addresses.as_slice().into();
        *cached = Some(route);
        Ok(addresses)
    }

    async fn query_all(&self) -> Result<CachedRoute, TargetError> {
        let mut last_error = TargetError::NoDirectory;
        for directory in &self.directories {
            match self.query(*directory).await {
                Ok(cached) => return Ok(cached),
                Err(err) => last_error = err,
            }
        }
        Err(last_error)
    }

    async fn query(&self, directory: SocketAddr) -> Result<CachedRoute, TargetError> {
        let url = format!("http://{directory}/v1/route?service={}", self.service);
        let requested_at = Instant::now();
        let send = self.client.get(url).timeout(TIMEOUT).send();
        let response = send.await.map_err(TargetError::Request)?;
        if response.status() != 200 {
            return Err(TargetError::Status(response.status().as_u16()));
        }
        let body = response.bytes().await.map_err(TargetError::Request)?;
        let route: Route = serde_json::from_slice(&body).map_err(TargetError::InvalidResponse)?;
        let addresses: Vec<SocketAddr> = route.addresses.iter().map(|a| a.address).collect();
        for address in &addresses {
            check_loopback(*address)?;
        }
        Ok(CachedRoute {
            addresses,
            expires_at: requested_at + Duration::from_millis(route.max_age_ms),
        })
    }
}
