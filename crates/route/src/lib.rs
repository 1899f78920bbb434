//! Chooses the upstream instance that a request is sent to.
//!
//! [`Chooser`] is the gateway's load balancing policy for one service,
//! [`ProbingChooser`] that of an entry process, which probes instances before
//! each choice. Both are state machines without I/O: the instance table, starts
//! and ends of attempts and probe results go in together with the current time,
//! a [`Choice`] or a [`Decision`] comes out.
//!
//! An attempt takes [`Chooser::choose`], [`Chooser::started`] and, whatever its
//! outcome, [`Chooser::finished`] with the ticket. [`Chooser::probe`] names the
//! instance to probe next; the caller enforces the probe budget.

mod backoff;
pub mod chooser;
pub mod cost;
mod decay;
mod entry;
mod external_load;
mod health;
pub mod instance;
pub mod outcome;
pub mod policy;
pub mod probing;
pub mod view;
mod work_time;

pub use chooser::Chooser;
pub use cost::DomainIndex;
pub use cost::Evidence;
pub use cost::Need;
pub use instance::Instance;
pub use instance::Phase;
pub use instance::Pick;
pub use instance::ReportedInstance;
pub use instance::Ticket;
pub use outcome::LoadReport;
pub use outcome::Outcome;
pub use outcome::OutcomeKind;
pub use outcome::ProbeResult;
pub use outcome::Report;
pub use policy::Choice;
pub use policy::Policy;
pub use policy::Reason;
pub use policy::Settings;
pub use probing::COLD_WINDOW;
pub use probing::Decision;
pub use probing::ProbingChooser;
pub use probing::Scope;
pub use probing::ScoredChoice;
pub use view::View;
