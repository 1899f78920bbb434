//! The HTTP interface for upstreams and callers.
//!
//! Upstreams announce themselves as they do at a directory. Each incarnation of an instance
//! has its own id in the registry, so that a request sent to an earlier incarnation never
//! runs in a later one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use announce::Reason;
use announce::Refusal;
use announce::endpoint;
use bounds::BoundedAcceptor;
use bounds::Clients;
use bounds::acceptor::TrackRequests;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::Service;
use salvo::catcher::Catcher;
use serde::Serialize;
use slog::warn;
use tokio::net::TcpListener;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::commands::CommandError;
use crate::commands::CommandHandler;

/// Interval at which instances announce themselves again. After a restart, a hub knows every
/// live instance once this has passed, even if the log has lost unconfirmed announcements.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The answer to an accepted announcement.
#[derive(Clone, Copy, Debug, Serialize)]
struct Accepted {
    /// When the instance should announce itself again, in milliseconds.
    refresh_ms: u64,
}

/// The entry hosts that a caller may connect to.
#[derive(Clone, Debug, Serialize)]
struct EntryAddresses {
    /// Addresses of entry hosts, nearest first.
    addresses: Vec<String>,
    /// How long the caller may cache the addresses, in milliseconds.
    ttl_ms: u64,
}

/// The HTTP routes of a hub.
fn service(commands: &CommandHandler, clients: &Clients) -> Service {
    let announce = Router::with_path("v1/announce").post(Announce(commands.clone()));
    let hosts = Router::with_path("v1/hosts").get(Resolve(commands.clone()));
    let router = Router::new().push(announce).push(hosts);
    Service::new(router)
        .hoop(TrackRequests(clients.clone()))
        .catcher(Catcher::new(endpoint::RefusalCatcher))
}

/// Listens on `address`. Returns the bound address and a future that serves until dropped.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn listen(
    address: SocketAddr,
    commands: &CommandHandler,
    clients: &Clients,
) -> io::Result<(SocketAddr, impl Future<Output = ()> + use<>)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let server = Server::new(BoundedAcceptor::new(listener, clients.clone())?);
    Ok((bound, server.serve(service(commands, clients))))
}

struct Announce(CommandHandler);

#[salvo::async_trait]
impl Handler for Announce {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let result = match endpoint::receive(req, depot).await {
            Ok(announcement) => apply(&self.0, announcement).await,
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = &result {
            warn!(self.0.log(), "announcement refused";
                "reason" => Into::<&str>::into(refusal.reason), "detail" => &refusal.detail);
        }
        endpoint::render(res, result);
    }
}

async fn apply(
    commands: &CommandHandler,
    announcement: members::Instance,
) -> Result<Accepted, Refusal> {
    if announcement.phase != members::Phase::Starting {
        let fail = |err: CommandError| Refusal::new(Reason::NotReady, err.to_string());
        commands
            .announce(to_instance(&announcement))
            .await
            .map_err(fail)?;
    }
    Ok(Accepted {
        refresh_ms: millis(REFRESH_INTERVAL),
    })
}

/// Converts an announcement into a registry instance, whose id includes the incarnation.
fn to_instance(announcement: &members::Instance) -> Instance {
    Instance {
        id: format!("{}:{}", announcement.id, announcement.incarnation),
        service: announcement.service.to_string(),
        address: announcement.address.to_string(),
        domain: announcement.domain.to_string(),
        slots: announcement.slots,
        phase: match announcement.phase {
            members::Phase::Starting => Phase::Unspecified.into(),
            members::Phase::Ready => Phase::Ready.into(),
            members::Phase::Draining => Phase::Draining.into(),
            members::Phase::Gone => Phase::Gone.into(),
        },
        sequence: announcement.sequence,
        ..Instance::default()
    }
}

struct Resolve(CommandHandler);

#[salvo::async_trait]
impl Handler for Resolve {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let field = |name: &str| req.query::<String>(name).unwrap_or_default();
        let (name, domain, region) = (field("name"), field("domain"), field("region"));
        let (addresses, ttl) = self.0.resolve(&name, &domain, &region);
        let result = if addresses.is_empty() {
            let detail = "no entry host is known to be ready";
            Err(Refusal::new(Reason::NoHost, detail))
        } else {
            Ok(EntryAddresses {
                addresses,
                ttl_ms: millis(ttl),
            })
        };
        endpoint::render(res, result);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
