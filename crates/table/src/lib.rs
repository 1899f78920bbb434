//! The route table: which requests go to which services, and how they are treated.
//!
//! A table is accepted or refused as a whole, and its version only increases. The host of a
//! request and the longest matching prefix of its path select a route; the route targets a
//! service, or several with weights.

pub mod check;
pub mod codec;
pub mod confirmation;
pub mod file;
pub mod index;
pub mod key;
pub mod model;
pub mod round_robin;
pub mod workspace;

pub use check::Fault;
pub use check::Problem;
pub use check::Subject;
pub use check::check;
pub use codec::CodecError;
pub use confirmation::Confirmation;
pub use index::Index;
pub use key::KeyDigest;
pub use model::Cold;
pub use model::Host;
pub use model::Kind;
pub use model::Limits;
pub use model::Route;
pub use model::Service;
pub use model::Table;
pub use model::Target;
pub use model::WeightedService;
pub use round_robin::WeightedRoundRobin;
pub use workspace::KeyIndex;
pub use workspace::Quota;
pub use workspace::Workspace;
