//! The state machine of the replicated log: the catalogue, the ledger, the route table, the
//! announced instances and the evacuations.

use std::cmp::Ordering;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use catalogue::State as CatalogueState;
use catalogue::state::RestoreError as CatalogueError;
use evacuation::EvacuationState;
use evacuation::StateError;
use ledger::Ledger;
use ledger::Limits;
use ledger::Reply;
use ledger::RestoreError as LedgerError;
use prost::Message;
use quick_error::quick_error;
use registry::Registry;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::hub::EvacuationReply;
use wire::hub::Instance;
use wire::hub::Phase;
use wire::hub::Table;
use wire::hub::TableOutcome;
use wire::hub::TableReply;
use wire::ledger::ClaimReply;
use wire::ledger::SettleReply;
use wire::replica::Command;
use wire::replica::State;
use wire::replica::command::Kind;

quick_error! {
    /// Why an entry or a snapshot cannot be applied. The replica then stops.
    #[derive(Debug)]
    pub enum StateMachineError {
        /// The bytes cannot be decoded as a message.
        Decode(err: prost::DecodeError) {
            from()
            source(err)
            display("log entry: {err}")
        }
        /// The catalogue of a snapshot cannot be restored.
        Catalogue(err: CatalogueError) {
            from()
            source(err)
            display("snapshot of the catalogue: {err}")
        }
        /// The ledger of a snapshot cannot be restored.
        Ledger(err: LedgerError) {
            from()
            source(err)
            display("snapshot of the ledger: {err}")
        }
        /// The evacuations of a snapshot cannot be restored.
        Evacuations(err: StateError) {
            from()
            source(err)
            display("snapshot of evacuations: {err}")
        }
        /// The command has a kind that this version does not know.
        Kind {
            display("log entry: unknown command kind")
        }
    }
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Result of a catalogue change.
    Change {
        /// Id of the change.
        id: String,
        /// The reply to the operator.
        reply: ChangeReply,
    },
    /// Result of a ledger claim.
    Claim(ClaimReply),
    /// Result of a ledger settlement.
    Settle(SettleReply),
    /// Expired ledger records were removed.
    Expire,
    /// Result of a route table.
    Table(TableReply),
    /// An instance announcement was applied.
    Instance,
    /// Result of an order to evacuate a failure domain or to end its evacuation.
    Evacuation {
        /// Name of the domain.
        domain: String,
        /// Whether the order asks for an evacuation, or for its end.
        evacuated: bool,
        /// The reply to the operator.
        reply: EvacuationReply,
    },
}

/// The state machine, with all state that is applied from the log.
#[derive(Clone, Debug)]
pub struct StateMachine {
    catalogue_state: CatalogueState,
    ledger: Ledger,
    table: Option<Arc<Table>>,
    registry: Arc<Registry>,
    evacuations: Arc<EvacuationState>,
}

impl Default for StateMachine {
    fn default() -> Self {
        Self {
            catalogue_state: CatalogueState::default(),
            ledger: Ledger::new(Limits::default()),
            table: None,
            registry: Arc::default(),
            evacuations: Arc::default(),
        }
    }
}

impl StateMachine {
    /// Restores the state from the bytes of [`StateMachine::snapshot`]. Without any bytes the
    /// state is empty.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are not a valid snapshot.
    pub fn restore(data: &Bytes) -> Result<Self, StateMachineError> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        let state = State::decode(data.clone())?;
        let catalogue_state = state.catalogue.unwrap_or_default();
        let ledger = state.ledger.unwrap_or_default();
        let evacuations = state.evacuations.unwrap_or_default();
        Ok(Self {
            catalogue_state: CatalogueState::restore(
                catalogue::history::RetentionLimits::default(),
                &catalogue_state,
            )?,
            ledger: Ledger::restore(Limits::default(), &ledger)?,
            table: state.table.map(Arc::new),
            registry: Arc::new(restore_registry(state.instances)),
            evacuations: Arc::new(EvacuationState::from_wire(&evacuations)?),
        })
    }

    /// Encodes the whole state; equal states give equal bytes.
    #[must_use]
    pub fn snapshot(&self) -> Bytes {
        let state = State {
            catalogue: Some(self.catalogue_state.snapshot()),
            ledger: Some(self.ledger.snapshot()),
            table: self.table.as_deref().cloned(),
            instances: self.registry.all().cloned().collect(),
            evacuations: Some(self.evacuations.to_wire()).filter(|e| e.revision > 0),
        };
        state.encode_to_vec().into()
    }

    /// Applies a command of the log.
    ///
    /// # Errors
    ///
    /// Fails on a command that cannot be decoded or has an unknown kind.
    pub fn apply(&mut self, data: &Bytes) -> Result<Output, StateMachineError> {
        let command = Command::decode(data.clone())?;
        match command.kind.ok_or(StateMachineError::Kind)? {
            Kind::Change(change) => Ok(Output::Change {
                reply: self.catalogue_state.apply(&change),
                id: change.id,
            }),
            Kind::Ledger(inner) => Ok(match self.ledger.apply(command.now_ms, &inner) {
                Reply::Claim(reply) => Output::Claim(reply),
                Reply::Settle(reply) => Output::Settle(reply),
                Reply::Expire => Output::Expire,
            }),
            Kind::Table(table) => Ok(Output::Table(self.apply_table(table))),
            Kind::Instance(instance) => Ok(self.apply_announcements(command.now_ms, [instance])),
            Kind::Instances(instances) => {
                Ok(self.apply_announcements(command.now_ms, instances.rows))
            }
            Kind::Evacuation(order) => {
                let outcome = Arc::make_mut(&mut self.evacuations).apply(&order);
                Ok(Output::Evacuation {
                    domain: order.domain,
                    evacuated: order.evacuated,
                    reply: EvacuationReply {
                        outcome: outcome.into(),
                    },
                })
            }
        }
    }

    /// The version of the route table that a command proposes, if it proposes one.
    ///
    /// # Errors
    ///
    /// Fails on a command that cannot be decoded.
    pub fn proposed_table(data: &Bytes) -> Result<Option<u64>, StateMachineError> {
        let command = Command::decode(data.clone())?;
        Ok(match command.kind {
            Some(Kind::Table(table)) => Some(table.version),
            _ => None,
        })
    }

    /// Whether a command changes what is in force for entry processes: the route table, the
    /// evacuations, or an instance that drains or is gone. One that can't be decoded may.
    #[must_use]
    pub fn is_binding(data: &Bytes) -> bool {
        let leaves = |instance: &Instance| instance.phase() != Phase::Ready;
        let kind = Command::decode(data.clone()).map(|command| command.kind);
        match kind {
            Ok(Some(Kind::Change(_) | Kind::Ledger(_))) => false,
            Ok(Some(Kind::Instance(instance))) => leaves(&instance),
            Ok(Some(Kind::Instances(instances))) => instances.rows.iter().any(leaves),
            Ok(Some(Kind::Table(_) | Kind::Evacuation(_)) | None) | Err(_) => true,
        }
    }

    fn apply_announcements(
        &mut self,
        now_ms: u64,
        instances: impl IntoIterator<Item = Instance>,
    ) -> Output {
        let now = Moment::from_millis(now_ms);
        // Copied once for all of them if a reader has the previous state.
        let registry = Arc::make_mut(&mut self.registry);
        for instance in instances {
            registry.apply(now, instance);
        }
        Output::Instance
    }

    /// Keeps `table` if it is the first one or has a higher version; the first content under a
    /// version is kept.
    fn apply_table(&mut self, table: Table) -> TableReply {
        let outcome = table_outcome(self.table.as_deref(), &table);
        let version = match &self.table {
            Some(current) if outcome != TableOutcome::Taken => current.version,
            _ => self.table.insert(Arc::new(table)).version,
        };
        TableReply {
            outcome: outcome.into(),
            version,
        }
    }

    /// The reply to a proposed route table that is already decided, as the applied one isn't older.
    /// The applied table is committed and never replaced by an older one.
    #[must_use]
    pub fn known_table(&self, proposed: &Table) -> Option<TableReply> {
        let current = self.table.as_ref()?;
        let outcome = table_outcome(Some(current), proposed);
        (outcome != TableOutcome::Taken).then(|| TableReply {
            outcome: outcome.into(),
            version: current.version,
        })
    }

    /// The announced upstream instances.
    #[must_use]
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// The current route table; `None` until the first one is applied, whatever its version.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// The evacuated failure domains.
    #[must_use]
    pub fn evacuations(&self) -> &Arc<EvacuationState> {
        &self.evacuations
    }

    /// The reply to a change that is already known and so needs no log entry.
    #[must_use]
    pub fn known(&self, change: &Change) -> Option<ChangeReply> {
        self.catalogue_state.immediate_reply(change)
    }

    /// The catalogue and its history.
    #[must_use]
    pub fn catalogue_state(&self) -> &CatalogueState {
        &self.catalogue_state
    }

    /// The ledger.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

/// Restores the registry from the instances of a snapshot.
fn restore_registry(instances: Vec<Instance>) -> Registry {
    let mut registry = Registry::default();
    for instance in instances {
        registry.apply(Moment::ZERO, instance);
    }
    registry
}

/// The outcome of applying `next` over `current`.
fn table_outcome(current: Option<&Table>, next: &Table) -> TableOutcome {
    let Some(current) = current else {
        return TableOutcome::Taken;
    };
    match next.version.cmp(&current.version) {
        Ordering::Greater => TableOutcome::Taken,
        Ordering::Less => TableOutcome::Older,
        Ordering::Equal if next.content == current.content => TableOutcome::Held,
        Ordering::Equal => TableOutcome::Differs,
    }
}
