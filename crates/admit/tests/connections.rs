//! Limits on the connections and buffered bodies of a host.

use std::collections::VecDeque;

use dunlinrock_admit::direct::{AcceptDecision, BodyBudget, ConnectionLimits, OpenConnections};

const RULES: ConnectionLimits = ConnectionLimits {
    max_open: 3000,
    control: 600,
};

/// Steps per second; one step is the time for which a closed connection keeps its descriptor.
const STEPS: u32 = 10;

/// Connections of a simulated host: the idle ones, by the step since which they are idle, and those
/// whose descriptors are still in use after their close.
#[derive(Default)]
struct Host {
    idle: VecDeque<u32>,
    closing: [u32; 2],
    busy: u32,
}

impl Host {
    fn open(&self) -> OpenConnections {
        OpenConnections {
            callers: self.idle.len() as u32 + self.closing.iter().sum::<u32>() + self.busy,
            targets: self.busy,
        }
    }

    /// Closes connections that have been idle for a second or more.
    fn close(&mut self, most: u32, step: u32) {
        for _ in 0..most {
            if self.idle.front().is_some_and(|since| since + STEPS <= step) {
                self.idle.pop_front();
                self.closing[0] += 1;
            }
        }
    }
}

/// A burst of a minute: 400 callers a second open a connection, send one request that runs for a
/// second, and leave the connection open for 15 s. If they were kept until their idle timeout, they
/// would be 6,000. The host must never exceed its limit, refuse no caller and let none wait.
#[test]
fn a_burst_of_new_connections_is_served_by_closing_idle_ones() {
    let mut host = Host::default();
    let mut begun = VecDeque::from([0; STEPS as usize]);
    for step in 0..60 * STEPS {
        host.closing = [0, host.closing[0]];
        let ended = begun.pop_front().unwrap_or_default();
        host.busy -= ended;
        host.idle.extend(std::iter::repeat_n(step, ended as usize));
        let mut served = 0;
        for _ in 0..400 / STEPS {
            match RULES.on_accept(host.open()) {
                AcceptDecision::Accept => {}
                AcceptDecision::AcceptAndEvict(most) => host.close(most, step),
                AcceptDecision::Refuse(_) => {
                    panic!("refused at step {step}: {:?}", host.open())
                }
            }
            served += 1;
            host.busy += 1;
        }
        begun.push_back(served);
        let open = host.open();
        assert!(open.callers + open.targets <= RULES.max_open, "{open:?}");
    }
    assert!(
        !host.idle.is_empty(),
        "idle connections are kept below the limit"
    );
}

/// Saturation: every connection of the host is in use and none is idle. The next caller must be
/// refused at once, and be served as soon as a connection has ended.
#[test]
fn a_host_whose_connections_are_all_in_use_refuses_the_next_at_once() {
    let full = OpenConnections {
        callers: 1600,
        targets: 1400,
    };
    assert!(matches!(RULES.on_accept(full), AcceptDecision::Refuse(_)));
    let one_less = OpenConnections {
        callers: 1599,
        ..full
    };
    assert!(matches!(
        RULES.on_accept(one_less),
        AcceptDecision::AcceptAndEvict(_)
    ));
}

/// Usual load: far below the limit no connection is closed for another.
#[test]
fn a_host_below_its_limits_closes_nothing() {
    let open = OpenConnections {
        callers: 900,
        targets: 400,
    };
    assert_eq!(RULES.on_accept(open), AcceptDecision::Accept);
    assert!(!RULES.above_low_watermark(open) && !RULES.above_high_watermark(open));
}

/// Whatever the limit of the process, the numbers derived from it add up to less, and none is too
/// small.
#[test]
fn the_limits_add_up_to_less_than_the_descriptors() {
    for descriptors in [64, 256, 1024, 4100, 8192, 1 << 20] {
        let rules = ConnectionLimits::for_descriptors(descriptors);
        let files = descriptors - rules.max_open - rules.control;
        assert!(
            files >= 16 && rules.control >= 16,
            "{descriptors}: {rules:?}"
        );
        assert!(
            rules.max_open >= descriptors / 2,
            "{descriptors}: {rules:?}"
        );
        assert!(
            rules.max_idle() <= rules.max_open / 4,
            "{descriptors}: {rules:?}"
        );
    }
}

/// 500 uploads of 1 MB arrive at once at a host with 256 MB. It must buffer as many as fit beside
/// everything else and refuse the others; as uploads end, others are accepted.
#[test]
fn bodies_in_a_burst_of_uploads_stay_within_their_budget() {
    let mut bytes = BodyBudget::open(256_000_000);
    let taken = (0..500).filter(|_| bytes.try_reserve(1_000_000)).count();
    assert!((50..100).contains(&taken), "{taken}");
    assert!(bytes.used() < 100_000_000);
    bytes.release(1_000_000);
    assert!(bytes.try_reserve(1_000_000));
    assert!(!bytes.try_reserve(1_000_000));
}

/// A body larger than the whole budget is still accepted while no other is buffered: otherwise it
/// would be refused each time it is sent.
#[test]
fn a_single_large_body_is_taken() {
    let mut bytes = BodyBudget::open(16_000_000);
    assert!(bytes.try_reserve(8_000_000));
    assert!(!bytes.try_reserve(1));
}
