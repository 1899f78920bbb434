//! What the log drives: the catalogue and the ledger, applied in one order.

use std::cmp::Ordering;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use catalogue::State as Book;
use catalogue::state::RestoreError as BookError;
use evacuation::Domains;
use evacuation::StateError;
use ledger::Bounds;
use ledger::Ledger;
use ledger::Reply;
use ledger::RestoreError as LedgerError;
use prost::Message;
use quick_error::quick_error;
use registry::Registry;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::hub::EvacuationReply;
use wire::hub::Instance;
use wire::hub::Table;
use wire::hub::TableOutcome;
use wire::hub::TableReply;
use wire::ledger::ClaimReply;
use wire::ledger::SettleReply;
use wire::replica::Command;
use wire::replica::State;
use wire::replica::command::Kind;

quick_error! {
    /// Why what the log holds can't be applied; the replica then stops.
    #[derive(Debug)]
    pub enum StateMachineError {
        /// Bytes aren't a message.
        Decode(err: prost::DecodeError) {
            from()
            source(err)
            display("log entry: {err}")
        }
        /// The snapshot's catalogue.
        Book(err: BookError) {
            from()
            source(err)
            display("snapshot of the catalogue: {err}")
        }
        /// The snapshot's ledger.
        Ledger(err: LedgerError) {
            from()
            source(err)
            display("snapshot of the ledger: {err}")
        }
        /// The snapshot's evacuations.
        Evacuations(err: StateError) {
            from()
            source(err)
            display("snapshot of evacuations: {err}")
        }
        /// A command of a kind that this version doesn't know.
        Kind {
            display("log entry: a command of unknown kind")
        }
    }
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Of a change.
    Change {
        /// The change's id.
        id: String,
        /// What its operator is told.
        reply: ChangeReply,
    },
    /// Of a claim.
    Claim(ClaimReply),
    /// Of a settlement.
    Settle(SettleReply),
    /// Of the passing of time.
    Expire,
    /// Of a route table.
    Table(TableReply),
    /// Of an announcement.
    Instance,
    /// Of an operator's order on a failure domain.
    Evacuation {
        /// The domain.
        domain: String,
        /// Whether it was to be evacuated.
        evacuated: bool,
        /// What its operator is told.
        reply: EvacuationReply,
    },
}

/// The applied state.
#[derive(Clone, Debug)]
pub struct StateMachine {
    book: Book,
    ledger: Ledger,
    table: Arc<Table>,
    registry: Arc<Registry>,
    evacuations: Arc<Domains>,
}

impl Default for StateMachine {
    fn default() -> Self {
        Self {
            book: Book::default(),
            ledger: Ledger::new(Bounds::default()),
            table: Arc::default(),
            registry: Arc::default(),
            evacuations: Arc::default(),
        }
    }
}

impl StateMachine {
    /// Reads what [`Machine::snapshot`] gave; nothing is the empty state.
    ///
    /// # Errors
    ///
    /// Fails on bytes that no state writes.
    pub fn restore(data: &Bytes) -> Result<Self, StateMachineError> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        let state = State::decode(data.clone())?;
        let book = state.catalogue.unwrap_or_default();
        let ledger = state.ledger.unwrap_or_default();
        let evacuations = state.evacuations.unwrap_or_default();
        Ok(Self {
            book: Book::restore(catalogue::history::Window::default(), &book)?,
            ledger: Ledger::restore(Bounds::default(), &ledger)?,
            table: Arc::new(state.table.unwrap_or_default()),
            registry: Arc::new(restored(state.instances)),
            evacuations: Arc::new(Domains::from_wire(&evacuations)?),
        })
    }

    /// The whole state; equal states give equal bytes.
    #[must_use]
    pub fn snapshot(&self) -> Bytes {
        let state = State {
            catalogue: Some(self.book.snapshot()),
            ledger: Some(self.ledger.snapshot()),
            table: Some((*self.table).clone()).filter(|table| table.version > 0),
            instances: self.registry.all().cloned().collect(),
            evacuations: Some(self.evacuations.to_wire()).filter(|e| e.revision > 0),
        };
        state.encode_to_vec().into()
    }

    /// Applies one command of the log.
    ///
    /// # Errors
    ///
    /// Fails on what no leader of this version proposes.
    pub fn apply(&mut self, data: &Bytes) -> Result<Output, StateMachineError> {
        let command = Command::decode(data.clone())?;
        match command.kind.ok_or(StateMachineError::Kind)? {
            Kind::Change(change) => Ok(Output::Change {
                reply: self.book.apply(&change),
                id: change.id,
            }),
            Kind::Ledger(inner) => Ok(match self.ledger.apply(command.now_ms, &inner) {
                Reply::Claim(reply) => Output::Claim(reply),
                Reply::Settle(reply) => Output::Settle(reply),
                Reply::Expire => Output::Expire,
            }),
            Kind::Table(table) => Ok(Output::Table(self.take_table(table))),
            Kind::Instance(instance) => {
                let now = Moment::from_millis(command.now_ms);
                Arc::make_mut(&mut self.registry).take(now, instance);
                Ok(Output::Instance)
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

    /// The highest version wins, and the first content under a version.
    fn take_table(&mut self, table: Table) -> TableReply {
        let outcome = compare(&self.table, &table);
        if outcome == TableOutcome::Taken {
            self.table = Arc::new(table);
        }
        TableReply {
            outcome: outcome.into(),
            version: self.table.version,
        }
    }

    /// The announced upstreams.
    #[must_use]
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// The route table in force; version 0 before the first.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The failure domains to which nothing is sent.
    #[must_use]
    pub fn evacuations(&self) -> &Arc<Domains> {
        &self.evacuations
    }

    /// The answer to a change that needs no log entry.
    #[must_use]
    pub fn known(&self, change: &Change) -> Option<ChangeReply> {
        self.book.known(change)
    }

    /// The catalogue with its history.
    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The ledger.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

/// The registry that a snapshot holds.
fn restored(instances: Vec<Instance>) -> Registry {
    let mut registry = Registry::default();
    for instance in instances {
        registry.take(Moment::ZERO, instance);
    }
    registry
}

/// What `next` would lead to while `held` is in force.
fn compare(held: &Table, next: &Table) -> TableOutcome {
    match next.version.cmp(&held.version) {
        Ordering::Greater => TableOutcome::Taken,
        Ordering::Less => TableOutcome::Older,
        Ordering::Equal if next.content == held.content => TableOutcome::Held,
        Ordering::Equal => TableOutcome::Differs,
    }
}
