//! Watches every hub for the table and the instances.
//!
//! A change of any hub counts, so that one cut path doesn't matter. While no
//! hub answers, the process serves on with what it knows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use slog::info;
use slog::warn;
use tarpc::client::RpcError;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;
use wire::hub::EntryHost;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::within;
use wire::peer;
use wire::peer::HubLink;

use crate::core::Core;

/// How long a hub holds a watch while nothing changes; a hub counts an entry
/// host as lost after some of these.
const WAIT: Duration = Duration::from_millis(500);
/// Beyond its wait, a watch may take this long before the connection counts as dead.
const SLACK: Duration = Duration::from_millis(600);
/// Pause after a watch that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// A table that no majority has confirmed is taken only after so long, as it
/// may be older than one that was in force here before a restart.
const UNCONFIRMED: Duration = Duration::from_secs(3);
/// Between two looks at the settings and at who has gone.
const LOOK: Duration = Duration::from_secs(1);
/// What a hub told counts for so long: some watches.
const RECENT: Duration = Duration::from_millis(1_200);
/// A hub that no other hub names and that doesn't answer is let go after so long.
const FORGET: Duration = Duration::from_secs(10);

/// One hub as last heard.
struct Seen {
    answered: Instant,
    /// The hubs that it named.
    named: Vec<SocketAddr>,
    /// The entry hosts that it named.
    hosts: Vec<EntryHost>,
}

type Hubs = Arc<Mutex<HashMap<SocketAddr, Seen>>>;

/// What a hub last told, for the next watch.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    epoch: u64,
    cursor: u64,
    list: u64,
}

/// Watches all hubs. Never ends.
pub async fn run(core: Arc<Core>) {
    let hubs: Hubs = Arc::default();
    let (wake, mut woken) = watch::channel(());
    let mut watches: HashMap<SocketAddr, AbortOnDropHandle<()>> = HashMap::new();
    loop {
        let settings = core.settings();
        let seeds = settings.seeds.iter();
        let seeds: Vec<SocketAddr> = seeds.map(|seed| settings.hub_at(seed.ip())).collect();
        let wanted = wanted(&hubs, &seeds);
        watches.retain(|address, _| wanted.contains(address));
        for address in wanted {
            watches.entry(address).or_insert_with(|| {
                let task = follow(Arc::clone(&core), address, Arc::clone(&hubs), wake.clone());
                AbortOnDropHandle::new(tokio::spawn(task))
            });
        }
        let _ = tokio::time::timeout(LOOK, woken.changed()).await;
    }
}

/// The hubs that any live hub names; the seeds besides while none is live.
fn wanted(hubs: &Hubs, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut hubs = hubs.lock().unwrap_or_else(PoisonError::into_inner);
    hubs.retain(|_, seen| seen.answered.elapsed() < FORGET);
    let named = hubs.values().flat_map(|seen| seen.named.iter().copied());
    let mut wanted: Vec<SocketAddr> = named.chain(hubs.keys().copied()).collect();
    if wanted.len() < seeds.len() {
        wanted.extend(seeds);
    }
    wanted.sort_unstable();
    wanted.dedup();
    wanted
}

/// The entry hosts that any hub names that answered lately.
fn hosts(hubs: &HashMap<SocketAddr, Seen>) -> Vec<EntryHost> {
    let recent = |seen: &&Seen| seen.answered.elapsed() < RECENT;
    let recent = hubs.values().filter(recent);
    let mut hosts: Vec<EntryHost> = recent.flat_map(|seen| seen.hosts.iter().cloned()).collect();
    hosts.sort_by(|a, b| a.address.cmp(&b.address));
    hosts.dedup_by(|a, b| a.address == b.address);
    hosts
}

async fn follow(core: Arc<Core>, address: SocketAddr, hubs: Hubs, wake: watch::Sender<()>) {
    let link = peer::hub(address);
    let mut last = Mark::default();
    let mut up = false;
    let begun = Instant::now();
    loop {
        let reply = match ask(&core, &link, last).await {
            Some(Answer::Reply(reply)) => Some(reply),
            Some(Answer::Again) => continue,
            None => None,
        };
        if reply.is_some() != up {
            up = !up;
            let outcome = if up { "regained" } else { "lost" };
            info!(core.log, "hub"; "address" => %address, "outcome" => outcome);
        }
        let Some(reply) = reply else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        take(&core, &reply, begun);
        note(&core, &hubs, address, &reply, last, &wake);
        last = Mark {
            epoch: reply.epoch,
            cursor: reply.cursor,
            list: reply.list,
        };
    }
}

/// How a watch ended.
enum Answer {
    /// The hub answered.
    Reply(WatchReply),
    /// It was given up, as this process has news for the hub.
    Again,
}

async fn ask(core: &Core, link: &HubLink, last: Mark) -> Option<Answer> {
    let ready = core.is_ready();
    let settings = core.settings();
    let ask = Watch {
        host: settings.host.to_string(),
        domain: settings.domain.to_string(),
        region: settings.region.to_string(),
        address: settings.front.to_string(),
        ready,
        epoch: last.epoch,
        cursor: last.cursor,
        list: last.list,
        table: core.routes().table.version,
        wait_ms: u32::try_from(WAIT.as_millis()).unwrap_or(u32::MAX),
    };
    let client = link.client().await.ok()?;
    let mut routed = core.routed.subscribe();
    let mut stage = core.stage.subscribe();
    let call = client.watch(within(WAIT + SLACK), ask);
    let result = tokio::select! {
        result = tokio::time::timeout(WAIT + SLACK, call) => match result {
            Ok(result) => result,
            Err(_) => Err(RpcError::DeadlineExceeded),
        },
        // The hubs learn at once that callers may, or may no longer, be sent here.
        () = async { tokio::select! {
            _ = routed.changed() => {}
            _ = stage.changed() => {}
        } } => return Some(Answer::Again),
    };
    link.judge(result).ok().map(Answer::Reply)
}

fn take(core: &Core, reply: &WatchReply, begun: Instant) {
    core.take_instances(&reply.instances);
    if reply.entries > 0 {
        core.set_entries(reply.entries);
    }
    let Some(row) = &reply.table else {
        return;
    };
    let trusted = reply.confirmed || core.routes().table.version > 0;
    if !trusted && begun.elapsed() < UNCONFIRMED {
        return;
    }
    match table::codec::decode(&row.content) {
        Ok(table) => core.set_table(table),
        Err(err) => warn!(core.log, "bad route table"; "version" => row.version, "error" => %err),
    }
}

fn note(
    core: &Core,
    hubs: &Hubs,
    address: SocketAddr,
    reply: &WatchReply,
    last: Mark,
    wake: &watch::Sender<()>,
) {
    let named = reply
        .hubs
        .iter()
        .filter_map(|hub| hub.parse().ok())
        .collect();
    let mut seen = Seen {
        answered: Instant::now(),
        named,
        hosts: reply.hosts.clone(),
    };
    let mut hubs = hubs.lock().unwrap_or_else(PoisonError::into_inner);
    let before = hubs.remove(&address);
    if let Some(before) = &before
        && reply.list == last.list
    {
        seen.hosts.clone_from(&before.hosts);
    }
    hubs.insert(address, seen);
    core.set_hosts(hosts(&hubs));
    let changed = before.is_none_or(|before| before.named != hubs[&address].named);
    if changed {
        wake.send_replace(());
    }
}
