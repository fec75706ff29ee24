//! Rate limits that hold for all hosts together, in virtual time.

#[allow(unreachable_pub, reason = "an example shares it")]
mod simulation;

use std::time::Duration;

use dunlinrock_admit::direct::{RateLimitConfig, TokenBucket, TokenCache};
use rstest::rstest;
use simulation::{Load, RULES, Results, Strategy, simulate};

const CALM: Load = Load {
    hosts: 91,
    workspaces: 88,
    rate: 1600.0,
    busy: None,
    lowered: None,
    lost: None,
    seed: 1,
};

fn share(results: &Results) -> f64 {
    results.refused as f64 / results.sent as f64
}

/// 88 workspaces over 91 hosts, all below their limits. Most hosts see a request of most workspaces
/// every few seconds, and an equal share of a limit is less than one request.
#[test]
fn tokens_do_not_refuse_a_workspace_that_per_host_shares_refuse() {
    let lent = simulate(Strategy::Lent, &CALM);
    assert!(share(&lent) < 0.01, "{lent:?}");
    for strategy in [Strategy::Equal, Strategy::Demand] {
        let other = simulate(strategy, &CALM);
        assert!(share(&other) > 0.1, "{strategy:?}: {other:?}");
    }
}

/// One workspace, large or small, sends many times its limit.
#[rstest]
fn a_workspace_far_above_its_limit_is_limited(
    #[values(0, 5, 60)] rank: usize,
    #[values(12, 91, 300)] hosts: usize,
) {
    let load = Load {
        busy: Some((rank, 10.0)),
        hosts,
        ..CALM
    };
    let lent = simulate(Strategy::Lent, &load);
    assert!(lent.worst <= 1.0, "{lent:?}");
    assert!(share(&lent) < 0.02, "{lent:?}");
}

/// The same, while the hosts that count a region's shares are down for a while.
#[test]
fn a_limit_holds_while_a_region_is_not_counted() {
    let load = Load {
        busy: Some((0, 10.0)),
        lost: Some((Duration::from_secs(12), Duration::from_secs(16))),
        ..CALM
    };
    let lent = simulate(Strategy::Lent, &load);
    assert!(lent.worst <= 1.0, "{lent:?}");
}

/// All workspaces are below their limits, and a region's shares are not counted for seconds. The
/// shares of the others must be enough for the usual number of requests.
#[test]
fn a_region_that_is_not_counted_refuses_few() {
    let load = Load {
        lost: Some((Duration::from_secs(12), Duration::from_secs(18))),
        ..CALM
    };
    let lent = simulate(Strategy::Lent, &load);
    assert!(share(&lent) < 0.03, "{lent:?}");
}

/// A limit is lowered far below the rate at which the workspace sends.
#[test]
fn a_lowered_limit_holds_after_a_window() {
    let load = Load {
        lowered: Some(0.1),
        ..CALM
    };
    let lent = simulate(Strategy::Lent, &load);
    assert!(lent.worst <= 1.0, "{lent:?}");
}

/// A host that starts to count a share does not know what was just granted. Two hosts that count it
/// one after the other must grant no more in a window than one may.
#[rstest]
fn two_consecutive_counters_grant_one_share(#[values(0, 700, 2600, 5000)] taken_over: u64) {
    let share = RULES.share(30.0, 30.0, 3);
    let taken_over = Duration::from_secs(20) + Duration::from_millis(taken_over);
    let (mut first, mut second) = (
        TokenBucket::open(Duration::ZERO),
        TokenBucket::open(taken_over),
    );
    let step = Duration::from_millis(7);
    let mut granted = Vec::new();
    // Idle for a long time, then asked continuously: the first grants its burst at once.
    for n in 0..2000u32 {
        let now = Duration::from_secs(20) + step * n;
        let bucket = if now < taken_over {
            &mut first
        } else {
            &mut second
        };
        let count = bucket.take(&share, 5, now).count;
        granted.extend((0..count).map(|_| now));
    }
    let within = |from: &Duration| {
        granted
            .iter()
            .filter(|at| (*from..*from + share.span).contains(at))
            .count()
    };
    let worst = granted.iter().map(within).max().unwrap();
    assert!(worst as f64 <= share.max_tokens, "{worst} of {share:?}");
    let all = granted.iter().filter(|at| at.as_secs() < 30).count() as f64;
    assert!(
        all > share.rate * 8.0,
        "{all} of {share:?}: too few granted"
    );
}

/// Cached tokens expire; returned tokens are used again.
#[test]
fn tokens_expire_and_can_be_returned() {
    let life = RULES.token_ttl();
    let mut cache = TokenCache::open();
    cache.add(2, Duration::ZERO, &RULES);
    let end = cache.take(Duration::ZERO).unwrap();
    assert_eq!(end, life);
    cache.return_token(end);
    assert!(cache.take(Duration::ZERO).is_some() && cache.take(Duration::ZERO).is_some());
    assert!(cache.take(Duration::ZERO).is_none());
    cache.add(1, Duration::ZERO, &RULES);
    assert!(cache.take(life).is_none());
}

/// The requests that run in a window had their tokens granted in it or within a token's time to
/// live before it: with any configuration, these must be no more than may run.
#[rstest]
fn granted_tokens_stay_below_the_limit(
    #[values(0.0, 0.1, 0.5)] over: f64,
    #[values(1, 5, 60)] window: u64,
    #[values(0.5, 10.0, 900.0)] rate: f64,
    #[values(1, 3)] shares: usize,
) {
    let rules = RateLimitConfig {
        window: Duration::from_secs(window),
        over,
        slack: 20.0,
    };
    let share = rules.share(rate, rate, shares);
    assert!(share.span >= rules.window + rules.token_ttl());
    assert!(
        share.max_tokens * shares as f64 <= rules.max_requests(rate, rate),
        "{share:?}"
    );
    assert!(share.rate * share.span.as_secs_f64() <= share.max_tokens + 1e-9);
}
