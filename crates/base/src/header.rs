//! Header names of the callers' and upstreams' contracts.

/// The service that a request is for; required.
pub const SERVICE: &str = "rwr-service";
/// Milliseconds that are left for the answer; passed on with what remains.
pub const DEADLINE: &str = "rwr-deadline-ms";
/// Who calls.
pub const CALLER: &str = "rwr-caller";
/// Key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Names one request end to end; upstreams may echo it.
pub const REQUEST_ID: &str = "rwr-request-id";
/// Number of the attempt at an upstream, from 1.
pub const ATTEMPT: &str = "rwr-attempt";
/// Depth of nested calls, from 0 at the edge.
pub const DEPTH: &str = "rwr-depth";
/// On an answer: extra attempts were spent on it below, or it failed there, so no level above retries it.
///
/// An upstream that calls on passes it from the answers it got to its own answer.
pub const RETRIED: &str = "rwr-retried";
/// On an answer that is not the upstream's own: `not-run` or `unknown`.
pub const OUTCOME: &str = "rwr-outcome";
/// Why the system refused or failed, a short fixed word.
pub const REASON: &str = "rwr-reason";
/// On an upstream's answer: the refusal came before any work.
pub const SHED: &str = "rwr-shed";
/// The one life of an upstream that may run the request, `id:incarnation`.
pub const EXPECTED_INSTANCE: &str = "rwr-only";
/// On an upstream's answer: the life that answers, `id:incarnation`.
pub const INSTANCE: &str = "rwr-instance";
/// On an upstream's health page: milliseconds for which it is cold yet.
pub const COLD: &str = "rwr-cold-ms";
/// On an upstream's answer: requests in flight and slots, `in-flight/slots`.
pub const LOAD: &str = "rwr-load";
