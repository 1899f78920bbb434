//! Parts of a service that is too large for one dispatcher.
//!
//! [`Division`] divides the instances by failure domain and, within one, by rendezvous hashing
//! over the numbers of the parts, and names the dispatcher of each part. [`home()`] is the part
//! that a process asks first, and [`PartChooser`] decides which one to ask by the load that the
//! dispatchers report. Processes with the same lists agree without communication.

pub mod chooser;
pub mod division;
pub mod home;

pub use chooser::PartChoice;
pub use chooser::PartChooser;
pub use chooser::PartLoad;
pub use chooser::PartReason;
pub use division::Division;
pub use division::Member;
pub use division::Part;
pub use division::PartId;
pub use division::Process;
pub use home::home;
