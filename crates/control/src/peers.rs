//! Messages to the other replicas: a bounded queue and a task for each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cadence::Counted;
use cadence::StatsdClient;
use consensus::Config;
use consensus::Message;
use consensus::ReplicaId;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use prost::Message as _;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use wire::link::within;
use wire::replica::Envelope;

use crate::convert::message;
use crate::link;
use crate::link::ReplicaLink;
use crate::switch::Switch;

/// Messages that wait for one peer; more are dropped, as the network may.
const QUEUE: usize = 1024;
/// Bytes after which an envelope is closed.
const ENVELOPE: usize = 1024 * 1024;
/// Envelopes on the way to one peer.
const WINDOW: usize = 4;
/// How long an envelope may take to be received.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(20);
/// Replicas outside of the group whose addresses are remembered.
const STRANGERS: usize = 16;

struct Peer {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
    _task: AbortOnDropHandle<()>,
}

/// All other replicas that are known.
pub struct Peers {
    own: ReplicaId,
    address: SocketAddr,
    switch: Switch,
    metrics: Arc<StatsdClient>,
    known: HashMap<ReplicaId, Peer>,
    members: Vec<ReplicaId>,
}

impl Peers {
    /// None yet; `address` is where the others reach this replica.
    #[must_use]
    pub fn new(
        own: ReplicaId,
        address: SocketAddr,
        switch: Switch,
        metrics: Arc<StatsdClient>,
    ) -> Self {
        Self {
            own,
            address,
            switch,
            metrics,
            known: HashMap::new(),
            members: Vec::new(),
        }
    }

    /// Takes the group's addresses and forgets replicas that left it.
    pub fn set_group(&mut self, config: &Config) {
        self.members = config.members().map(|m| m.id).collect();
        self.known.retain(|id, _| config.member(*id).is_some());
        for member in config.members() {
            self.connect(member.id, member.address);
        }
    }

    /// Notes where a sender is reached that the group doesn't name.
    pub fn note(&mut self, id: ReplicaId, address: SocketAddr) {
        let strangers = self.known.len().saturating_sub(self.members.len());
        if !self.members.contains(&id) && strangers < STRANGERS {
            self.connect(id, address);
        }
    }

    /// Where a replica is reached.
    #[must_use]
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.known.get(&id).map(|peer| peer.address)
    }

    /// Sends, or drops when the peer is unknown or its queue is full.
    pub fn send(&self, message: Message) {
        let peer = self.known.get(&message.to);
        let sent = peer.is_some_and(|p| p.queue.try_send(message).is_ok());
        if !sent {
            let _ = self.metrics.count("control.peer.dropped", 1);
        }
    }

    fn connect(&mut self, id: ReplicaId, address: SocketAddr) {
        let known = self.known.get(&id).is_some_and(|p| p.address == address);
        if known || id == self.own {
            return;
        }
        let (queue, inbox) = mpsc::channel(QUEUE);
        let sender = Sender {
            own: self.own,
            address: self.address,
            link: link::replica(address),
            switch: self.switch.clone(),
        };
        let task = AbortOnDropHandle::new(tokio::spawn(sender.run(inbox)));
        let peer = Peer {
            address,
            queue,
            _task: task,
        };
        self.known.insert(id, peer);
    }
}

struct Sender {
    own: ReplicaId,
    address: SocketAddr,
    link: ReplicaLink,
    switch: Switch,
}

impl Sender {
    async fn run(self, mut inbox: mpsc::Receiver<Message>) {
        let mut open = FuturesUnordered::new();
        loop {
            let room = open.len() < WINDOW;
            tokio::select! {
                Some(good) = delivered(&mut open), if !open.is_empty() => {
                    if !good {
                        self.pause(&mut inbox).await;
                    }
                }
                first = inbox.recv(), if room => {
                    let Some(first) = first else { return };
                    let envelope = self.fill(&first, &mut inbox);
                    if !self.switch.is_cut() {
                        open.push(self.deliver(envelope));
                    }
                }
            }
        }
    }

    /// Puts all that waits into one envelope, up to its bound.
    fn fill(&self, first: &Message, inbox: &mut mpsc::Receiver<Message>) -> Envelope {
        let mut messages = vec![message::to_wire(first)];
        let mut bytes = messages[0].encoded_len();
        while bytes < ENVELOPE {
            let Ok(next) = inbox.try_recv() else { break };
            let next = message::to_wire(&next);
            bytes += next.encoded_len();
            messages.push(next);
        }
        Envelope {
            from: self.own.0,
            address: self.address.to_string(),
            messages,
        }
    }

    async fn deliver(&self, envelope: Envelope) -> bool {
        let Ok(client) = self.link.client().await else {
            return false;
        };
        let result = client.step(within(STEP_TIMEOUT), envelope).await;
        self.link.check_result(result).is_ok()
    }

    /// Waits a little and drops what waited, as it is stale by then.
    async fn pause(&self, inbox: &mut mpsc::Receiver<Message>) {
        tokio::time::sleep(PAUSE).await;
        while inbox.try_recv().is_ok() {}
    }
}

/// Whether the next envelope was received.
async fn delivered<F>(open: &mut FuturesUnordered<F>) -> Option<bool>
where
    F: Future<Output = bool>,
{
    open.next().await
}
