//! The parts of a run, each of which measures one role and returns rows.

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

use crate::fault::MeasureError;
use crate::row::Row;

/// A part of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Part {
    /// Choosing an upstream.
    Choice,
    /// Logging a line.
    Lines,
    /// Records of the ledger.
    Ledger,
    /// Calls through a gateway.
    Gateway,
    /// Memory and idle load of a gateway.
    Held,
    /// Idle directories, and callers' queries.
    Directory,
    /// Distribution of a catalogue change to every host.
    Change,
    /// Control replicas.
    Control,
    /// The operator's client.
    Operator,
}

impl Part {
    /// Whether the part measures the processor time of the main process.
    pub fn needs_own_process_time(self) -> bool {
        matches!(self, Self::Choice | Self::Lines | Self::Operator)
    }

    /// Whether the part runs in the first of two lanes, which take about the same time.
    pub fn is_in_first_lane(self) -> bool {
        matches!(
            self,
            Self::Ledger | Self::Gateway | Self::Change | Self::Control
        )
    }

    /// Runs the part's measurements.
    ///
    /// # Errors
    ///
    /// Fails if a role can't run.
    pub async fn run(self) -> Result<Vec<Row>, MeasureError> {
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
