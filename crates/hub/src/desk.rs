//! What upstreams, operators and callers ask of a hub, whatever they speak.

use std::sync::Arc;
use std::time::Duration;

use conf::ConfError;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use quick_error::quick_error;
use slog::info;
use slog::warn;
use table::CodecError;
use table::Fault;
use table::Table;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::hub::Spread;
use wire::hub::TableOutcome;
use wire::hub::TableReply;
use wire::link::within;
use wire::peer;

use crate::registry::Taken;
use crate::settings::Settings;
use crate::state::State;

/// How long another hub may take to confirm that an instance leaves; the
/// instance goes elsewhere after a second.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a majority may take to confirm the newest table; operators wait a second.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

quick_error! {
    /// Why a hub can't do what it was asked for.
    #[derive(Debug)]
    pub enum DeskError {
        /// No majority of the hubs answered in time.
        NoMajority {
            display("no majority of the hubs answered in time; ask another one or again")
        }
        /// There is no table yet.
        NoTable {
            display("no route table was accepted yet")
        }
        /// The table is invalid.
        Invalid(faults: Vec<Fault>) {
            display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
        /// The table can't be written or read.
        Codec(err: CodecError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// A table on its way in.
#[derive(Clone, Debug)]
pub struct Put {
    /// It, checked by the desk.
    pub table: Table,
    /// The operator's own document, given back on reads.
    pub source: Vec<u8>,
}

/// Answers what a hub is asked.
#[derive(Clone)]
pub struct Desk {
    state: Arc<State>,
}

impl Desk {
    pub(crate) fn new(state: Arc<State>) -> Self {
        Self { state }
    }

    /// Takes an instance's announcement or its notice of leaving.
    ///
    /// # Errors
    ///
    /// Fails when the instance leaves and no majority of the hubs could be told.
    pub async fn announce(&self, instance: Instance) -> Result<(), DeskError> {
        let (id, phase) = (instance.id.clone(), instance.phase());
        let now = self.state.clock.now();
        let sequence = instance.sequence;
        let taken = self.state.known().registry.take(now, instance);
        if taken != Taken::Known {
            info!(self.state.log, "announcement"; "instance" => &id,
                "phase" => phase.as_str_name(), "sequence" => sequence,
                "outcome" => format!("{taken:?}"));
        }
        if taken == Taken::Changed {
            self.state.publish();
        }
        if phase == Phase::Ready || taken == Taken::Stale {
            return Ok(());
        }
        self.spread(&id).await
    }

    /// Tells the other hubs that an instance leaves, until a majority knows.
    async fn spread(&self, id: &str) -> Result<(), DeskError> {
        let (instance, hubs) = {
            let known = self.state.known();
            if known.registry.is_spread(id) {
                return Ok(());
            }
            (known.registry.get(id).cloned(), known.hubs.clone())
        };
        let Some(instance) = instance else {
            return Ok(());
        };
        let phase = instance.phase();
        let own = self.state.settings.hub_at(self.state.settings.address);
        let push = Spread {
            instances: vec![instance],
        };
        let needed = hubs.len() / 2 + 1;
        let mut answers: FuturesUnordered<_> = hubs
            .iter()
            .filter(|address| **address != own)
            .map(|address| tell(*address, push.clone()))
            .collect();
        let mut told = 1;
        while told < needed && !hubs.is_empty() {
            match answers.next().await {
                Some(true) => told += 1,
                Some(false) => {}
                None => break,
            }
        }
        if hubs.is_empty() || told < needed {
            warn!(self.state.log, "leaving not spread"; "instance" => id,
                "told" => told, "needed" => needed);
            return Err(DeskError::NoMajority);
        }
        info!(self.state.log, "leaving spread"; "instance" => id,
            "phase" => phase.as_str_name(), "told" => told, "hubs" => hubs.len());
        self.state.known().registry.spread(id, phase);
        Ok(())
    }

    /// Proposes a table.
    ///
    /// # Errors
    ///
    /// Fails when it is invalid, or when no majority took it in time; it may be
    /// taken later then.
    pub async fn put(&self, put: Put) -> Result<TableReply, DeskError> {
        let version = put.table.version;
        let faults = table::check(&put.table);
        if !faults.is_empty() {
            warn!(self.state.log, "route table refused"; "version" => version,
                "faults" => faults.len(), "first" => %faults[0]);
            return Err(DeskError::Invalid(faults));
        }
        let row = wire::hub::Table {
            version,
            content: table::codec::encode(&put.table)?.into(),
            source: put.source.into(),
        };
        let reply = self.state.tables.put(row).await;
        let outcome = reply.map_or("no-majority", |reply| reply.outcome().as_str_name());
        info!(self.state.log, "route table asked"; "version" => version, "outcome" => outcome);
        reply.ok_or(DeskError::NoMajority)
    }

    /// The newest table, as a majority confirms it.
    ///
    /// # Errors
    ///
    /// Fails when there is none yet or no majority answers in time.
    pub async fn read(&self) -> Result<Arc<wire::hub::Table>, DeskError> {
        let found = self.state.tables.read(READ_TIMEOUT).await;
        match found {
            Some(table) if table.version > 0 => Ok(table),
            Some(_) => Err(DeskError::NoTable),
            None => Err(DeskError::NoMajority),
        }
    }

    /// Addresses of entry hosts for a caller, and how long it may keep them; none
    /// when none is known to be ready.
    #[must_use]
    pub fn resolve(&self, name: &str, domain: &str, region: &str) -> (Vec<String>, Duration) {
        let now = self.state.clock.now();
        let known = self.state.known();
        let hosts = known.entries.list(now);
        let addresses = place::near(&hosts, name, domain, region, self.state.settings.spread);
        (addresses, known.ttl.unwrap_or(self.state.settings.ttl))
    }

    /// Takes settings that were read again; seeds count from the next start on.
    pub fn reload(&self, read: Result<Settings, ConfError>) {
        match read {
            Ok(settings) => {
                let fixed = self.state.settings.is_fixed_same(&settings);
                info!(self.state.log, "settings reloaded";
                    "ttl_ms" => settings.ttl.as_millis(), "restart_needed" => !fixed);
                self.state.known().ttl = Some(settings.ttl);
            }
            Err(err) => warn!(self.state.log, "settings not reloaded"; "error" => %err),
        }
    }

    /// Whether a proposed table was taken, or is held already.
    #[must_use]
    pub fn is_in_force(reply: &TableReply) -> bool {
        matches!(reply.outcome(), TableOutcome::Taken | TableOutcome::Held)
    }
}

async fn tell(address: std::net::SocketAddr, push: Spread) -> bool {
    let link = peer::hub(address);
    let call = async {
        let client = link.client().await.ok()?;
        client.spread(within(SPREAD_TIMEOUT), push).await.ok()
    };
    matches!(
        tokio::time::timeout(SPREAD_TIMEOUT, call).await,
        Ok(Some(_))
    )
}
