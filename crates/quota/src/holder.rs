//! The token buckets that one process holds.
//!
//! A bucket is created when the process is first asked for it, with what has accrued since the
//! process became the holder, so that only workspaces in use take memory.

use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;

use crate::bucket::Bucket;
use crate::bucket::Flow;
use crate::limit::Limit;
use crate::limit::Shares;
use crate::lists::Lists;
use crate::tokens::Tokens;

/// Time until tokens accrue at a new holder. The lists of processes differ for up to 600 ms, and
/// the previous holder grants until its list changes.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time for which holders accrue without [`WARM_UP`] after a restart of all processes, while lists
/// grow. Nothing was granted while the processes were down.
const RESTART_PERIOD: Duration = Duration::from_secs(2);
/// Time without any call after which the process counts as frozen. A process that does not renew
/// its watch is listed for half a second at least, and the next holder waits for [`WARM_UP`]:
/// after a shorter freeze no other process has granted these tokens.
const FREEZE: Duration = Duration::from_secs(1);
/// Time without an answer of any hub after which the list counts as out of date. Hubs answer every
/// second; 850 ms after its last watch the next holder may begin, and with 3 s the tokens that both
/// grant exceed the bound.
const HUB_SILENCE: Duration = Duration::from_secs(2);
/// How long a process counts as a client after its last call.
const CLIENT_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of clients that are counted per workspace.
const MAX_CLIENTS: usize = 1024;
/// Range of the time for which a holder refuses: below it, the calls of a flood would take more
/// processor time than a small host has; above it, callers would return too late.
const REFUSAL_RANGE: [Duration; 2] = [Duration::from_millis(5), Duration::from_secs(1)];
/// Time without requests after which a full bucket is evicted.
const IDLE: Duration = Duration::from_mins(1);
/// What a holder asks for beyond what is missing, so that it does not ask for each request.
const MAX_RESERVE: u64 = 8;

/// What a holder answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// The process is not the holder, or grants nothing as it has no list.
    NotHolder,
    /// Permits, fewer than asked for if tokens are missing.
    Permits {
        /// The number of permits.
        granted: u32,
        /// What is missing for the others, zero if none is.
        missing: Tokens,
        /// What would be taken in addition to what is missing.
        reserve: Tokens,
        /// The time after which the others may be asked for again.
        retry_after: Duration,
    },
}

/// The tokens of one workspace at its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Level {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What is left.
    pub tokens: Tokens,
    /// The part of the quota that accrues here.
    pub fraction: (u64, u64),
}

/// How far tokens accrue at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// The given part of the share, as some of the processes may have been cut off.
    Listed { present: u64, most: u64 },
    /// Half of the parts of the processes that ask.
    Silent { processes: u64 },
}

#[derive(Clone, Debug)]
struct Holding {
    bucket: Bucket,
    limit: Limit,
    /// The newest list by which the process has been the holder since the bucket was created.
    checked: u64,
    clients: HashMap<String, Moment>,
    used_at: Moment,
}

/// The buckets of the workspaces that a process holds in its failure domain.
#[derive(Clone, Debug)]
pub struct Holder {
    /// The address by which the process is listed.
    own: String,
    shares: Shares,
    lists: Lists,
    hub_heard_at: Moment,
    active_at: Moment,
    /// Since when tokens have accrued at the whole share.
    steady_since: Moment,
    pace: Pace,
    /// A faster pace that applies after [`WARM_UP`], and when it began to be justified. A process
    /// that has vanished and comes back accrues by its own list until that changes.
    rising: Option<(Pace, Moment)>,
    /// Until when holders accrue at once, as all processes have restarted.
    restart_until: Moment,
    holdings: HashMap<WorkspaceName, Holding>,
}

impl Pace {
    /// Whether tokens accrue faster than at `other`.
    fn is_above(self, other: Self) -> bool {
        match (self, other) {
            (Self::Silent { .. }, _) => false,
            (Self::Listed { .. }, Self::Silent { .. }) => true,
            (
                Self::Listed { present, most },
                Self::Listed {
                    present: other_present,
                    most: other_most,
                },
            ) => {
                // Before the first list there are no processes.
                let is_first = other_most == 0 && most > 0;
                is_first || present * other_most > other_present * most
            }
        }
    }
}

impl Holder {
    /// A holder without a list, which grants nothing.
    #[must_use]
    pub fn new(own: String, now: Moment) -> Self {
        Self {
            own,
            shares: Shares {
                count: 1,
                spare: Tokens::ZERO,
            },
            lists: Lists::default(),
            hub_heard_at: now,
            active_at: now,
            steady_since: now,
            pace: Pace::Listed {
                present: 0,
                most: 0,
            },
            rising: None,
            restart_until: Moment::ZERO,
            holdings: HashMap::new(),
        }
    }

    /// Records that all processes of the system have restarted. Nothing was granted while they
    /// were down, so lists that grow may change holders without a pause.
    pub fn set_system_restarted(&mut self, now: Moment) {
        if self.restart_until == Moment::ZERO {
            self.restart_until = now + RESTART_PERIOD;
            self.steady_since = self.steady_since.min(now);
            let paused = |holding: &&mut Holding| !holding.bucket.pause(now).is_zero();
            for holding in self.holdings.values_mut().filter(paused) {
                holding.bucket = Bucket::empty(now);
            }
            self.tick(now);
        }
    }

    /// Time until tokens accrue at a new holder.
    fn warm_up(&self, now: Moment) -> Duration {
        if now < self.restart_until {
            Duration::ZERO
        } else {
            WARM_UP
        }
    }

    /// Puts the list of the domain's processes into effect. Quotas are divided into
    /// `shares`.
    pub fn set_list(&mut self, now: Moment, members: &[String], shares: Shares) {
        self.tick(now);
        if self.shares != shares {
            self.holdings.clear();
            self.steady_since = now + self.warm_up(now);
            self.shares = shares;
        }
        self.lists.set(now, members.to_vec());
        self.tick(now);
    }

    /// Records that a hub answered.
    pub fn hub_answered(&mut self, now: Moment) {
        self.tick(now);
        self.hub_heard_at = now;
        self.tick(now);
    }

    /// Records whether hubs are silent that belong to the group.
    pub fn set_hub_missing(&mut self, now: Moment, missing: bool) {
        self.lists.set_hub_missing(missing);
        self.tick(now);
    }

    /// Notices a freeze of the process, silent hubs and vanished processes. Has to be called
    /// several times within [`FREEZE`].
    pub fn tick(&mut self, now: Moment) {
        let frozen = now.since(self.active_at) > FREEZE;
        self.active_at = self.active_at.max(now);
        if frozen {
            self.steady_since = now + WARM_UP;
            for holding in self.holdings.values_mut() {
                holding.bucket = Bucket::empty(now + WARM_UP);
            }
        }
        let pace = self.current_pace(now);
        if pace == self.pace {
            self.rising = None;
        } else if !self.has_to_wait(now, pace) {
            self.set_pace(now, pace);
        }
    }

    /// Whether a faster pace must not apply yet.
    fn has_to_wait(&mut self, now: Moment, pace: Pace) -> bool {
        if !pace.is_above(self.pace) {
            return false;
        }
        match self.rising {
            _ if now < self.restart_until => false,
            Some((rising, since)) if rising == pace => now.since(since) < WARM_UP,
            _ => {
                self.rising = Some((pace, now));
                true
            }
        }
    }

    fn set_pace(&mut self, now: Moment, pace: Pace) {
        self.rising = None;
        for holding in self.holdings.values_mut() {
            let flow = flow(self.pace, self.shares, holding, now);
            holding.bucket.settle(now, &flow);
        }
        self.pace = pace;
        self.steady_since = self.steady_since.max(now);
    }

    fn current_pace(&self, now: Moment) -> Pace {
        let present = self.lists.present();
        if now.since(self.hub_heard_at) >= HUB_SILENCE {
            return Pace::Silent { processes: present };
        }
        let most = self.lists.most(now);
        if present == most {
            // Processes that join don't change what accrues.
            return Pace::Listed {
                present: 1,
                most: 1,
            };
        }
        Pace::Listed { present, most }
    }

    /// Takes permits for requests of the process `client`.
    pub fn acquire(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        limit: Limit,
        count: u32,
        client: &str,
    ) -> Acquired {
        let shares = self.shares;
        let Some(holding) = self.holding_for(now, workspace, limit, client) else {
            return Acquired::NotHolder;
        };
        let granted = holding.bucket.take(count.into());
        let lacking = u64::from(count) - granted;
        let missing = Tokens::whole(lacking).minus(holding.bucket.tokens());
        let capacity = limit.capacity(shares);
        Acquired::Permits {
            granted: u32::try_from(granted).unwrap_or(count),
            missing,
            reserve: capacity.divided(2).min(Tokens::whole(MAX_RESERVE)),
            retry_after: holding.refusal(now, shares, missing),
        }
    }

    /// Takes permits for requests that can't be answered within their latency target any more.
    /// They get only what exceeds half of the bucket: while a workspace asks for more than its
    /// quota, each of its tokens serves a request that can still be answered in time.
    pub fn acquire_late(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        limit: Limit,
        count: u32,
        client: &str,
    ) -> Acquired {
        let shares = self.shares;
        let Some(holding) = self.holding_for(now, workspace, limit, client) else {
            return Acquired::NotHolder;
        };
        let capacity = limit.capacity(shares);
        let kept = capacity.divided(2).min(capacity.minus(Tokens::ONE));
        let spare = holding.bucket.tokens().minus(kept).count();
        let granted = holding.bucket.take(spare.min(count.into()));
        let lacking = u64::from(count) - granted;
        Acquired::Permits {
            granted: u32::try_from(granted).unwrap_or(count),
            missing: Tokens::ZERO,
            reserve: Tokens::ZERO,
            retry_after: holding.refusal(now, shares, Tokens::whole(lacking)),
        }
    }

    /// Takes tokens for the holder of another domain: up to `need`, and up to `reserve` more of
    /// what exceeds half of the bucket. Returns what was taken.
    pub fn transfer(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        limit: Limit,
        need: Tokens,
        reserve: Tokens,
    ) -> Option<Tokens> {
        let half = limit.capacity(self.shares).divided(2);
        let holding = self.holding(now, workspace, limit)?;
        let taken = holding.bucket.take_part(need);
        let spare = holding.bucket.tokens().minus(half);
        Some(taken + holding.bucket.take_part(reserve.min(spare)))
    }

    /// Adds tokens from another domain, and takes up to `count` permits. Returns their number.
    pub fn receive(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        limit: Limit,
        tokens: Tokens,
        count: u32,
    ) -> u32 {
        let Some(holding) = self.holding(now, workspace, limit) else {
            return 0;
        };
        holding.bucket.add(tokens);
        let granted = holding.bucket.take(count.into());
        u32::try_from(granted).unwrap_or(count)
    }

    /// Takes back permits whose requests were not run.
    pub fn give_back(&mut self, now: Moment, workspace: &WorkspaceName, limit: Limit, count: u32) {
        self.receive(now, workspace, limit, Tokens::whole(count.into()), 0);
        self.holding(now, workspace, limit);
    }

    /// The settled bucket of a workspace for which `client` asks; `None` if the process isn't its
    /// holder.
    fn holding_for(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        limit: Limit,
        client: &str,
    ) -> Option<&mut Holding> {
        let holding = self.holding(now, workspace, limit)?;
        holding.record_client(now, client);
        Some(holding)
    }

    /// The settled bucket of a workspace; `None` if the process isn't its holder.
    fn holding(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        limit: Limit,
    ) -> Option<&mut Holding> {
        self.tick(now);
        self.check_held(now, workspace);
        if !self.holdings.contains_key(workspace) {
            let holding = self.new_holding(now, workspace, limit)?;
            self.holdings.insert(workspace.clone(), holding);
        }
        let holding = self.holdings.get_mut(workspace)?;
        if holding.limit != limit {
            let flow = flow(self.pace, self.shares, holding, now);
            holding.bucket.settle(now, &flow);
            holding.limit = limit;
        }
        let flow = flow(self.pace, self.shares, holding, now);
        holding.bucket.settle(now, &flow);
        holding.used_at = now;
        Some(holding)
    }

    /// Removes the bucket if the process has ceased to be the holder, at least for some time.
    fn check_held(&mut self, now: Moment, workspace: &WorkspaceName) {
        let warm_up = self.warm_up(now);
        let newest = self.lists.newest();
        let Some(holding) = self.holdings.get_mut(workspace) else {
            return;
        };
        if holding.checked == newest {
            return;
        }
        if self
            .lists
            .is_held_after(holding.checked, workspace, &self.own)
        {
            holding.checked = newest;
        } else if self.lists.held_since(workspace, &self.own).is_none() {
            self.holdings.remove(workspace);
        } else {
            // Another process was the holder meanwhile and may have granted these tokens.
            holding.bucket = Bucket::empty(now + warm_up);
            holding.checked = newest;
        }
    }

    fn new_holding(&self, now: Moment, workspace: &WorkspaceName, limit: Limit) -> Option<Holding> {
        let held_since = self.lists.held_since(workspace, &self.own)?;
        let from = (held_since + self.warm_up(now)).max(self.steady_since);
        Some(Holding {
            bucket: Bucket::empty(from),
            limit,
            checked: self.lists.newest(),
            clients: HashMap::new(),
            used_at: now,
        })
    }

    /// Evicts the buckets of workspaces for which `limit` returns `None`, and those that are full
    /// and have not been used for some time. They are created again with the same tokens.
    pub fn evict(&mut self, now: Moment, limit: impl Fn(&WorkspaceName) -> Option<Limit>) {
        let (pace, shares) = (self.pace, self.shares);
        self.holdings.retain(|workspace, holding| {
            if limit(workspace).is_none() {
                return false;
            }
            if now.since(holding.used_at) < IDLE {
                return true;
            }
            let flow = flow(pace, shares, holding, now);
            holding.bucket.settle(now, &flow);
            holding.bucket.tokens() < flow.capacity
        });
    }

    /// The tokens of the `count` workspaces that were used last.
    #[must_use]
    pub fn levels(&self, count: usize) -> Vec<Level> {
        let mut used: Vec<_> = self.holdings.iter().collect();
        used.sort_by_key(|(_, holding)| std::cmp::Reverse(holding.used_at));
        let used = used.into_iter().take(count);
        used.map(|(workspace, holding)| Level {
            workspace: workspace.clone(),
            tokens: holding.bucket.tokens(),
            fraction: flow(self.pace, self.shares, holding, holding.used_at).fraction,
        })
        .collect()
    }

    /// The number of buckets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holdings.len()
    }

    /// Whether there are no buckets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holdings.is_empty()
    }
}

impl Holding {
    fn record_client(&mut self, now: Moment, client: &str) {
        self.clients
            .retain(|_, asked_at| now.since(*asked_at) < CLIENT_LIFETIME);
        if let Some(asked_at) = self.clients.get_mut(client) {
            *asked_at = now;
        } else if self.clients.len() < MAX_CLIENTS {
            self.clients.insert(client.to_owned(), now);
        }
    }

    /// The number of processes that asked within the last second, this one included.
    fn active_clients(&self, now: Moment) -> u64 {
        let recent = self.clients.values();
        let recent = recent.filter(|asked_at| now.since(**asked_at) < CLIENT_LIFETIME);
        u64::try_from(recent.count()).unwrap_or(u64::MAX).max(1)
    }

    /// How long to refuse: until what is missing has accrued in all domains, and until each of the
    /// other asking processes has had the chance to take a token of this one.
    fn refusal(&self, now: Moment, shares: Shares, missing: Tokens) -> Duration {
        let accrued = missing.time_at(self.limit.rate);
        let others = Tokens::whole((self.active_clients(now) - 1).saturating_mul(shares.count));
        let [min, max] = REFUSAL_RANGE;
        let wait = accrued.max(others.time_at(self.limit.rate)).clamp(min, max);
        wait.max(self.bucket.pause(now))
    }
}

/// How fast tokens accrue in a bucket.
fn flow(pace: Pace, shares: Shares, holding: &Holding, now: Moment) -> Flow {
    let limit = holding.limit;
    let capacity = limit.capacity(shares);
    let shares = shares.count.max(1);
    match pace {
        Pace::Listed { present, most } => Flow {
            rate: limit.rate,
            fraction: (present, most.saturating_mul(shares)),
            capacity,
        },
        Pace::Silent { processes } => {
            let asking = holding.active_clients(now).min(processes);
            let whole = processes.saturating_mul(2).saturating_mul(shares);
            Flow {
                rate: limit.rate,
                fraction: (asking, whole),
                capacity: capacity.min(Tokens::ONE),
            }
        }
    }
}
