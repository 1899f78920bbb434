//! All clients of a process: their connections, and the memory that is kept for them.

mod responses;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use cadence::StatsdClient;
use slog::Logger;
use tokio::time::Instant;

use crate::charge::Charge;
use crate::charge::OverMemory;
use crate::connection::Client;
use crate::connection::Close;
use crate::connection::Connection;
use crate::connection::Phase;
use crate::connection::STALL_TIME;
use crate::report::Refused;
use crate::report::Report;
use crate::settings::Limits;
use crate::stream::ClientStream;

/// Memory of an open connection beside what its head takes: its task, and the buffers that the HTTP
/// library starts with.
const CONNECTION_BYTES: u64 = 12 * 1024;
/// Charges up to this size may use all of the account; larger ones leave a share to them, so that
/// ordinary requests are still served while large bodies fill the rest.
const SMALL_BYTES: u64 = 64 * 1024;
/// Share of the account that is left to small charges, as a divisor.
const SMALL_SHARE: u64 = 8;
/// Share of the account that is freed at once when there is no room, as a divisor: finding
/// connections to close takes time in proportion to their number.
const RECLAIM_SHARE: u64 = 16;
/// Share of all connections that is closed at once when there are too many, as a divisor.
const EVICTION_SHARE: usize = 32;
/// Time for which connections to close aren't looked for again after none was found.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// All clients of a process.
#[derive(Clone)]
pub struct Clients(Arc<Shared>);

struct Shared {
    limits: Limits,
    report: Report,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Bytes that are charged.
    used: u64,
    /// The part of `used` that belongs to connections being closed.
    leaving: u64,
    /// The part of `used` that belongs to responses under way.
    responses: u64,
    /// Number of connections that are being closed.
    closing: usize,
    connections: HashMap<u64, Arc<Connection>>,
    by_peer: HashMap<SocketAddr, u64>,
    next_id: u64,
    /// Tasks that wait for memory.
    waiting: Vec<Waker>,
    /// When connections to close may be looked for again.
    search_at: Option<Instant>,
}

impl Clients {
    /// Bounds the clients of a process by `limits`.
    #[must_use]
    pub fn new(limits: Limits, log: Logger, metrics: Arc<StatsdClient>) -> Self {
        Self(Arc::new(Shared {
            limits,
            report: Report::new(log, metrics),
            state: Mutex::default(),
        }))
    }

    /// The bytes that are charged now.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.state().used
    }

    /// The number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.state().connections.len()
    }

    /// The account for work that belongs to no client's connection.
    #[must_use]
    pub fn unconnected(&self) -> Client {
        Client {
            clients: self.clone(),
            connection: None,
        }
    }

    /// Admits a new connection from `peer`, if there is room or other connections can be closed for
    /// it. `close` is called once at most, when the connection has to make room for others.
    pub fn admit(
        &self,
        peer: SocketAddr,
        close: impl Fn() + Send + Sync + 'static,
    ) -> Option<ClientStream<()>> {
        let mut state = self.state();
        let (admitted, victims) = self.make_room(&mut state);
        let client = admitted.then(|| self.open_connection(&mut state, peer, Box::new(close)));
        let totals = (state.used, state.connections.len());
        drop(state);
        self.close_all(&victims);
        if !admitted {
            self.0.report.refused(Refused::Connection, totals);
        }
        client.map(|client| {
            let mut charge = client.charge();
            charge.grow_always(CONNECTION_BYTES);
            ClientStream::new((), client, charge)
        })
    }

    /// The client that is connected from `peer`.
    #[must_use]
    pub fn find(&self, peer: SocketAddr) -> Client {
        let state = self.state();
        let id = state.by_peer.get(&peer);
        Client {
            clients: self.clone(),
            connection: id.and_then(|id| state.connections.get(id)).cloned(),
        }
    }

    /// Whether there is room for a new connection, and the connections to close for it.
    fn make_room(&self, state: &mut State) -> (bool, Vec<Arc<Connection>>) {
        if self.has_room(state) {
            return (true, Vec::new());
        }
        let batch = (self.0.limits.connections / EVICTION_SHARE).max(1);
        // A connection that is being closed keeps its descriptor until its task ends.
        if state.closing >= 2 * batch {
            return (false, Vec::new());
        }
        let mut victims: Vec<Arc<Connection>> = Vec::new();
        for (phase, connection) in state.candidates(None) {
            // Idle clients may be sound, so that no more of them are closed than has to be.
            if victims.len() >= batch || phase == Phase::Idle && !victims.is_empty() {
                break;
            }
            victims.push(connection);
        }
        state.evict(&victims);
        (self.has_room(state), victims)
    }

    /// Whether there is room for a new connection, or will be once others are closed.
    fn has_room(&self, state: &State) -> bool {
        let limits = &self.0.limits;
        state.used + CONNECTION_BYTES <= limits.memory + state.leaving
            && state.connections.len() < limits.connections + state.closing
    }

    fn open_connection(&self, state: &mut State, peer: SocketAddr, close: Close) -> Client {
        state.next_id += 1;
        let id = state.next_id;
        let connection = Arc::new(Connection::new(id, peer, close));
        state.connections.insert(id, Arc::clone(&connection));
        state.by_peer.insert(peer, id);
        Client {
            clients: self.clone(),
            connection: Some(connection),
        }
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, client: &Client) {
        let Some(connection) = &client.connection else {
            return;
        };
        let mut state = self.state();
        state.connections.remove(&connection.id);
        if state.by_peer.get(&connection.peer) == Some(&connection.id) {
            state.by_peer.remove(&connection.peer);
        }
        state.closing -= usize::from(connection.is_evicted());
    }

    /// Counts `more` bytes for a charge of `held` bytes.
    pub(crate) fn poll_charge(
        &self,
        cx: &mut Context<'_>,
        client: &Client,
        held: u64,
        more: u64,
    ) -> Poll<Result<(), OverMemory>> {
        let connection = client.connection.as_deref();
        let mut state = self.state();
        if connection.is_some_and(Connection::is_evicted) {
            return Poll::Ready(Err(OverMemory::Full));
        }
        let capacity = self.capacity(held + more);
        if state.used + more <= capacity {
            state.add(connection, more);
            return Poll::Ready(Ok(()));
        }
        let missing = state.used + more - capacity;
        let victims = if state.leaving >= missing {
            Vec::new()
        } else {
            self.reclaim(&mut state, missing, connection)
        };
        let is_freed = state.leaving >= missing;
        if is_freed && !state.waiting.iter().any(|w| w.will_wake(cx.waker())) {
            state.waiting.push(cx.waker().clone());
        }
        let totals = (state.used, state.connections.len());
        drop(state);
        self.close_all(&victims);
        if is_freed {
            return Poll::Pending;
        }
        self.0.report.refused(Refused::Memory, totals);
        Poll::Ready(Err(OverMemory::Full))
    }

    /// The bytes that may be charged once a charge has `size` bytes.
    fn capacity(&self, size: u64) -> u64 {
        let memory = self.0.limits.memory;
        if size <= SMALL_BYTES {
            memory
        } else {
            memory - memory / SMALL_SHARE
        }
    }

    /// Chooses connections to close so that `missing` bytes become free.
    fn reclaim(
        &self,
        state: &mut State,
        missing: u64,
        requester: Option<&Connection>,
    ) -> Vec<Arc<Connection>> {
        let enough = missing.max(self.0.limits.memory / RECLAIM_SHARE);
        let mut victims = Vec::new();
        let mut freed = state.leaving;
        for (phase, connection) in state.candidates(requester) {
            let is_needed = if phase == Phase::Idle {
                missing
            } else {
                enough
            };
            if freed >= is_needed {
                break;
            }
            freed += connection.charged.load(Ordering::Relaxed);
            victims.push(connection);
        }
        if freed < missing {
            // Closing them wouldn't help.
            return Vec::new();
        }
        state.evict(&victims);
        victims
    }

    pub(crate) fn charge_always(&self, client: &Client, bytes: u64) {
        self.state().add(client.connection.as_deref(), bytes);
    }

    pub(crate) fn release(&self, client: &Client, bytes: u64) {
        if bytes == 0 {
            return;
        }
        let mut state = self.state();
        state.used -= bytes;
        if let Some(connection) = &client.connection {
            connection.charged.fetch_sub(bytes, Ordering::Relaxed);
            if connection.is_evicted() {
                state.leaving -= bytes;
            }
        }
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        waiting.into_iter().for_each(Waker::wake);
    }

    fn close_all(&self, victims: &[Arc<Connection>]) {
        for connection in victims {
            let (phase, since) = connection.phase();
            let totals = {
                let state = self.state();
                (state.used, state.connections.len())
            };
            self.0.report.closed(phase, connection.peer, since, totals);
            connection.close();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn add(&mut self, connection: Option<&Connection>, bytes: u64) {
        self.used += bytes;
        if let Some(connection) = connection {
            connection.charged.fetch_add(bytes, Ordering::Relaxed);
            if connection.is_evicted() {
                self.leaving += bytes;
            }
        }
    }

    /// The connections that may be closed, in the order in which they are; none if none was found a
    /// short time ago.
    fn candidates(&mut self, requester: Option<&Connection>) -> Vec<(Phase, Arc<Connection>)> {
        let now = Instant::now();
        if self.search_at.is_some_and(|search_at| now < search_at) {
            return Vec::new();
        }
        let stalled = self.connections.values().filter_map(|connection| {
            let (phase, since) = connection.phase();
            let is_kept = phase == Phase::Served
                || connection.is_evicted()
                || now.saturating_duration_since(since) < STALL_TIME
                || requester.is_some_and(|requester| requester.id == connection.id);
            (!is_kept).then(|| (phase, since, Arc::clone(connection)))
        });
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_by_key(|(phase, since, _)| (phase.rank(), *since));
        self.search_at = stalled.is_empty().then(|| now + SEARCH_PAUSE);
        let candidates = stalled.into_iter();
        candidates
            .map(|(phase, _, connection)| (phase, connection))
            .collect()
    }

    fn evict(&mut self, victims: &[Arc<Connection>]) {
        for connection in victims {
            connection.evicted.store(true, Ordering::Relaxed);
            self.leaving += connection.charged.load(Ordering::Relaxed);
        }
        self.closing += victims.len();
    }
}

/// The bytes by which `charge` has to grow for an unfinished head of `head_bytes` bytes.
pub(crate) fn head_step(charge: &Charge, head_bytes: usize) -> u64 {
    let needed = head_bytes as u64 + CONNECTION_BYTES / 2;
    needed
        .saturating_sub(charge.bytes())
        .next_multiple_of(CONNECTION_BYTES / 2)
}
