//! Names of the header fields that callers, hosts and targets exchange.

/// Time the caller gives the request, in milliseconds, from its arrival at the host.
pub const TIMEOUT: &str = "dunlinrock-timeout-ms";
/// Key of a request that may not be repeated: the binding's prefix, a dot, a nonce.
pub const KEY: &str = "idempotency-key";
/// Earlier attempts of the key, at either host: `owner=N, witness=N`.
pub const ATTEMPTS: &str = "dunlinrock-attempts";
/// Name of the caller, for fair shares.
pub const CALLER: &str = "dunlinrock-caller";
/// Id of the request in answers and logs.
pub const REQUEST: &str = "dunlinrock-request";

/// Address of the caller, between hosts.
pub const CLIENT: &str = "dunlinrock-client";
/// What a host's answer to another host is: a target's `answer`, or a `problem`.
pub const OUTCOME: &str = "dunlinrock-outcome";
/// Hand-overs between hosts so far.
pub const HOPS: &str = "dunlinrock-hops";
/// Hash that tells a request from others, between hosts.
pub const FINGERPRINT: &str = "dunlinrock-fingerprint";
/// Hash of the kind of work, between hosts.
pub const KIND: &str = "dunlinrock-kind";
/// `1` where the request may be run more than once, between hosts.
pub const RETRY_SAFE: &str = "dunlinrock-retry-safe";

/// Id of the request, towards targets.
pub const REQUEST_ID: &str = "request-id";
/// Time left for the request, towards targets, in milliseconds.
pub const REQUEST_TIMEOUT: &str = "request-timeout-ms";
/// A target's load, in its answers: `busy/slots;leaving;cold`.
pub const TARGET_LOAD: &str = "target-load";
/// Present on a target's refusal: the request was not run.
pub const TARGET_SHED: &str = "target-shed";
