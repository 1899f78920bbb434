//! The parts of a run; each measures one role's slopes and gives rows.

mod change;
mod choice;
mod control;
mod directory;
mod gateway;
mod held;
mod ledger;
mod lines;
mod operator;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::fault::Fault;
use crate::row::Row;

/// A part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Part {
    /// One choice of an upstream.
    Choice,
    /// One line of a log.
    Lines,
    /// Records of the ledger.
    Ledger,
    /// Calls through a gateway.
    Gateway,
    /// What a gateway holds.
    Held,
    /// Directories at rest, and callers' questions.
    Directory,
    /// A change on its way to every host.
    Change,
    /// Control replicas.
    Control,
    /// The operator's client.
    Operator,
}

impl Part {
    /// It reads the processor time of the first process.
    pub fn is_alone(self) -> bool {
        matches!(self, Self::Choice | Self::Lines | Self::Operator)
    }

    /// It belongs to the first of two lanes that take about the same time.
    pub fn is_first(self) -> bool {
        matches!(
            self,
            Self::Ledger | Self::Gateway | Self::Change | Self::Control
        )
    }

    /// Measures.
    ///
    /// # Errors
    ///
    /// Fails when a role can't run.
    pub async fn run(self) -> Result<Vec<Row>, Fault> {
        match self {
            Self::Choice => Ok(choice::run()),
            Self::Lines => lines::run(),
            Self::Ledger => ledger::run().await,
            Self::Gateway => gateway::run().await,
            Self::Held => held::run().await,
            Self::Directory => directory::run().await,
            Self::Change => change::run().await,
            Self::Control => control::run().await,
            Self::Operator => Ok(operator::run()),
        }
    }
}
