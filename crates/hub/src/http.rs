//! The HTTP side, for upstreams and callers.
//!
//! Upstreams announce themselves as they do at a directory. One life of an
//! instance, from a start to its end, is one row of the registry, named by id and
//! incarnation: what is sent to an earlier life must not run in a later one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use announce::Reason;
use announce::Refusal;
use announce::endpoint;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::Service;
use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use serde::Serialize;
use slog::warn;
use tokio::net::TcpListener;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::desk::Desk;
use crate::desk::DeskError;

/// Time after which an instance announces itself again: a hub that has started
/// anew knows it by then, should the log have lost what wasn't confirmed.
const REFRESH: Duration = Duration::from_millis(500);
/// Most connections at once; upstreams and callers come for one short call.
const MAX_CONNECTIONS: usize = 1024;

/// The answer to an announcement that was taken.
#[derive(Clone, Copy, Debug, Serialize)]
struct Taken {
    /// The instance should announce itself again after this, in milliseconds.
    refresh_ms: u64,
}

/// Where a caller may connect.
#[derive(Clone, Debug, Serialize)]
struct Hosts {
    /// Addresses of entry hosts, nearest first.
    addresses: Vec<String>,
    /// How long the caller may keep them, in milliseconds.
    ttl_ms: u64,
}

/// The routes of a hub.
fn service(desk: &Desk) -> Service {
    let announce = Router::with_path("v1/announce").post(Announce(desk.clone()));
    let hosts = Router::with_path("v1/hosts").get(Ask(desk.clone()));
    let router = Router::new().push(announce).push(hosts);
    Service::new(router).catcher(Catcher::new(endpoint::RefusalCatcher))
}

/// Listens at `address`; what it gives serves until dropped.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn listen(
    address: SocketAddr,
    desk: &Desk,
) -> io::Result<(SocketAddr, impl Future<Output = ()> + use<>)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let server = Server::new(TcpAcceptor::try_from(listener)?).max_connections(MAX_CONNECTIONS);
    Ok((bound, server.serve(service(desk))))
}

struct Announce(Desk);

#[salvo::async_trait]
impl Handler for Announce {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let result = match endpoint::receive(req).await {
            Ok(told) => take(&self.0, told).await,
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = &result {
            warn!(self.0.log(), "announcement refused";
                "reason" => Into::<&str>::into(refusal.reason), "detail" => &refusal.detail);
        }
        endpoint::render(res, result);
    }
}

async fn take(desk: &Desk, told: members::Instance) -> Result<Taken, Refusal> {
    if told.phase != members::Phase::Starting {
        let fail = |err: DeskError| Refusal::new(Reason::NotReady, err.to_string());
        desk.announce(life(&told)).await.map_err(fail)?;
    }
    Ok(Taken {
        refresh_ms: millis(REFRESH),
    })
}

/// The row of one life of an instance.
fn life(told: &members::Instance) -> Instance {
    Instance {
        id: format!("{}:{}", told.id, told.incarnation),
        service: told.service.to_string(),
        address: told.address.to_string(),
        domain: told.domain.to_string(),
        slots: told.slots,
        phase: match told.phase {
            members::Phase::Starting => Phase::Unspecified.into(),
            members::Phase::Ready => Phase::Ready.into(),
            members::Phase::Draining => Phase::Draining.into(),
            members::Phase::Gone => Phase::Gone.into(),
        },
        sequence: told.sequence,
        ..Instance::default()
    }
}

struct Ask(Desk);

#[salvo::async_trait]
impl Handler for Ask {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let field = |name: &str| req.query::<String>(name).unwrap_or_default();
        let (name, domain, region) = (field("name"), field("domain"), field("region"));
        let (addresses, ttl) = self.0.resolve(&name, &domain, &region);
        let result = if addresses.is_empty() {
            let detail = "no entry host is known to be ready";
            Err(Refusal::new(Reason::NoHost, detail))
        } else {
            Ok(Hosts {
                addresses,
                ttl_ms: millis(ttl),
            })
        };
        endpoint::render(res, result);
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
