//! What the system says of a request whose answer is not the upstream's own.

use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Carried in the header [`crate::header::OUTCOME`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Certain: no byte of the request left for an upstream, or the upstream refused before any work.
    NotRun,
    /// It may have run, or may still run.
    Unknown,
}
