//! Follows a directory: the own host's first, another when that fails or lags.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::prelude::*;
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

/// Time for an answer beyond the time that the directory may hold it.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Pause after every directory failed once.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// How long another directory is followed before the own one is tried again.
const RETURN_PERIOD: Duration = Duration::from_secs(5);

/// What the follower does after one poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// Polls the same directory.
    Stay,
    /// Polls the next one.
    Move,
}

/// The state of following.
struct Follower {
    core: Arc<Core>,
    links: Vec<DirectoryLink>,
    index: usize,
    // The one to go back to when a return to the own one fails.
    good: usize,
    since: Moment,
    // The instance table's cursor at the directory that is followed.
    epoch: u64,
    cursor: u64,
    host: Host,
    told: watch::Sender<HostPhase>,
}

/// Follows until the task is dropped; `gateway` is where callers connect.
///
/// The receiver shows the phase that a directory was told last.
pub fn start(core: Arc<Core>, gateway: SocketAddr) -> watch::Receiver<HostPhase> {
    let told = watch::Sender::new(HostPhase::Unspecified);
    let receiver = told.subscribe();
    let links = core.settings.directories.iter();
    let links = links.map(|a| peer::directory(*a)).collect();
    let follower = Follower {
        host: own_host(&core, gateway),
        since: core.clock.now(),
        core,
        links,
        index: 0,
        good: 0,
        epoch: 0,
        cursor: 0,
        told,
    };
    let core = follower.core.clone();
    core.spawn(follower.run());
    receiver
}

fn own_host(core: &Core, gateway: SocketAddr) -> Host {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Host {
        host: core.settings.host.to_string(),
        domain: core.settings.domain.to_string(),
        gateway: gateway.to_string(),
        phase: HostPhase::Fenced.into(),
        incarnation: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
        sequence: 0,
        version: 0,
        age_ms: 0,
    }
}

impl Follower {
    async fn run(mut self) {
        let mut phase = self.core.phase.subscribe();
        let mut failed = 0;
        while !self.links.is_empty() {
            phase.borrow_and_update();
            let next = tokio::select! {
                next = self.poll() => next,
                // A change of phase is told at once, not after the poll that runs.
                _ = phase.changed() => Next::Stay,
            };
            match next {
                Next::Stay => failed = 0,
                Next::Move => {
                    failed += 1;
                    self.leave();
                }
            }
            if failed >= self.links.len() {
                failed = 0;
                sleep(ROUND_PAUSE).await;
            }
            self.return_home();
        }
    }

    async fn poll(&mut self) -> Next {
        let sent = self.core.clock.now();
        let ask = self.ask();
        let told = HostPhase::try_from(ask.host.as_ref().map_or(0, |h| h.phase));
        match self.sync(ask).await {
            Ok(reply) => {
                self.told.send_replace(told.unwrap_or_default());
                self.take(sent, reply)
            }
            Err(err) => {
                warn!(self.core.log, "directory lost"; "error" => %err);
                Next::Move
            }
        }
    }

    fn ask(&mut self) -> Sync {
        let view = self.core.view();
        let phase = self.phase();
        self.host.sequence += 1;
        self.host.version = view.version();
        self.host.phase = phase.into();
        // News of the own phase isn't held back by a directory's wait.
        let wait = if *self.told.borrow() == phase {
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

    async fn sync(&self, ask: Sync) -> Result<SyncReply, LinkError> {
        let link = &self.links[self.index];
        let span = Duration::from_millis(ask.wait_ms.into()) + ANSWER_TIME;
        let client = link.client().await?;
        link.check_result(client.sync(within(span), ask).await)
    }

    fn take(&mut self, sent: Moment, reply: SyncReply) -> Next {
        self.epoch = reply.epoch;
        self.cursor = reply.cursor;
        let before = self.core.view();
        let changed = reply.whole || reply.catalogue.is_some() || !reply.changes.is_empty();
        let view = before.after(sent, reply);
        if view.version() != before.version() {
            info!(self.core.log, "catalogue"; "version" => view.version());
        }
        let age = view.confirmed_age(self.core.clock.now());
        if let Err(err) = self.core.set_view(view, changed) {
            warn!(self.core.log, "view refused"; "error" => %err);
        }
        // A directory that was cut off itself answers, but confirms nothing.
        let lag = self.core.settings.lease.length / 2;
        if age.is_none_or(|age| age > lag) {
            return Next::Move;
        }
        self.good = self.index;
        Next::Stay
    }

    /// Leaves a directory that failed: back to the good one, or on from that.
    ///
    /// A trial of the own one so costs one failed poll, and not one at each
    /// directory between the two, by which the lease could run out.
    fn leave(&mut self) {
        if self.index == self.good {
            self.good = (self.good + 1) % self.links.len();
        }
        self.follow(self.good);
    }

    fn return_home(&mut self) {
        let away = self.index != 0;
        if away && self.core.clock.now().since(self.since) >= RETURN_PERIOD {
            self.follow(0);
        }
    }

    fn follow(&mut self, index: usize) {
        self.since = self.core.clock.now();
        if index != self.index {
            self.index = index;
            // Another directory has another cursor: the table comes whole.
            self.epoch = 0;
            self.cursor = 0;
        }
    }
}
