//! Placement of services on entry hosts.
//!
//! Callers first ask which entry hosts to use, so the answers balance the load. Sending a
//! service's callers to a few gateways in each failure domain lets each gateway know more of
//! the service's instances, hold fewer connections and send fewer probes.
//! [`placement::Placement`] selects them by rendezvous hashing with bounded load: directories
//! that know the same hosts and services compute the same result without coordination, and
//! adding or removing a host moves few services. [`answer`] orders the selected hosts for one
//! caller.

pub mod answer;
pub mod nearest;
pub mod placement;
pub mod rendezvous;

pub use answer::order;
pub use nearest::nearest;
pub use placement::Candidate;
pub use placement::Demand;
pub use placement::Placement;
pub use placement::Spread;
pub use rendezvous::rank;
pub use rendezvous::score;
