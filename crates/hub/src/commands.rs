//! Commands and queries of upstreams, operators and callers, independent of the protocol.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use conf::ConfError;
use control::ReadError;
use evacuation::EvacuationState;
use evacuation::Outcome;
use quick_error::quick_error;
use registry::AnnouncementError;
use registry::ApplyOutcome;
use slog::Logger;
use slog::info;
use slog::warn;
use table::CodecError;
use table::Fault;
use table::Table;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::hub::TableReply;

use crate::registrar::Registrar;
use crate::settings::Settings;
use crate::state::State;

/// How long a read or an evacuation waits for a majority. Operators wait one second.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

quick_error! {
    /// Errors of a command.
    #[derive(Debug)]
    pub enum CommandError {
        /// No majority of the hubs answered within the timeout.
        NoMajority {
            display("no majority of the hubs answered in time; retry or ask another hub")
        }
        /// Another order on the failure domain was accepted first.
        Overtaken(domain: DomainName) {
            display("another order on failure domain {domain} was accepted first; retry")
        }
        /// The order names a new failure domain, and the maximum number is stored already.
        TooManyDomains(domain: DomainName) {
            display("failure domain {domain}: the limit of {} domains with evacuation orders is reached",
                evacuation::state::MAX_DOMAINS)
        }
        /// No route table was accepted yet.
        NoTable {
            display("no route table was accepted yet")
        }
        /// The route table is invalid.
        InvalidTable(faults: Vec<Fault>) {
            display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
        /// The announcement is invalid.
        InvalidAnnouncement(err: AnnouncementError) {
            from()
            source(err)
            display("{err}")
        }
        /// The route table can't be encoded or decoded.
        Codec(err: CodecError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// A proposed route table.
#[derive(Clone, Debug)]
pub struct TableUpdate {
    /// The table; validated when it is proposed.
    pub table: Table,
    /// The operator's document, returned unchanged on reads.
    pub source: Vec<u8>,
}

/// Handles the commands and queries that a hub receives.
#[derive(Clone)]
pub struct CommandHandler {
    state: Arc<State>,
    registrar: Registrar,
}

impl CommandHandler {
    pub(crate) fn new(state: Arc<State>) -> Self {
        let registrar = Registrar::start(&state);
        Self { state, registrar }
    }

    /// Applies an announcement of an instance.
    ///
    /// Watchers of this hub are notified at once if the instance leaves, and by the next expiry check
    /// otherwise; the other hubs through the log. Announcements that an instance drains or is gone
    /// are acknowledged only once they are in the log, as the acknowledgement binds all hubs.
    ///
    /// # Errors
    ///
    /// Fails if the announcement is invalid, or if an announcement that has to be in the log
    /// didn't get there in time.
    pub async fn announce(&self, instance: Instance) -> Result<(), CommandError> {
        if let Err(err) = registry::check(&instance) {
            warn!(self.state.log, "announcement refused"; "instance" => &instance.id,
                "error" => %err);
            return Err(err.into());
        }
        let phase = instance.phase();
        let outcome = self.state.apply([&instance]);
        if outcome == ApplyOutcome::Changed && phase != Phase::Ready {
            self.state.publish_cursor();
        }
        if phase != Phase::Gone {
            // Watchers learn of renewed leases and ready instances from the next expiry check, all at
            // once: after a restart, a notification for each would wake hundreds of watchers each time.
            let now = self.state.clock.now();
            self.state.lock().registry.renew_lease(now, &instance);
        }
        if outcome != ApplyOutcome::Known {
            info!(self.state.log, "announcement"; "instance" => &instance.id,
                "phase" => phase.as_str_name(), "incarnation" => instance.incarnation,
                "sequence" => instance.sequence, "outcome" => format!("{outcome:?}"));
        }
        if outcome == ApplyOutcome::Stale || self.state.tables.registry().is_known(&instance) {
            return Ok(());
        }
        if phase == Phase::Ready {
            self.registrar.queue(&self.state, instance);
            return Ok(());
        }
        if self.registrar.register(&self.state, instance).await {
            Ok(())
        } else {
            Err(self.no_majority("announcement"))
        }
    }

    /// Logs that a command got no answer of a majority, with the leader that this hub knows (0:
    /// none). The replica's own lines say why there is none.
    fn no_majority(&self, command: &'static str) -> CommandError {
        let leader = self.state.tables.leader().unwrap_or_default();
        warn!(self.state.log, "no majority"; "command" => command, "leader" => leader);
        CommandError::NoMajority
    }

    /// Proposes a route table.
    ///
    /// # Errors
    ///
    /// Fails if the table is invalid, or if no majority accepted it in time; in the latter case
    /// it may still be accepted later.
    pub async fn put(&self, update: TableUpdate) -> Result<TableReply, CommandError> {
        let version = update.table.version;
        let faults = table::check(&update.table);
        if !faults.is_empty() {
            warn!(self.state.log, "route table refused"; "version" => version,
                "faults" => faults.len(), "first" => %faults[0]);
            return Err(CommandError::InvalidTable(faults));
        }
        let table = wire::hub::Table {
            version,
            content: table::codec::encode(&update.table)?.into(),
            source: update.source.into(),
        };
        let reply = self.state.tables.put(table).await;
        let outcome = reply.map_or("no-majority", |reply| reply.outcome().as_str_name());
        info!(self.state.log, "route table proposed"; "version" => version, "outcome" => outcome);
        reply.ok_or_else(|| self.no_majority("route table"))
    }

    /// Reads the newest route table, confirmed by a majority.
    ///
    /// # Errors
    ///
    /// Fails if there is none yet or no majority answers in time.
    pub async fn read(&self) -> Result<Arc<wire::hub::Table>, CommandError> {
        match self.state.tables.read(READ_TIMEOUT).await {
            Ok(newest) => newest.ok_or(CommandError::NoTable),
            Err(ReadError::NoMajority) => Err(self.no_majority("read")),
        }
    }

    /// Starts or ends the evacuation of a failure domain: no requests are sent to its instances
    /// while it lasts. An order that is already in force is acknowledged again.
    ///
    /// # Errors
    ///
    /// Fails if no majority accepted the order in time, in which case it may still be accepted
    /// later unless another order comes first; if another order came first; or if there are
    /// too many domains with orders.
    pub async fn evacuate(&self, domain: &DomainName, evacuated: bool) -> Result<(), CommandError> {
        let tables = &self.state.tables;
        let outcome = tables.evacuate(domain, evacuated, READ_TIMEOUT).await;
        let outcome_text = outcome.map_or("no-majority", |outcome| outcome.as_str_name());
        info!(self.state.log, "evacuation requested"; "domain" => %domain, "evacuated" => evacuated,
            "outcome" => outcome_text);
        match outcome {
            Some(Outcome::Taken | Outcome::Held) => Ok(()),
            Some(Outcome::Overtaken) => Err(CommandError::Overtaken(domain.clone())),
            Some(Outcome::Refused) => Err(CommandError::TooManyDomains(domain.clone())),
            Some(Outcome::Unspecified) | None => Err(self.no_majority("evacuation")),
        }
    }

    /// Reads the evacuated failure domains, confirmed by a majority.
    ///
    /// # Errors
    ///
    /// Fails if no majority answers in time.
    pub async fn evacuations(&self) -> Result<Arc<EvacuationState>, CommandError> {
        let state = self.state.tables.evacuations(READ_TIMEOUT).await;
        state.ok_or_else(|| self.no_majority("read of evacuations"))
    }

    /// Addresses of entry hosts for a caller and how long the caller may cache them; no
    /// addresses if no entry host is ready.
    #[must_use]
    pub fn resolve(&self, name: &str, domain: &str, region: &str) -> (Vec<String>, Duration) {
        let now = self.state.clock.now();
        let inner = self.state.lock();
        let hosts = inner.entries.list(now);
        let addresses = place::nearest(&hosts, name, domain, region, self.state.settings.spread);
        (addresses, inner.ttl.unwrap_or(self.state.settings.ttl))
    }

    /// The logger of the hub.
    pub fn log(&self) -> &Logger {
        &self.state.log
    }

    /// The announced instances in the order of their ids, including those removed recently.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        self.state.lock().registry.all().cloned().collect()
    }

    /// Applies reloaded settings. Only the TTL takes effect without a restart.
    pub fn reload(&self, reloaded: Result<Settings, ConfError>) {
        match reloaded {
            Ok(settings) => {
                let reloadable = self.state.settings.can_reload(&settings);
                info!(self.state.log, "settings reloaded";
                    "ttl_ms" => settings.ttl.as_millis(), "restart_needed" => !reloadable);
                self.state.lock().ttl = Some(settings.ttl);
            }
            Err(err) => warn!(self.state.log, "settings not reloaded"; "error" => %err),
        }
    }
}
