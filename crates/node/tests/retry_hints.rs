//! Retry hints of refusals.

use dunlinrock_node::wire::{CallError, ProblemKind};
use rstest::rstest;

/// A host that was catching up refused forwarded requests as not run and without a retry hint, which
/// callers took for final, although other hosts would have served them.
#[rstest]
#[case::not_ready(ProblemKind::NotReady, true)]
#[case::unavailable(ProblemKind::Unavailable, true)]
#[case::unknown_service(ProblemKind::UnknownService, false)]
#[case::malformed(ProblemKind::Malformed, false)]
fn a_refusal_that_may_pass_has_a_retry_hint(#[case] kind: ProblemKind, #[case] passes: bool) {
    let told = CallError::not_run(kind, "refused").problem("r");
    assert_eq!(told.retry_after_ms.is_some(), passes, "{told:?}");
}
