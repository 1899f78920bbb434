//! Quotas of workspaces, summed over all entry processes.
//!
//! A workspace's rate and burst are divided among the failure domains. In each of them one
//! process, the holder, holds the domain's token bucket ([`Holder`]); the first by rendezvous
//! hashing among the processes that the hubs list ([`Lists`], [`Domains`]). A process acquires a
//! permit for each request that it takes, in batches ([`Batch`]). Holders transfer tokens to each
//! other, fractions included; tokens are deducted before they are sent.
//!
//! All types are state machines without I/O; the time is an argument.

pub mod batch;
pub mod bound;
pub mod bucket;
pub mod domains;
pub mod donors;
pub mod holder;
pub mod limit;
pub mod lists;
pub mod tokens;

pub use batch::Answer;
pub use batch::Batch;
pub use batch::Verdict;
pub use bound::Bound;
pub use bucket::Bucket;
pub use domains::Domains;
pub use domains::Member;
pub use donors::Donors;
pub use holder::Acquired;
pub use holder::Holder;
pub use holder::Level;
pub use limit::Limit;
pub use limit::Shares;
pub use lists::Lists;
pub use tokens::Tokens;
