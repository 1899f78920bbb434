//! The other gateways, as directories list them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::prelude::*;
use reach::Answer;
use reach::ListedPeer;
use reach::PeerSearch;
use slog::info;
use tokio::sync::watch;
use tokio::time::timeout;
use wire::directory::Host;
use wire::directory::HostPhase;

use crate::core::Core;
use crate::instance_clients::InstanceClient;

/// Maximum number of connections to another gateway.
const MAX_CONNECTIONS: u32 = 256;

/// Time within which a directory sends the list to a gateway that has just asked for it.
const LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// Another gateway.
#[derive(Debug)]
pub struct Peer {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Client that sends it requests.
    pub client: InstanceClient,
    /// Services whose instances it doesn't reach, by its own word.
    cut_off: BTreeSet<ServiceName>,
    in_flight: Arc<AtomicUsize>,
}

/// A request that a peer has. Counts as in flight until dropped.
#[derive(Debug)]
pub struct PeerLease(Arc<AtomicUsize>);

impl Drop for PeerLease {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Peer {
    /// Counts a request.
    #[must_use]
    pub fn lease(&self) -> PeerLease {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        PeerLease(self.in_flight.clone())
    }

    fn listed(&self) -> ListedPeer {
        ListedPeer {
            address: self.address,
            domain: self.domain.clone(),
            in_flight: self.in_flight.load(Ordering::Relaxed),
        }
    }
}

/// The gateways that directories list.
#[derive(Debug, Default)]
pub struct Peers {
    state: Mutex<State>,
    /// Whether a directory has sent the list.
    known: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    peers: Vec<Arc<Peer>>,
    /// What is known of their paths to each service's instances.
    searches: BTreeMap<ServiceName, PeerSearch>,
}

impl Peers {
    /// Waits until a directory has sent the list, for a short time.
    pub async fn wait_until_known(&self) {
        let mut known = self.known.subscribe();
        // Without the list, there is no gateway to select.
        let _ = timeout(LIST_TIMEOUT, known.wait_for(|known| *known)).await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn listed(&self) -> Vec<ListedPeer> {
        self.peers.iter().map(|peer| peer.listed()).collect()
    }

    /// What is known of the peers' paths to the service's instances. What they announced counts
    /// until one of them refuses a request.
    fn search(&mut self, service: &ServiceName, domain: &DomainName, now: Moment) -> &PeerSearch {
        let listed = self.listed();
        let peers = &self.peers;
        self.searches.entry(service.clone()).or_insert_with(|| {
            let mut search = PeerSearch::new(domain.as_str().into(), &listed, now);
            for peer in peers {
                let answer = Answer {
                    reached: !peer.cut_off.contains(service),
                    ..Answer::default()
                };
                search.record_answer(peer.address, &answer, now);
            }
            search
        })
    }
}

impl Core {
    /// Replaces the list of gateways. Connections to those that stay are kept.
    pub fn set_peers(&self, hosts: &[Host]) {
        let own = self.settings.host.as_str();
        let serving = hosts
            .iter()
            .filter(|host| host.host != own && host.phase() == HostPhase::Serving);
        let mut state = self.peers.state();
        let peers: Vec<Arc<Peer>> = serving
            .filter_map(|host| peer_of(host, &state.peers))
            .map(Arc::new)
            .collect();
        info!(self.log, "gateways"; "count" => peers.len());
        state.peers = peers;
        state.searches.clear();
        drop(state);
        self.peers.known.send_replace(true);
    }

    /// Selects another gateway that reaches the service's instances; none of those in `tried`, and
    /// if possible from a failure domain that none of those is in.
    #[must_use]
    pub fn select_peer(&self, service: &ServiceName, tried: &[SocketAddr]) -> Option<Arc<Peer>> {
        let now = self.clock.now();
        let mut state = self.peers.state();
        let listed = state.listed();
        let select = |state: &mut State| {
            let search = state.search(service, &self.settings.domain, now);
            search.select(&listed, tried, now, &mut rand::rng())
        };
        let mut selected = select(&mut state);
        if selected.is_none() && tried.is_empty() {
            // Those that refused earlier requests may serve this one.
            state.searches.remove(service);
            selected = select(&mut state);
        }
        let address = selected?;
        state
            .peers
            .iter()
            .find(|peer| peer.address == address)
            .cloned()
    }

    /// Records that a gateway refused a request of the service for a reason of its own.
    pub fn record_peer_refused(&self, service: &ServiceName, peer: &Peer) {
        let now = self.clock.now();
        let mut state = self.peers.state();
        if let Some(search) = state.searches.get_mut(service) {
            search.record_answer(peer.address, &Answer::default(), now);
        }
    }

    /// Records that a gateway took no connection.
    pub fn record_peer_silent(&self, peer: &Peer) {
        let now = self.clock.now();
        let mut state = self.peers.state();
        for search in state.searches.values_mut() {
            search.record_silent(peer.address, now);
        }
    }
}

/// The gateway of `host`; `None` if a field is invalid.
fn peer_of(host: &Host, before: &[Arc<Peer>]) -> Option<Peer> {
    let address: SocketAddr = host.gateway.parse().ok()?;
    let services = host
        .cut_off
        .iter()
        .map(|service| ServiceName::new(service).ok());
    let before = before.iter().find(|peer| peer.address == address);
    Some(Peer {
        address,
        domain: host.domain.as_str().into(),
        client: before.map_or_else(
            || InstanceClient::to_address(address, MAX_CONNECTIONS),
            |before| before.client.clone(),
        ),
        cut_off: services.collect::<Option<_>>()?,
        in_flight: before
            .map(|before| before.in_flight.clone())
            .unwrap_or_default(),
    })
}
