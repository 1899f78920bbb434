//! Names of the HTTP headers exchanged with callers and upstreams.

/// Name of the requested service; required.
pub const SERVICE: &str = "rwr-service";
/// Time until the deadline in milliseconds; forwarded with the remaining time.
pub const DEADLINE: &str = "rwr-deadline-ms";
/// Name of the caller.
pub const CALLER: &str = "rwr-caller";
/// Idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// End-to-end ID of a request; upstreams echo it at least in refusals.
pub const REQUEST_ID: &str = "rwr-request-id";
/// To an upstream: name of the caller's workspace, where the route table has workspaces.
pub const WORKSPACE: &str = "rwr-workspace";
/// Number of the attempt, starting at 1.
pub const ATTEMPT: &str = "rwr-attempt";
/// Nesting depth of the call; 0 at the edge.
pub const DEPTH: &str = "rwr-depth";
/// On a request that one gateway sends on to another: the caller's address. It isn't sent on again.
pub const HOP: &str = "rwr-hop";
/// On a response: a lower level has already used extra attempts or failed, so no level above
/// retries the request.
///
/// An upstream that makes nested calls copies this header from their responses to its own.
pub const RETRIED: &str = "rwr-retried";
/// On a response that was not produced by the upstream: `not-run` or `unknown`.
pub const OUTCOME: &str = "rwr-outcome";
/// Fixed identifier of the reason for a refusal or failure.
pub const REASON: &str = "rwr-reason";
/// On an upstream's response that names the request: the upstream refused it before any work.
pub const SHED: &str = "rwr-shed";
/// On an upstream's response with status 503 or 429: seconds, as a decimal number, during which the
/// instance takes nothing from the process that sent the request.
pub const RETRY_AFTER: &str = "retry-after";
/// On an upstream's response, other than `0`: the instance is shutting down, and takes nothing more.
pub const LEAVING: &str = "rwr-leaving";
/// The only instance and incarnation that may run the request, as `id:incarnation`.
pub const EXPECTED_INSTANCE: &str = "rwr-only";
/// On an upstream's response: the instance and incarnation that sent it, as `id:incarnation`.
pub const INSTANCE: &str = "rwr-instance";
/// On an upstream's health check response: milliseconds for which the instance stays cold.
pub const COLD: &str = "rwr-cold-ms";
/// On an upstream's response: number of requests in flight and of slots, as `in-flight/slots`.
pub const LOAD: &str = "rwr-load";
/// On an upstream's response: the requests per second that the instance takes from all processes
/// together, as a decimal number, for as long as it says so.
pub const LIMIT: &str = "rwr-limit";
