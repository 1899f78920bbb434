//! Polls a directory for updates: preferably the one on this host, another one when
//! that fails or lags behind.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::prelude::*;
use crash::report;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time::sleep;
use wire::directory::Host;
use wire::directory::HostPhase;
use wire::directory::Sync;
use wire::directory::SyncReply;
use wire::link::LinkError;
use wire::link::within;
use wire::peer;
use wire::peer::DirectoryLink;

use crate::core::Core;
use crate::core::Phase;

/// Time allowed for a reply in addition to the poll time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Pause after all directories failed in turn.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a gateway that uses a remote directory retries the local one.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Which directory to poll next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// The same directory.
    Same,
    /// Another directory.
    Other,
}

/// State of the task that polls directories.
struct DirectoryPoller {
    core: Arc<Core>,
    links: Vec<Arc<DirectoryLink>>,
    // Epochs of the directories, for crash reports; 0 for all but the current one.
    epochs: Vec<watch::Sender<u64>>,
    index: usize,
    // Index to return to when the local directory fails again.
    last_good: usize,
    selected_at: Moment,
    // Position in the instance table of the current directory.
    epoch: u64,
    cursor: u64,
    // Revision of the suspects that the current directory sent last.
    suspects: u64,
    // Revision of the hosts that the current directory sent last.
    hosts: u64,
    host: Host,
    announced: watch::Sender<HostPhase>,
    // The services that were last announced as cut off.
    announced_cut_off: Vec<String>,
}

/// Starts polling directories; `gateway` is the address of the callers' port.
///
/// The receiver holds the phase that was last announced to a directory.
pub fn start(core: Arc<Core>, gateway: SocketAddr) -> watch::Receiver<HostPhase> {
    let announced = watch::Sender::new(HostPhase::Unspecified);
    let receiver = announced.subscribe();
    let links = core.settings.directories.iter();
    let links: Vec<_> = links.map(|a| Arc::new(peer::directory(*a))).collect();
    let epochs = links.iter().map(|link| start_reports(&core, link));
    let poller = DirectoryPoller {
        host: local_host(&core, gateway),
        selected_at: core.clock.now(),
        epochs: epochs.collect(),
        core,
        links,
        index: 0,
        last_good: 0,
        epoch: 0,
        cursor: 0,
        suspects: 0,
        hosts: 0,
        announced,
        announced_cut_off: Vec::new(),
    };
    let core = poller.core.clone();
    core.spawn(poller.run());
    receiver
}

/// Starts crash reports to a directory; they are sent while its published epoch isn't 0.
fn start_reports(core: &Arc<Core>, link: &Arc<DirectoryLink>) -> watch::Sender<u64> {
    let epoch = watch::Sender::default();
    let target = report::Directory {
        link: link.clone(),
        relayed: false,
    };
    core.spawn(report::run(core.clone(), target, epoch.subscribe()));
    epoch
}

fn local_host(core: &Core, gateway: SocketAddr) -> Host {
    let started_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Host {
        host: core.settings.host.to_string(),
        domain: core.settings.domain.to_string(),
        gateway: gateway.to_string(),
        phase: HostPhase::Fenced.into(),
        incarnation: u64::try_from(started_at.as_millis()).unwrap_or(u64::MAX),
        sequence: 0,
        ..Host::default()
    }
}

impl DirectoryPoller {
    async fn run(mut self) {
        let mut phase = self.core.phase.subscribe();
        let mut paths = self.core.paths.subscribe();
        let mut failures = 0;
        while !self.links.is_empty() {
            phase.borrow_and_update();
            paths.borrow_and_update();
            let next = tokio::select! {
                next = self.poll() => next,
                // A change of phase or of a path is announced at once, not after the current poll.
                _ = phase.changed() => Next::Same,
                _ = paths.changed() => Next::Same,
            };
            match next {
                Next::Same => failures = 0,
                Next::Other => {
                    failures += 1;
                    self.switch();
                }
            }
            if failures >= self.links.len() {
                failures = 0;
                sleep(ROUND_PAUSE).await;
            }
            self.retry_local();
        }
    }

    async fn poll(&mut self) -> Next {
        let sent_at = self.core.clock.now();
        let request = self.request();
        let phase = HostPhase::try_from(request.host.as_ref().map_or(0, |h| h.phase));
        match self.send(request).await {
            Ok(reply) => {
                self.announced.send_replace(phase.unwrap_or_default());
                self.announced_cut_off.clone_from(&self.host.cut_off);
                self.apply(sent_at, reply)
            }
            Err(err) => {
                warn!(self.core.log, "directory lost"; "error" => %err);
                Next::Other
            }
        }
    }

    fn request(&mut self) -> Sync {
        let view = self.core.view();
        let phase = self.phase();
        self.host.sequence += 1;
        self.host.version = view.version();
        self.host.phase = phase.into();
        let cut_off = self.core.paths.cut_off();
        self.host.cut_off = cut_off.iter().map(ToString::to_string).collect();
        // What is new is announced without waiting for updates.
        let is_announced =
            *self.announced.borrow() == phase && self.announced_cut_off == self.host.cut_off;
        let wait = if is_announced {
            self.core.settings.lease.poll
        } else {
            Duration::ZERO
        };
        Sync {
            host: Some(self.host.clone()),
            have: view.version(),
            epoch: self.epoch,
            cursor: self.cursor,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            suspects: self.suspects,
            hosts: (!cut_off.is_empty()).then_some(self.hosts),
        }
    }

    fn phase(&self) -> HostPhase {
        if *self.core.phase.borrow() > Phase::Serving {
            HostPhase::Stopping
        } else if self.core.is_fenced() {
            HostPhase::Fenced
        } else {
            HostPhase::Serving
        }
    }

    async fn send(&self, request: Sync) -> Result<SyncReply, LinkError> {
        let link = &self.links[self.index];
        let timeout = Duration::from_millis(request.wait_ms.into()) + RESPONSE_MARGIN;
        let client = link.client().await?;
        link.check_result(client.sync(within(timeout), request).await)
    }

    fn apply(&mut self, sent_at: Moment, reply: SyncReply) -> Next {
        self.epoch = reply.epoch;
        self.cursor = reply.cursor;
        // Before the view, so that a gateway that has just started knows them when it serves.
        if let Some(suspects) = &reply.suspects {
            let directory = self.links[self.index].address();
            self.core.apply_suspects(directory, suspects);
            self.suspects = suspects.revision;
        }
        self.publish_epoch(reply.epoch);
        if let Some(hosts) = &reply.hosts {
            self.core.set_peers(&hosts.rows);
            self.hosts = hosts.revision;
        }
        let before = self.core.view();
        let changed = reply.whole || reply.catalogue.is_some() || !reply.changes.is_empty();
        let view = before.updated(sent_at, reply);
        if view.version() != before.version() {
            info!(self.core.log, "catalogue"; "version" => view.version());
        }
        let age = view.confirmed_age(self.core.clock.now());
        self.core.set_view(view, changed);
        // A directory that is itself cut off still replies, but without fresh confirmations.
        let max_age = self.core.settings.lease.length / 2;
        if age.is_none_or(|age| age > max_age) {
            return Next::Other;
        }
        self.last_good = self.index;
        Next::Same
    }

    fn publish_epoch(&self, epoch: u64) {
        self.epochs[self.index].send_if_modified(|last| std::mem::replace(last, epoch) != epoch);
    }

    /// Switches from a directory that failed to the last good one, or, if that is the
    /// one that failed, to its successor.
    ///
    /// Retrying the local directory thus costs a single failed poll. Polling all
    /// directories in between could take longer than the lease.
    fn switch(&mut self) {
        if self.index == self.last_good {
            self.last_good = (self.last_good + 1) % self.links.len();
        }
        self.select(self.last_good);
    }

    fn retry_local(&mut self) {
        let is_remote = self.index != 0;
        if is_remote && self.core.clock.now().since(self.selected_at) >= LOCAL_RETRY_INTERVAL {
            self.select(0);
        }
    }

    fn select(&mut self, index: usize) {
        self.selected_at = self.core.clock.now();
        if index != self.index {
            self.publish_epoch(0);
            self.index = index;
            // Cursors of different directories are unrelated: the whole table is requested.
            self.epoch = 0;
            self.cursor = 0;
        }
    }
}
