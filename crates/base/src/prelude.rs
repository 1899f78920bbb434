//! Commonly used types.

pub use crate::class::Class;
pub use crate::instance::InstanceRun;
pub use crate::name::CallerName;
pub use crate::name::ChangeId;
pub use crate::name::DomainName;
pub use crate::name::HostName;
pub use crate::name::InstanceId;
pub use crate::name::RegionName;
pub use crate::name::RequestKey;
pub use crate::name::ServiceName;
pub use crate::name::WorkspaceName;
pub use crate::outcome::Outcome;
pub use crate::time::Clock;
pub use crate::time::Moment;
