//! What upstreams, operators and callers ask of a hub, whatever they speak.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use evacuation::Domains;
use evacuation::Outcome;
use quick_error::quick_error;
use registry::Taken;
use registry::Unusable;
use slog::Logger;
use slog::info;
use slog::warn;
use table::CodecError;
use table::Fault;
use table::Table;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::hub::TableReply;

use crate::settings::Settings;
use crate::state::State;

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
        /// Another order on the failure domain was taken at the same time.
        Overtaken(domain: DomainName) {
            display("another order on failure domain {domain} was taken meanwhile; ask again")
        }
        /// The failure domain can't be evacuated.
        Domain(domain: DomainName) {
            display("failure domain {domain}: orders have named {} others, as many as are kept",
                evacuation::domains::MOST_DOMAINS)
        }
        /// There is no table yet.
        NoTable {
            display("no route table was accepted yet")
        }
        /// The table is invalid.
        Invalid(faults: Vec<Fault>) {
            display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
        /// The announcement names no instance to use.
        Unusable(err: Unusable) {
            from()
            source(err)
            display("{err}")
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
    /// Watchers learn of it at once, the other hubs through the log. An
    /// acknowledgement that the instance leaves binds all of them, so that one
    /// waits for the log.
    ///
    /// # Errors
    ///
    /// Fails when the announcement names no instance to use, or when the instance leaves
    /// and the log didn't take that in time.
    pub async fn announce(&self, instance: Instance) -> Result<(), DeskError> {
        if let Err(err) = registry::check(&instance) {
            warn!(self.state.log, "announcement refused"; "instance" => &instance.id,
                "error" => %err);
            return Err(err.into());
        }
        let phase = instance.phase();
        let taken = self.state.take([&instance]);
        if phase != Phase::Gone {
            // Watchers learn of it with the next look at what was missed.
            let now = self.state.clock.now();
            self.state.known().registry.hear(now, &instance);
        }
        if taken != Taken::Known {
            info!(self.state.log, "announcement"; "instance" => &instance.id,
                "phase" => phase.as_str_name(), "incarnation" => instance.incarnation,
                "sequence" => instance.sequence, "outcome" => format!("{taken:?}"));
        }
        if taken == Taken::Stale || self.state.tables.registry().holds(&instance) {
            return Ok(());
        }
        let desk = self.clone();
        if phase == Phase::Ready {
            // What fails is told again with the next announcement.
            tokio::spawn(async move { desk.register(instance).await });
            return Ok(());
        }
        if desk.register(instance).await {
            Ok(())
        } else {
            Err(DeskError::NoMajority)
        }
    }

    async fn register(&self, instance: Instance) -> bool {
        let (id, phase) = (instance.id.clone(), instance.phase());
        let taken = self.state.tables.register(instance).await;
        info!(self.state.log, "announcement in the log"; "instance" => id,
            "phase" => phase.as_str_name(), "outcome" => taken);
        taken
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

    /// Asks that nothing more be sent to the upstreams of a failure domain, or takes that
    /// back. What is in force already is acknowledged again.
    ///
    /// # Errors
    ///
    /// Fails when no majority took it in time, and it may be taken later then unless another
    /// order comes first; when another order came first; when too many domains were named.
    pub async fn evacuate(&self, domain: &DomainName, evacuated: bool) -> Result<(), DeskError> {
        let tables = &self.state.tables;
        let outcome = tables.evacuate(domain, evacuated, READ_TIMEOUT).await;
        let word = outcome.map_or("no-majority", |outcome| outcome.as_str_name());
        info!(self.state.log, "evacuation asked"; "domain" => %domain, "evacuated" => evacuated,
            "outcome" => word);
        match outcome {
            Some(Outcome::Taken | Outcome::Held) => Ok(()),
            Some(Outcome::Overtaken) => Err(DeskError::Overtaken(domain.clone())),
            Some(Outcome::Refused) => Err(DeskError::Domain(domain.clone())),
            Some(Outcome::Unspecified) | None => Err(DeskError::NoMajority),
        }
    }

    /// The evacuated failure domains, as a majority confirms them.
    ///
    /// # Errors
    ///
    /// Fails when no majority answers in time.
    pub async fn evacuations(&self) -> Result<Arc<Domains>, DeskError> {
        let found = self.state.tables.evacuations(READ_TIMEOUT).await;
        found.ok_or(DeskError::NoMajority)
    }

    /// Addresses of entry hosts for a caller, and how long it may keep them; none
    /// when none is known to be ready.
    #[must_use]
    pub fn resolve(&self, name: &str, domain: &str, region: &str) -> (Vec<String>, Duration) {
        let now = self.state.clock.now();
        let known = self.state.known();
        let hosts = known.entries.list(now);
        let addresses = place::nearest(&hosts, name, domain, region, self.state.settings.spread);
        (addresses, known.ttl.unwrap_or(self.state.settings.ttl))
    }

    /// The hub's log, for those who bring in what it is asked.
    pub fn log(&self) -> &Logger {
        &self.state.log
    }

    /// The announced upstreams, those that left lately included, in the order of
    /// their ids.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        self.state.known().registry.all().cloned().collect()
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
}
