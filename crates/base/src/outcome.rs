//! Outcomes reported for requests whose response was not produced by the upstream.

use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Whether the request may have run; sent in the [`crate::header::OUTCOME`] header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run: no byte of it was sent to an upstream, or the upstream refused it
    /// before doing any work.
    NotRun,
    /// The request may have run or may still run.
    Unknown,
}
