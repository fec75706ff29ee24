//! What a host that holds nearly all connections that it may does with the next one.

use std::collections::VecDeque;

use dunlinrock_admit::direct::{AcceptDecision, BodyBudget, ConnectionLimits, OpenConnections};

const RULES: ConnectionLimits = ConnectionLimits {
    max_open: 3000,
    control: 600,
};

/// One second in steps of the time that a closed connection keeps its descriptor.
const STEPS: u32 = 10;

/// Connections of a played host: those that are idle, by the step since which they are, and those
/// whose descriptors are still held after their close.
#[derive(Default)]
struct Host {
    idle: VecDeque<u32>,
    closing: [u32; 2],
    busy: u32,
}

impl Host {
    fn held(&self) -> OpenConnections {
        OpenConnections {
            callers: self.idle.len() as u32 + self.closing.iter().sum::<u32>() + self.busy,
            targets: self.busy,
        }
    }

    /// Closes what has been idle for a second or more.
    fn close(&mut self, most: u32, step: u32) {
        for _ in 0..most {
            if self.idle.front().is_some_and(|since| since + STEPS <= step) {
                self.idle.pop_front();
                self.closing[0] += 1;
            }
        }
    }
}

/// Load: a burst of a minute. 400 callers a second open a connection, send one request that runs for
/// a second, and leave the connection open for 15 s. Kept to the end of their idle time, they would be
/// 6,000; the host never passes its bound, turns nobody away, and has none wait.
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
            match RULES.on_accept(host.held()) {
                AcceptDecision::Accept => {}
                AcceptDecision::AcceptAndEvict(most) => host.close(most, step),
                AcceptDecision::Refuse(_) => {
                    panic!("turned away at step {step}: {:?}", host.held())
                }
            }
            served += 1;
            host.busy += 1;
        }
        begun.push_back(served);
        let held = host.held();
        assert!(held.callers + held.targets <= RULES.max_open, "{held:?}");
    }
    assert!(
        !host.idle.is_empty(),
        "connections are kept where there is room"
    );
}

/// Load: saturation. Every connection that the host holds is in use; nothing idle could go. The next
/// caller is told at once, and is served as soon as one has ended.
#[test]
fn a_host_whose_connections_are_all_in_use_turns_the_next_away_at_once() {
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

/// Load: the usual. Far from the bound no connection is closed for another.
#[test]
fn a_host_with_room_closes_nothing() {
    let held = OpenConnections {
        callers: 900,
        targets: 400,
    };
    assert_eq!(RULES.on_accept(held), AcceptDecision::Accept);
    assert!(!RULES.above_low_watermark(held) && !RULES.above_high_watermark(held));
}

/// Whatever the limit of the process, its parts add up to less, and each has some.
#[test]
fn the_parts_stay_within_the_limit_of_the_process() {
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

/// Load: 500 uploads of 1 MB arrive at once at a host with 256 MB. It holds as many as fit beside
/// everything else and refuses the others; as uploads end, others are taken.
#[test]
fn bodies_in_a_burst_of_uploads_stay_within_their_part_of_the_memory() {
    let mut bytes = BodyBudget::open(256_000_000);
    let taken = (0..500).filter(|_| bytes.try_reserve(1_000_000)).count();
    assert!((50..100).contains(&taken), "{taken}");
    assert!(bytes.used() < 100_000_000);
    bytes.release(1_000_000);
    assert!(bytes.try_reserve(1_000_000));
    assert!(!bytes.try_reserve(1_000_000));
}

/// A body larger than the whole part is still taken where nothing else is held: refused, it would be
/// refused for ever.
#[test]
fn a_single_large_body_is_taken() {
    let mut bytes = BodyBudget::open(16_000_000);
    assert!(bytes.try_reserve(8_000_000));
    assert!(!bytes.try_reserve(1));
}
