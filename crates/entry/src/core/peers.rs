//! The processes that relay requests while a path is cut.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use reach::Answer;
use reach::ListedPeer;
use reach::PeerCounts;
use reach::PeerPath;
use reach::PeerSearch;
use slog::info;

use super::Core;
use super::State;
use crate::relay::Peer;
use crate::relay::PeerReport;

/// What a search for peers has found so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct SearchProgress {
    /// What is known of the peers' paths.
    pub counts: PeerCounts,
    /// Time until the next peers are asked.
    pub next_wave: Duration,
}

impl Core {
    /// Selects a peer that reaches the service's instances to relay a request; none of those in
    /// `tried`.
    pub fn select_peer(&self, service: &ServiceName, tried: &[Arc<Peer>]) -> Option<Arc<Peer>> {
        let now = self.clock.now();
        let state = self.state();
        let search = state.searches.get(service)?;
        let tried: Vec<SocketAddr> = tried.iter().map(|peer| peer.address).collect();
        let peers = state.listed_peers();
        let address = search.select(&peers, &tried, now, &mut rand::rng())?;
        state.peers.get(&address).cloned()
    }

    /// Whether a request without a peer should wait for one.
    pub fn is_peer_search_promising(&self, service: &ServiceName) -> bool {
        let state = self.state();
        let search = state.searches.get(service);
        search.is_some_and(PeerSearch::is_promising)
    }

    /// When the next peers are to be asked.
    pub fn next_peer_wave(&self, service: &ServiceName) -> Moment {
        let state = self.state();
        let search = state.searches.get(service);
        search.map_or(Moment::ZERO, PeerSearch::next_wave)
    }

    /// The peers that are to be asked now.
    pub fn begin_peer_wave(&self, service: &ServiceName) -> Vec<Arc<Peer>> {
        let now = self.clock.now();
        let mut state = self.state();
        let state = &mut *state;
        let peers = state.listed_peers();
        let Some(search) = state.searches.get_mut(service) else {
            return Vec::new();
        };
        if search.next_wave() > now {
            return Vec::new();
        }
        let wave = search.begin_wave(&peers, now, &mut rand::rng());
        let counts = search.counts();
        info!(self.log, "peer search"; "service" => %service, "asked" => wave.len(),
            "listed" => counts.listed, "reached" => counts.reached,
            "cut_off" => counts.cut_off, "silent" => counts.silent,
            "next_ms" => search.next_wave().since(now).as_millis());
        let wave = wave.iter().filter_map(|address| state.peers.get(address));
        wave.cloned().collect()
    }

    /// Records a peer's answer, or what a request that it took tells of its path.
    pub fn record_peer_answer(&self, service: &ServiceName, peer: &Peer, answer: &Answer) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(search) = state.searches.get_mut(service) else {
            return;
        };
        let changed = search.record_answer(peer.address, answer, now);
        let path = if answer.reached {
            PeerPath::Reached
        } else {
            PeerPath::CutOff
        };
        self.counters.peer_asked(service, path.into());
        if changed {
            self.log_peer(service, peer, path, answer);
        }
        self.update_dependence(&state);
        drop(state);
        self.path_changes.send_modify(|changes| *changes += 1);
    }

    /// Records that a peer took no question or request, of whatever service.
    pub fn record_peer_silent(&self, peer: &Peer) {
        let now = self.clock.now();
        let mut state = self.state();
        for (service, search) in &mut state.searches {
            self.counters.peer_asked(service, PeerPath::Silent.into());
            if search.record_silent(peer.address, now) {
                self.log_peer(service, peer, PeerPath::Silent, &Answer::default());
            }
        }
        self.update_dependence(&state);
        drop(state);
        self.path_changes.send_modify(|changes| *changes += 1);
    }

    fn log_peer(&self, service: &ServiceName, peer: &Peer, path: PeerPath, answer: &Answer) {
        let path: &'static str = path.into();
        info!(self.log, "peer"; "service" => %service, "peer" => %peer.address,
            "domain" => &*peer.domain, "path" => path, "load" => answer.load,
            "hints" => answer.hints.len());
    }

    /// What this process tells a peer with its response.
    pub fn peer_report(&self, service: &ServiceName) -> PeerReport {
        let state = self.state();
        let is_cut = state
            .paths
            .get(service)
            .is_some_and(|path| path.cut_at().is_some());
        let search = state.searches.get(service).filter(|_| is_cut);
        PeerReport {
            load: self.relayed.get(),
            hints: search.map_or_else(Vec::new, |search| search.hints(&mut rand::rng())),
        }
    }

    /// What the search for peers has found so far.
    pub fn search_progress(&self, service: &ServiceName) -> SearchProgress {
        let now = self.clock.now();
        let state = self.state();
        let search = state.searches.get(service);
        search.map_or_else(SearchProgress::default, |search| SearchProgress {
            counts: search.counts(),
            next_wave: search.next_wave().since(now),
        })
    }
}

impl State {
    /// Updates the peers after a change of the entry hosts. Those that are no longer listed are
    /// forgotten.
    pub(super) fn update_peers(&mut self, own: SocketAddr, port: u16, now: Moment) {
        let fronts = self.hosts.iter().filter_map(|host| {
            let front: SocketAddr = host.address.parse().ok()?;
            (front != own).then_some((SocketAddr::new(front.ip(), port), host.domain.as_str()))
        });
        let listed: HashMap<SocketAddr, &str> = fronts.collect();
        self.peers
            .retain(|address, peer| listed.get(address) == Some(&&*peer.domain));
        for (address, domain) in listed {
            let peer = self.peers.entry(address);
            peer.or_insert_with(|| Arc::new(Peer::new(address, domain.into())));
        }
        let peers = self.listed_peers();
        for search in self.searches.values_mut() {
            search.set_listed(&peers, now);
        }
    }

    pub(super) fn listed_peers(&self) -> Vec<ListedPeer> {
        let peers = self.peers.values().map(|peer| ListedPeer {
            address: peer.address,
            domain: Arc::clone(&peer.domain),
            in_flight: peer.in_flight(),
        });
        peers.collect()
    }
}
