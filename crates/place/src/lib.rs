//! Which entry hosts serve the callers of which service.
//!
//! Callers ask first, so the answer itself spreads them. Sending a service's
//! callers to a few gateways in each failure domain lets each of those know
//! more of the service's upstreams, hold fewer connections and probe less.
//! [`placement::Placement`] chooses them by rendezvous hashing with bounded
//! load: every directory that knows the same hosts and services gives the same
//! answer without talking, and a host that comes or goes moves few services.
//! [`answer`] orders the chosen hosts for one caller.

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
pub use rendezvous::score;
