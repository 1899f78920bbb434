//! Watches every hub for the table and the instances.
//!
//! A change of any hub counts, so that one cut path doesn't matter. While no
//! hub answers, the process serves on with what it knows.

pub mod beacon;
pub mod hosts;
pub mod hubs;
pub mod progress;
pub mod report;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tarpc::client::RpcError;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;
use wire::hub::Fetch;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::CONNECT_TIMEOUT;
use wire::link::within;
use wire::peer;
use wire::peer::HubLink;

use crate::core::Core;

use self::hubs::Hubs;
use self::hubs::Seen;
use self::progress::Progress;

/// Beyond its wait, a watch may take this long before the connection counts as dead.
const SLACK: Duration = Duration::from_millis(600);
/// Pause after a watch that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// The same while there is no table: callers wait, and a hub may start at any moment.
const QUICK_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for a connection while there is no table. A host that is without power
/// answers nothing, so that the wait for it goes on after it is back: up to
/// [`CONNECT_TIMEOUT`] of the callers' time. Over two ways between regions.
const QUICK_CONNECT: Duration = Duration::from_millis(40);
/// Longest wait for a table: 400 KB over a link of 2.3 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A table that no majority has confirmed is taken only after so long, as it
/// may be older than one that was in force here before a restart. One that a hub has
/// from its disk before there is a leader is taken at once: all have restarted then, or
/// the other hubs tell of a newer one within milliseconds.
const UNCONFIRMED: Duration = Duration::from_secs(3);
/// Between two looks at the settings and at who has gone.
const LOOK: Duration = Duration::from_secs(1);

/// The watch of one hub.
struct Follower {
    core: Arc<Core>,
    hubs: Arc<Hubs>,
    address: SocketAddr,
    link: Arc<HubLink>,
    begun: Instant,
    progress: Progress,
    /// The hub's process.
    epoch: watch::Sender<u64>,
    /// The revision of the suspects that it told.
    suspects: u64,
    /// The version of the newest table that it told of.
    table: u64,
    /// The hubs that it named, and the mark of that list.
    named: Vec<SocketAddr>,
    group: u64,
}

/// How a watch ended.
enum Answer {
    /// The hub answered the question.
    Reply(Box<(Watch, WatchReply)>),
    /// It was given up, as something else is asked now.
    Again,
}

/// Watches all hubs; `beacons` is where they make themselves known. Never ends.
pub async fn run(core: Arc<Core>, beacons: Option<UdpSocket>) {
    let hubs = Arc::new(Hubs::new(
        core.settings().domain.clone(),
        core.instances_known.subscribe(),
    ));
    let _listening = beacons.map(|socket| {
        let (core, hubs) = (Arc::clone(&core), Arc::clone(&hubs));
        AbortOnDropHandle::new(tokio::spawn(beacon::listen(core, hubs, socket)))
    });
    let mut renamed = hubs.renamed.subscribe();
    let mut watches: HashMap<SocketAddr, AbortOnDropHandle<()>> = HashMap::new();
    loop {
        let settings = core.settings();
        let seeds = settings.seeds.iter();
        let seeds: Vec<SocketAddr> = seeds.map(|seed| settings.hub_at(seed.ip())).collect();
        let wanted = hubs.wanted(&seeds);
        let live = hubs.live();
        hubs.rank();
        core.evict_removed_instances();
        // While no hub answers, what they have heard last is all that is known.
        if !live.is_empty() {
            core.retain_reporting_hubs(&live);
        }
        watches.retain(|address, _| wanted.contains(address));
        for address in wanted {
            watches.entry(address).or_insert_with(|| {
                let follower = Follower::new(&core, &hubs, address);
                AbortOnDropHandle::new(tokio::spawn(follower.run()))
            });
        }
        let _ = tokio::time::timeout(LOOK, renamed.changed()).await;
    }
}

impl Follower {
    fn new(core: &Arc<Core>, hubs: &Arc<Hubs>, address: SocketAddr) -> Self {
        Self {
            core: Arc::clone(core),
            hubs: Arc::clone(hubs),
            address,
            link: Arc::new(peer::hub(address)),
            begun: Instant::now(),
            progress: Progress::default(),
            epoch: watch::Sender::default(),
            suspects: 0,
            table: 0,
            named: Vec::new(),
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
            let reply = match self.ask().await {
                Some(Answer::Reply(reply)) => Some(reply),
                Some(Answer::Again) => continue,
                None => None,
            };
            if reply.is_some() != up {
                up = !up;
                let outcome = if up { "regained" } else { "lost" };
                info!(self.core.log, "hub"; "address" => %self.address, "outcome" => outcome);
            }
            let Some(reply) = reply else {
                self.hubs.missed(self.address);
                tokio::time::sleep(self.pause()).await;
                continue;
            };
            let (asked, reply) = *reply;
            self.take(&asked, &reply);
        }
    }

    /// How long to wait for a connection to the hub.
    fn patience(&self) -> Duration {
        if self.is_waiting() {
            QUICK_CONNECT
        } else {
            CONNECT_TIMEOUT
        }
    }

    /// How long to wait after a watch that failed.
    fn pause(&self) -> Duration {
        if self.is_waiting() {
            QUICK_PAUSE
        } else {
            PAUSE
        }
    }

    /// Whether requests wait for the first table.
    fn is_waiting(&self) -> bool {
        !*self.core.table_known.borrow()
    }

    /// What the hub is asked next.
    fn next(&self) -> Watch {
        let settings = self.core.settings();
        let held = self.core.routes().table.version;
        // While a table is on its way, being told of it again helps nobody.
        let fetching = self.hubs.is_fetching();
        let table = if fetching { held.max(self.table) } else { held };
        let part = self.hubs.part(self.address);
        let question = self
            .progress
            .next(part, &self.core.digest(), self.hubs.reached());
        Watch {
            host: settings.host.to_string(),
            domain: settings.domain.to_string(),
            region: settings.region.to_string(),
            address: settings.front.to_string(),
            ready: self.core.is_ready(),
            epoch: question.epoch,
            cursor: question.cursor,
            news: question.news.into(),
            buckets: question.buckets,
            list: self.hubs.hosts().mark(),
            lists: self.hubs.is_first(self.address),
            place: settings
                .place
                .map_or_else(String::new, |place| place.to_string()),
            table,
            group: self.group,
            evacuations: self.core.evacuations(),
            suspects: self.suspects,
            wait_ms: u32::try_from(self.hubs.wait(self.address).as_millis()).unwrap_or(u32::MAX),
        }
    }

    async fn ask(&self) -> Option<Answer> {
        let client = self.link.client_within(self.patience()).await.ok()?;
        let mut table_known = self.core.table_known.subscribe();
        let mut stage = self.core.stage.subscribe();
        let mut stalled = self.hubs.stalled.subscribe();
        let mut first = self.hubs.first.subscribe();
        let mut instances_known = self.core.instances_known.subscribe();
        let asked = self.next();
        let (was_first, address) = (asked.lists, self.address);
        let patience = Duration::from_millis(asked.wait_ms.into()) + SLACK;
        let call = client.watch(within(patience), asked.clone());
        let result = tokio::select! {
            result = tokio::time::timeout(patience, call) => match result {
                Ok(result) => result,
                Err(_) => Err(RpcError::DeadlineExceeded),
            },
            // The hubs learn at once that callers may, or may no longer, be sent here.
            _ = table_known.changed() => return Some(Answer::Again),
            _ = stage.changed() => return Some(Answer::Again),
            _ = stalled.changed() => return Some(Answer::Again),
            _ = first.wait_for(|first| first.is_none_or(|f| f == address) != was_first) => {
                return Some(Answer::Again);
            }
            _ = instances_known.changed() => return Some(Answer::Again),
        };
        let reply = self.link.judge(result).ok()?;
        Some(Answer::Reply(Box::new((asked, reply))))
    }

    fn take(&mut self, asked: &Watch, reply: &WatchReply) {
        // Before the table that comes with them lets the first request in.
        if let Some(evacuations) = &reply.evacuations {
            self.core.apply_evacuations(self.address, evacuations);
        }
        self.apply_suspects(reply);
        self.take_news(reply);
        let reached = self.progress.answered(asked.news(), reply);
        self.hubs.reach(reached);
        self.note(asked, reply);
        self.table = reply.table;
        let held = self.core.routes().table.version;
        let late = self.begun.elapsed() >= UNCONFIRMED;
        let trusted = reply.confirmed || reply.recovered || held > 0 || late;
        if reply.table > held && trusted && self.hubs.begin_fetch() {
            let (core, hubs) = (Arc::clone(&self.core), Arc::clone(&self.hubs));
            tokio::spawn(fetch(core, hubs, Arc::clone(&self.link), reply.table));
        }
    }

    fn apply_suspects(&mut self, reply: &WatchReply) {
        let epoch = reply.epoch;
        if self
            .epoch
            .send_if_modified(|held| std::mem::replace(held, epoch) != epoch)
        {
            self.suspects = 0;
        }
        if let Some(suspects) = &reply.suspects {
            self.core.apply_suspects(self.address, suspects);
            self.suspects = suspects.revision;
        }
    }

    /// Takes what the hub tells of instances: all or some of them, and which it hears.
    fn take_news(&self, reply: &WatchReply) {
        let rows = if reply.whole.is_empty() {
            Ok(Vec::new())
        } else {
            registry::unpack(&reply.whole)
        };
        match rows {
            Ok(mut rows) => {
                rows.extend(reply.instances.iter().cloned());
                self.core.apply_instances(self.address, &rows, &reply.heard);
            }
            Err(err) => {
                warn!(self.core.log, "bad list of instances"; "hub" => %self.address,
                    "error" => %err);
            }
        }
    }

    fn note(&mut self, asked: &Watch, reply: &WatchReply) {
        if reply.group != self.group {
            let named = reply.hubs.iter().filter_map(|hub| hub.parse().ok());
            self.named = named.collect();
            self.group = reply.group;
        }
        let seen = Seen {
            answered: Instant::now(),
            near: reply.domain == asked.domain,
            table: reply.table,
            named: self.named.clone(),
            entries: reply.entries,
            wait: Duration::from_millis(asked.wait_ms.into()),
            missed: false,
        };
        self.hubs.note(self.address, seen);
        let entries = self.hubs.entries();
        if entries > 0 {
            self.core.set_entry_count(entries);
        }
        if asked.lists {
            self.take_hosts(asked.list, reply);
        }
    }

    fn take_hosts(&self, held: u64, reply: &WatchReply) {
        let taken = self.hubs.hosts().take(held, reply);
        match taken {
            Ok(Some(hosts)) => self.core.set_hosts(hosts),
            Ok(None) => {}
            Err(err) => {
                warn!(self.core.log, "bad list of entry hosts"; "hub" => %self.address,
                    "error" => %err);
            }
        }
    }
}

/// Fetches the newest table that a hub has, of `told` at least.
async fn fetch(core: Arc<Core>, hubs: Arc<Hubs>, link: Arc<HubLink>, told: u64) {
    let have = core.routes().table.version;
    match fetched(&link, have).await {
        Some(row) if row.version > have => match table::codec::decode(&row.content) {
            Ok(table) => core.set_table(table),
            Err(err) => {
                warn!(core.log, "bad route table"; "version" => row.version, "error" => %err);
            }
        },
        Some(_) => {}
        None => {
            info!(core.log, "route table not fetched"; "hub" => %link.address(), "told" => told);
        }
    }
    hubs.end_fetch(core.routes().table.version);
}

async fn fetched(link: &HubLink, have: u64) -> Option<wire::hub::Table> {
    let client = link.client().await.ok()?;
    let call = client.fetch(within(FETCH_TIMEOUT), Fetch { have });
    link.judge(call.await).ok()
}
