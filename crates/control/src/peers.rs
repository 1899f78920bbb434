//! Sends consensus messages to the other replicas, with a bounded queue and a task per peer.

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
use crate::partition::Partition;

/// Maximum number of messages queued for one peer; further ones are dropped.
const QUEUE_CAPACITY: usize = 1024;
/// Size in bytes at which an envelope takes no further messages.
const MAX_ENVELOPE_BYTES: usize = 1024 * 1024;
/// Maximum number of unacknowledged envelopes per peer.
const MAX_IN_FLIGHT: usize = 4;
/// Time limit for the acknowledgement of an envelope.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed delivery.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connected replicas outside of the group.
const MAX_NON_MEMBERS: usize = 16;

struct Peer {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
    _task: AbortOnDropHandle<()>,
}

/// Connections to the other replicas.
pub struct Peers {
    own_id: ReplicaId,
    address: SocketAddr,
    partition: Partition,
    metrics: Arc<StatsdClient>,
    connections: HashMap<ReplicaId, Peer>,
    members: Vec<ReplicaId>,
}

impl Peers {
    /// Creates an empty set; `address` is the address of this replica for the others.
    #[must_use]
    pub fn new(
        own_id: ReplicaId,
        address: SocketAddr,
        partition: Partition,
        metrics: Arc<StatsdClient>,
    ) -> Self {
        Self {
            own_id,
            address,
            partition,
            metrics,
            connections: HashMap::new(),
            members: Vec::new(),
        }
    }

    /// Connects to the members of the group and disconnects all other replicas.
    pub fn set_group(&mut self, config: &Config) {
        self.members = config.members().map(|m| m.id).collect();
        self.connections
            .retain(|id, _| config.member(*id).is_some());
        for member in config.members() {
            self.connect(member.id, member.address);
        }
    }

    /// Connects to a sender that is not a member of the known group.
    pub fn learn_address(&mut self, id: ReplicaId, address: SocketAddr) {
        let non_members = self.connections.len().saturating_sub(self.members.len());
        if !self.members.contains(&id) && non_members < MAX_NON_MEMBERS {
            self.connect(id, address);
        }
    }

    /// The address of a connected replica.
    #[must_use]
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.connections.get(&id).map(|peer| peer.address)
    }

    /// Queues a message, or drops it when the peer is unknown or its queue is full.
    pub fn send(&self, message: Message) {
        let peer = self.connections.get(&message.to);
        let sent = peer.is_some_and(|p| p.queue.try_send(message).is_ok());
        if !sent {
            let _ = self.metrics.count("control.peer.dropped", 1);
        }
    }

    fn connect(&mut self, id: ReplicaId, address: SocketAddr) {
        let connected = self
            .connections
            .get(&id)
            .is_some_and(|p| p.address == address);
        if connected || id == self.own_id {
            return;
        }
        let (queue, inbox) = mpsc::channel(QUEUE_CAPACITY);
        let sender = PeerSender {
            own_id: self.own_id,
            address: self.address,
            link: link::replica(address),
            partition: self.partition.clone(),
        };
        let task = AbortOnDropHandle::new(tokio::spawn(sender.run(inbox)));
        let peer = Peer {
            address,
            queue,
            _task: task,
        };
        self.connections.insert(id, peer);
    }
}

struct PeerSender {
    own_id: ReplicaId,
    address: SocketAddr,
    link: ReplicaLink,
    partition: Partition,
}

impl PeerSender {
    async fn run(self, mut inbox: mpsc::Receiver<Message>) {
        let mut in_flight = FuturesUnordered::new();
        loop {
            let has_capacity = in_flight.len() < MAX_IN_FLIGHT;
            tokio::select! {
                Some(ok) = delivered(&mut in_flight), if !in_flight.is_empty() => {
                    if !ok {
                        self.back_off(&mut inbox).await;
                    }
                }
                first = inbox.recv(), if has_capacity => {
                    let Some(first) = first else { return };
                    let envelope = self.build_envelope(&first, &mut inbox);
                    if !self.partition.is_active() {
                        in_flight.push(self.deliver(envelope));
                    }
                }
            }
        }
    }

    /// Puts the queued messages into one envelope, up to its maximum size.
    fn build_envelope(&self, first: &Message, inbox: &mut mpsc::Receiver<Message>) -> Envelope {
        let mut messages = vec![message::to_wire(first)];
        let mut bytes = messages[0].encoded_len();
        while bytes < MAX_ENVELOPE_BYTES {
            let Ok(next) = inbox.try_recv() else { break };
            let next = message::to_wire(&next);
            bytes += next.encoded_len();
            messages.push(next);
        }
        Envelope {
            from: self.own_id.0,
            address: self.address.to_string(),
            messages,
        }
    }

    async fn deliver(&self, envelope: Envelope) -> bool {
        let Ok(client) = self.link.client().await else {
            return false;
        };
        let result = client.step(within(DELIVERY_TIMEOUT), envelope).await;
        self.link.check_result(result).is_ok()
    }

    /// Waits for the retry delay and drops the messages queued meanwhile, as they are stale.
    async fn back_off(&self, inbox: &mut mpsc::Receiver<Message>) {
        tokio::time::sleep(RETRY_DELAY).await;
        while inbox.try_recv().is_ok() {}
    }
}

/// Whether the next completed delivery was acknowledged.
async fn delivered<F>(in_flight: &mut FuturesUnordered<F>) -> Option<bool>
where
    F: Future<Output = bool>,
{
    in_flight.next().await
}
