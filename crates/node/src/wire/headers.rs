//! Names of the header fields that callers, hosts and targets exchange.

/// Time limit of the request, set by the caller, in milliseconds from its arrival at the host.
pub const TIMEOUT: &str = "dunlinrock-timeout-ms";
/// Key of a request that is not idempotent: the prefix of the binding, a dot, a nonce.
pub const KEY: &str = "idempotency-key";
/// Number of earlier attempts of the key, at each of its two hosts: `owner=N, witness=N`.
pub const ATTEMPTS: &str = "dunlinrock-attempts";
/// Name of the caller, for fair sharing between callers.
pub const CALLER: &str = "dunlinrock-caller";
/// Id of the request in responses and logs.
pub const REQUEST: &str = "dunlinrock-request";

/// Address of the caller, between hosts.
pub const CLIENT: &str = "dunlinrock-client";
/// Kind of a host's response to another host: `answer` for a target's response, or `problem`.
pub const OUTCOME: &str = "dunlinrock-outcome";
/// Number of hops between hosts so far.
pub const HOPS: &str = "dunlinrock-hops";
/// Hash that identifies a request, between hosts.
pub const FINGERPRINT: &str = "dunlinrock-fingerprint";
/// Hash of the kind of work, between hosts.
pub const KIND: &str = "dunlinrock-kind";
/// `1` if the request is idempotent, between hosts.
pub const RETRY_SAFE: &str = "dunlinrock-retry-safe";

/// Id of the request, sent to targets.
pub const REQUEST_ID: &str = "request-id";
/// Remaining time of the request, sent to targets, in milliseconds.
pub const REQUEST_TIMEOUT: &str = "request-timeout-ms";
/// Load of a target, in its responses: `busy/slots;leaving;cold`.
pub const TARGET_LOAD: &str = "target-load";
/// Present on a response that sheds a request: the target did not run it.
pub const TARGET_SHED: &str = "target-shed";
