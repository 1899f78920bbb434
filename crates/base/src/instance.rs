//! Identification of instances.

use crate::name::InstanceId;

/// One run of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceRun {
    /// The instance.
    pub instance: InstanceId,
    /// Increases with each start of an instance with the same id.
    pub incarnation: u64,
}
