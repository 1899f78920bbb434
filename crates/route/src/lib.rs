//! Chooses the upstream instance that a request goes to.
//!
//! A [`Chooser`] stands for one service at one gateway. It is a plain state
//! machine: the directory's table, starts and ends of attempts and results of
//! probes go in with the time, a [`Choice`] comes out. It knows three things
//! of an instance, each with its age: the gateway's own attempts in flight,
//! the load reports that come back on answers, and results of probes.
//!
//! The way of an attempt is [`Chooser::choose`], [`Chooser::started`] and, in
//! every case, [`Chooser::finished`] with the ticket. Probes are asked for
//! with [`Chooser::probe`]; what they may cost is not decided here.

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
pub use probing::ScoredChoice;
pub use view::View;
