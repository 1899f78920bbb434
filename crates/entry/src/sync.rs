//! Watches every hub for the route table, the instances and the hub's other state.
//!
//! All hubs are watched, so that a lost connection to some of them doesn't matter. While no hub
//! answers, the process keeps serving with its last known state.

pub mod beacon;
pub mod hosts;
pub mod hubs;
pub mod progress;
pub mod trust;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use crash::report;
use slog::info;
use slog::warn;
use tarpc::client::RpcError;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;
use wire::hub::Fetch;
use wire::hub::FetchReply;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::CONNECT_TIMEOUT;
use wire::link::within;
use wire::peer;
use wire::peer::HubLink;

use crate::core::Core;
use crate::quota::STARTUP_PERIOD;

use self::hubs::HubStatus;
use self::hubs::Hubs;
use self::progress::Progress;
use self::trust::Verdict;

/// How much longer than its agreed duration a watch may take before it fails.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Delay after a failed watch.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The same while there is no route table: requests wait for it, and a hub may start at any
/// moment.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Connect timeout while there is no route table. A host without power doesn't answer, and a
/// connection attempt to it may go on after it is back; [`CONNECT_TIMEOUT`] would be too much of
/// the requests' time.
const STARTUP_CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Time to transfer a byte of a route table at 4 Mbit/s, half of the slowest link, in
/// microseconds. Without it, a table with 100,000 workspaces would never arrive in time.
const MICROS_PER_BYTE: u64 = 2;
/// Timeout for fetching a route table over a slow link, beyond its transfer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of watches of a hub within the time for which a confirmation of the route table lasts.
const CONFIRMATIONS: u32 = 4;
/// Minimum duration of these watches, for settings under which no process could serve.
const MIN_CONFIRM_WAIT: Duration = Duration::from_millis(100);
/// Interval at which settings and hubs are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Watches one hub.
struct HubWatcher {
    core: Arc<Core>,
    hubs: Arc<Hubs>,
    address: SocketAddr,
    link: Arc<HubLink>,
    /// When the last watch was sent.
    asked_at: Moment,
    progress: Progress,
    /// The epoch of the hub's process.
    epoch: watch::Sender<u64>,
    /// The revision of the suspects last received from the hub.
    suspects: u64,
    /// The revision of the limits last received from the hub.
    limits: u64,
    /// The version of the newest table that the hub reported, if it has one.
    table: Option<u64>,
    /// The members of the hub group as the hub reported them, and the id of that list.
    members: Vec<SocketAddr>,
    group: u64,
}

/// The result of a watch that didn't fail.
enum WatchOutcome {
    /// The hub answered.
    Reply(Box<(Watch, WatchReply)>),
    /// The watch was cancelled because the request is out of date.
    Superseded,
}

/// Watches all hubs; they announce themselves by datagrams to `beacons`. Runs forever.
pub async fn run(core: Arc<Core>, beacons: Option<UdpSocket>) {
    let hubs = Arc::new(Hubs::new(
        core.settings().domain.clone(),
        core.instances_known.subscribe(),
    ));
    let _listening = beacons.map(|socket| {
        let (core, hubs) = (Arc::clone(&core), Arc::clone(&hubs));
        AbortOnDropHandle::new(tokio::spawn(beacon::listen(core, hubs, socket)))
    });
    let mut members_changed = hubs.members_changed.subscribe();
    let mut tasks: HashMap<SocketAddr, AbortOnDropHandle<()>> = HashMap::new();
    loop {
        let settings = core.settings();
        let seeds = settings.seeds.iter();
        let seeds: Vec<SocketAddr> = seeds.map(|seed| settings.hub_at(seed.ip())).collect();
        let targets = hubs.targets(&seeds);
        let live_hubs = hubs.live();
        hubs.select_primary();
        core.quotas
            .set_hub_missing(core.clock.now(), hubs.is_any_missing());
        if hubs.is_count_expired() {
            core.set_entry_count(0);
        }
        core.evict_removed_instances();
        // While no hub answers, the last known heartbeats stay valid.
        if !live_hubs.is_empty() {
            core.retain_reporting_hubs(&live_hubs);
        }
        tasks.retain(|address, _| targets.contains(address));
        for address in targets {
            tasks.entry(address).or_insert_with(|| {
                let watcher = HubWatcher::new(&core, &hubs, address);
                AbortOnDropHandle::new(tokio::spawn(watcher.run()))
            });
        }
        let _ = tokio::time::timeout(CHECK_INTERVAL, members_changed.changed()).await;
    }
}

impl HubWatcher {
    fn new(core: &Arc<Core>, hubs: &Arc<Hubs>, address: SocketAddr) -> Self {
        Self {
            core: Arc::clone(core),
            hubs: Arc::clone(hubs),
            address,
            link: Arc::new(peer::hub(address)),
            asked_at: Moment::ZERO,
            progress: Progress::default(),
            epoch: watch::Sender::default(),
            suspects: 0,
            limits: 0,
            table: None,
            members: Vec::new(),
            group: 0,
        }
    }

    async fn run(mut self) {
        let reports = report::run(
            Arc::clone(&self.core),
            Arc::clone(&self.link),
            self.epoch.subscribe(),
        );
        let _reporting = AbortOnDropHandle::new(tokio::spawn(reports));
        let mut up = false;
        loop {
            self.asked_at = self.core.clock.now();
            let reply = match self.send_watch().await {
                Some(WatchOutcome::Reply(reply)) => Some(reply),
                Some(WatchOutcome::Superseded) => continue,
                None => None,
            };
            if reply.is_some() != up {
                up = !up;
                let outcome = if up { "regained" } else { "lost" };
                info!(self.core.log, "hub"; "address" => %self.address, "outcome" => outcome);
            }
            let Some(reply) = reply else {
                self.hubs.record_failure(self.address);
                tokio::time::sleep(self.retry_delay()).await;
                continue;
            };
            let (asked, reply) = *reply;
            self.apply(&asked, &reply);
        }
    }

    /// The timeout for connecting to the hub.
    fn connect_timeout(&self) -> Duration {
        if self.is_waiting() {
            STARTUP_CONNECT_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        }
    }

    /// The delay after a failed watch.
    fn retry_delay(&self) -> Duration {
        if self.is_waiting() {
            STARTUP_RETRY_DELAY
        } else {
            RETRY_DELAY
        }
    }

    /// Whether requests may be waiting for the first table.
    fn is_waiting(&self) -> bool {
        !*self.core.table_known.borrow()
    }

    /// The next watch request.
    fn next_request(&self) -> Watch {
        let settings = self.core.settings();
        let current = self.core.routes().version();
        let currency = self.hubs.trust().known(self.address);
        // The hub need not report a table again that is being fetched or isn't obeyed.
        let table = if self.hubs.is_fetching() || currency.is_some() {
            current.max(self.table)
        } else {
            current
        };
        let role = self.hubs.role(self.address);
        let keys = settings.keys;
        let mut wait = self.hubs.watch_duration(self.address);
        if keys.fail_closed {
            wait = wait.min((keys.confirm / CONFIRMATIONS).max(MIN_CONFIRM_WAIT));
        }
        let query = self
            .progress
            .next_query(role, &self.core.digest(), self.hubs.applied_index());
        Watch {
            host: settings.host.to_string(),
            domain: settings.domain.to_string(),
            region: settings.region.to_string(),
            address: settings.front.to_string(),
            ready: self.core.is_listed(),
            epoch: query.epoch,
            cursor: query.cursor,
            news: query.news.into(),
            buckets: query.buckets,
            list: self.hubs.hosts().list_id(),
            lists: self.hubs.is_primary(self.address),
            place: settings
                .place
                .map_or_else(String::new, |place| place.to_string()),
            table,
            group: self.group,
            evacuations: self.core.evacuations(),
            suspects: self.suspects,
            limits: self.limits,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            confirm: keys.fail_closed,
            currency: currency.map(Into::into),
        }
    }

    async fn send_watch(&self) -> Option<WatchOutcome> {
        let client = self
            .link
            .client_with_timeout(self.connect_timeout())
            .await
            .ok()?;
        let mut table_known = self.core.table_known.subscribe();
        let mut stage = self.core.stage.subscribe();
        let mut depends_on_peers = self.core.depends_on_peers.subscribe();
        let mut fetch_incomplete = self.hubs.fetch_incomplete.subscribe();
        let mut primary = self.hubs.primary.subscribe();
        let mut instances_known = self.core.instances_known.subscribe();
        let asked = self.next_request();
        let (was_primary, address) = (asked.lists, self.address);
        let timeout = Duration::from_millis(asked.wait_ms.into()) + WATCH_TIMEOUT_MARGIN;
        let call = client.watch(within(timeout), asked.clone());
        let result = tokio::select! {
            result = tokio::time::timeout(timeout, call) => match result {
                Ok(result) => result,
                Err(_) => Err(RpcError::DeadlineExceeded),
            },
            // Hubs need to know at once whether the process is ready for callers.
            _ = table_known.changed() => return Some(WatchOutcome::Superseded),
            _ = stage.changed() => return Some(WatchOutcome::Superseded),
            _ = depends_on_peers.changed() => return Some(WatchOutcome::Superseded),
            _ = fetch_incomplete.changed() => return Some(WatchOutcome::Superseded),
            _ = primary.wait_for(|primary| primary.is_none_or(|hub| hub == address) != was_primary) => {
                return Some(WatchOutcome::Superseded);
            }
            _ = instances_known.changed() => return Some(WatchOutcome::Superseded),
        };
        let reply = self.link.check_result(result).ok()?;
        Some(WatchOutcome::Reply(Box::new((asked, reply))))
    }

    fn apply(&mut self, asked: &Watch, reply: &WatchReply) {
        // Before the first table, which lets requests in.
        if let Some(evacuations) = &reply.evacuations {
            self.core.apply_evacuations(self.address, evacuations);
        }
        self.record_confirmed_table(reply);
        self.apply_suspects(reply);
        self.apply_instance_updates(reply);
        self.apply_limits(reply);
        let applied_index = self.progress.apply(asked.news(), reply);
        self.hubs.advance_applied_index(applied_index);
        self.record_status(asked, reply);
        self.table = reply.table;
        self.record_currency(reply);
        let current = self.core.routes().version();
        let transfer = Duration::from_micros(u64::from(reply.table_bytes) * MICROS_PER_BYTE);
        if let Some(announced) = reply.table
            && reply.table > current
            && self.hubs.trust().verdict(announced) != Verdict::Withheld
            && self.hubs.begin_fetch(transfer)
        {
            let (core, hubs) = (Arc::clone(&self.core), Arc::clone(&self.hubs));
            let link = Arc::clone(&self.link);
            tokio::spawn(fetch(core, hubs, link, announced, transfer));
        }
    }

    /// Records what the hub says of its table, and whether the own one may still be obeyed.
    fn record_currency(&self, reply: &WatchReply) {
        let currency = reply.currency();
        let mut trust = self.hubs.trust();
        if trust.known(self.address).is_none() {
            return;
        }
        if trust.record(self.address, currency, reply.table) {
            info!(self.core.log, "table of a hub"; "hub" => %self.address,
                "version" => reply.table, "currency" => currency.as_str_name());
        }
        let Some(version) = self.core.routes().version() else {
            return;
        };
        if trust.must_withhold(version) {
            self.core.withhold_table();
        } else if trust.verdict(version) != Verdict::Withheld {
            self.core.obey_table();
        }
    }

    /// Records the table that a majority has confirmed. The time is derived from that of the
    /// request: a process that was frozen may read a reply long after it arrived.
    fn record_confirmed_table(&self, reply: &WatchReply) {
        let Some(confirmed) = reply.confirmed_table else {
            return;
        };
        let held = Duration::from_millis(reply.held_ms.into());
        let age = Duration::from_millis(reply.confirmed_age_ms.into());
        let at = (self.asked_at + held).before(age);
        self.core.record_confirmed_table(confirmed, at);
    }

    fn apply_suspects(&mut self, reply: &WatchReply) {
        let epoch = reply.epoch;
        if self
            .epoch
            .send_if_modified(|current| std::mem::replace(current, epoch) != epoch)
        {
            self.suspects = 0;
            self.limits = 0;
        }
        if let Some(suspects) = &reply.suspects {
            self.core.apply_suspects(self.address, suspects);
            self.suspects = suspects.revision;
        }
    }

    fn apply_limits(&mut self, reply: &WatchReply) {
        if let Some(limits) = &reply.limits {
            self.core.apply_limits(self.address, &limits.rows);
            self.limits = limits.revision;
        }
    }

    /// Applies the instances and heartbeats of a reply.
    fn apply_instance_updates(&self, reply: &WatchReply) {
        let instances = if reply.whole.is_empty() {
            Ok(Vec::new())
        } else {
            registry::unpack(&reply.whole)
        };
        match instances {
            Ok(mut instances) => {
                instances.extend(reply.instances.iter().cloned());
                self.core
                    .apply_instances(self.address, &instances, &reply.heard);
            }
            Err(err) => {
                warn!(self.core.log, "invalid instance list"; "hub" => %self.address,
                    "error" => %err);
            }
        }
    }

    fn record_status(&mut self, asked: &Watch, reply: &WatchReply) {
        if reply.group != self.group {
            let members = reply.hubs.iter().filter_map(|hub| hub.parse().ok());
            self.members = members.collect();
            self.group = reply.group;
        }
        let status = HubStatus {
            answered_at: Instant::now(),
            near: reply.domain == asked.domain,
            table: reply.table,
            members: self.members.clone(),
            entry_count: reply.entries,
            watch_duration: Duration::from_millis(asked.wait_ms.into()),
            failed: false,
        };
        self.hubs.record(self.address, status);
        self.record_uptime(reply);
        self.core.quotas.hub_answered(self.core.clock.now());
        let entry_count = self.hubs.entry_count();
        if entry_count > 0 {
            self.core.set_entry_count(entry_count);
        }
        if asked.lists {
            self.apply_hosts(asked.list, reply);
        }
    }

    /// Tells the quotas if a majority of the hubs has just started. An uptime of 0 says nothing.
    fn record_uptime(&self, reply: &WatchReply) {
        let uptime = match reply.uptime_ms {
            0 => Duration::MAX,
            millis => Duration::from_millis(millis.into()),
        };
        if self
            .hubs
            .record_uptime(self.address, uptime, STARTUP_PERIOD)
        {
            self.core.quotas.hubs_restarted(self.core.clock.now());
        }
    }

    fn apply_hosts(&self, base: u64, reply: &WatchReply) {
        let hosts = self.hubs.hosts().apply(base, reply);
        match hosts {
            Ok(Some(hosts)) => self.core.set_hosts(hosts),
            Ok(None) => {}
            Err(err) => {
                warn!(self.core.log, "invalid entry host list"; "hub" => %self.address,
                    "error" => %err);
            }
        }
    }
}

/// Fetches the hub's newest table; `announced_version` is the version that the hub reported.
async fn fetch(
    core: Arc<Core>,
    hubs: Arc<Hubs>,
    link: Arc<HubLink>,
    announced_version: u64,
    transfer: Duration,
) {
    let current = core.routes().version();
    match fetch_table(&link, current, transfer).await {
        Some(FetchReply { table: Some(table) }) => match table::codec::decode(&table.content) {
            Ok(table) => {
                let verdict = hubs.trust().verdict(table.version);
                let verdict_text: &str = verdict.into();
                info!(core.log, "route table fetched"; "version" => table.version,
                    "hub" => %link.address(), "verdict" => verdict_text);
                if verdict != Verdict::Withheld {
                    core.set_table(table);
                }
            }
            Err(err) => {
                warn!(core.log, "invalid route table"; "version" => table.version, "error" => %err);
            }
        },
        Some(FetchReply { table: None }) => {}
        None => {
            info!(core.log, "failed to fetch route table"; "hub" => %link.address(), "told" => announced_version);
        }
    }
    hubs.end_fetch(core.routes().version());
}

async fn fetch_table(link: &HubLink, have: Option<u64>, transfer: Duration) -> Option<FetchReply> {
    let client = link.client().await.ok()?;
    let call = client.fetch(within(FETCH_TIMEOUT + transfer), Fetch { have });
    link.check_result(call.await).ok()
}
