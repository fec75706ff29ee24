//! Load that hosts put on each other and on the store, counted in virtual time.
#![allow(dead_code)]

use std::{collections::BTreeMap, fmt, time::Duration};

use dunlinrock_coord::{member::HostState, pieces};
use dunlinrock_schema::coord::{Facts, Grant, Pool, Quarantine, QuarantineKind, Share};

use super::{config, fleet::Fleet};

/// Time between two changes of the configuration at 4,500 a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(19);
const CHANGES: u32 = 3;
const TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) struct Row {
    pub(crate) domains: usize,
    pub(crate) hosts: usize,
    /// Store calls a second.
    pub(crate) calls: f64,
    /// Bytes sent a second, on average over the hosts.
    pub(crate) sent: f64,
    /// Bytes sent and received a second, by the busiest host.
    pub(crate) busiest: f64,
    pub(crate) change: Duration,
    pub(crate) rumor: Duration,
    pub(crate) leave: Duration,
    /// Bytes sent a second per host, by kind of message.
    pub(crate) by_kind: BTreeMap<&'static str, f64>,
}

/// Facts of a host that owns four pools, grants four slots and has four shares.
fn facts(turn: u64, index: u64) -> Facts {
    let service = |n: u64| -> std::sync::Arc<str> { format!("service-{n:03}").into() };
    let pool = |n| Pool {
        service: service(n),
        domain: "domain-00".into(),
        queued: turn % 40,
        busy: turn % 90,
        slots: 88,
    };
    let region = |n: u64| format!("region-{:02}", (index * 4 + n) % 24);
    let grant = |n: u64| Grant {
        service: service(n),
        region: region(n).into(),
        slots: (turn % 10) as f64,
        expires_ms: 3000,
    };
    let share = |n: u64| Share {
        service: service(n),
        region: region(n).into(),
        share: 1.0 / (turn + 1) as f64,
    };
    Facts {
        revision: 0,
        pools: (0..4).map(pool).collect(),
        grants: (0..4).map(grant).collect(),
        shares: (0..4).map(share).collect(),
        leaving: Vec::new(),
    }
}

pub(crate) fn measure(mut fleet: Fleet) -> Row {
    measure_in(&mut fleet)
}

/// Like [`measure`], without consuming the fleet.
pub(crate) fn measure_in(fleet: &mut Fleet) -> Row {
    let mut config = config(740, 22, 20_000);
    fleet.apply("first", pieces::split(&config));
    // The rumors of the start have expired by then.
    fleet.run(Duration::from_secs(70));
    assert!(fleet.nodes.values().all(|node| node.follower.ready()));
    fleet.reset_counts();
    let start = fleet.now;
    let mut change = Duration::ZERO;
    for turn in 0..CHANGES {
        let service = config.services.get_mut("service-123").unwrap();
        service.cap.share = 0.1 + f64::from(turn) / 100.0;
        fleet.apply(&format!("change{turn}"), pieces::split(&config));
        let revision = fleet.store.revision();
        let took = fleet.until(TIMEOUT, |fleet| {
            let mut nodes = fleet.nodes.values();
            nodes.all(|node| node.follower.revision() == revision)
        });
        change = change.max(took.expect("the change reaches all hosts"));
        let next = start + CHANGE_INTERVAL * (turn + 1);
        while fleet.now < next {
            let now = fleet.now.as_secs();
            for (index, node) in fleet.nodes.values_mut().enumerate() {
                node.member.set_facts(facts(now, index as u64));
            }
            fleet.run(Duration::from_secs(1));
        }
    }
    let mut row = counted(fleet, fleet.now - start);
    row.change = change;
    row.rumor = rumor(fleet);
    row.leave = leave(fleet);
    row
}

fn counted(fleet: &Fleet, time: Duration) -> Row {
    let count = fleet.nodes.len() as f64;
    let seconds = time.as_secs_f64();
    let sent: u64 = fleet.nodes.values().map(|node| node.sent).sum();
    let both = fleet.nodes.values().map(|node| node.sent + node.received);
    let mut domains: Vec<_> = fleet
        .nodes
        .values()
        .map(|node| node.member.me().domain.clone())
        .collect();
    domains.dedup();
    let by_kind = fleet
        .counts
        .iter()
        .map(|(kind, (_, bytes))| (*kind, *bytes as f64 / seconds / count));
    Row {
        domains: domains.len(),
        hosts: fleet.nodes.len() / domains.len(),
        calls: fleet.store_calls as f64 / seconds,
        sent: sent as f64 / seconds / count,
        busiest: both.max().unwrap_or_default() as f64 / seconds,
        change: Duration::ZERO,
        rumor: Duration::ZERO,
        leave: Duration::ZERO,
        by_kind: by_kind.collect(),
    }
}

fn rumor(fleet: &mut Fleet) -> Duration {
    let quarantine = Quarantine {
        kind: QuarantineKind::Request,
        id: "0123456789abcdef".into(),
        ttl_ms: 60_000,
    };
    fleet.act("host-01-00", |member, now| {
        member.broadcast(now, quarantine)
    });
    let took = fleet.until(TIMEOUT, |fleet| {
        let mut nodes = fleet.nodes.values();
        nodes.all(|node| !node.member.quarantines(fleet.now).is_empty())
    });
    took.expect("the rumor reaches all hosts")
}

fn leave(fleet: &mut Fleet) -> Duration {
    fleet.act("host-01-00", |member, now| {
        member.set_state(now, HostState::Leaving)
    });
    let took = fleet.until(TIMEOUT, |fleet| {
        fleet
            .observed_states("host-01-00")
            .iter()
            .all(|state| *state == HostState::Leaving)
    });
    took.expect("the leaving state reaches all hosts")
}

impl Row {
    pub(crate) fn kinds(&self) -> String {
        let one = |(kind, bytes): (&&str, &f64)| format!("{kind} {bytes:.0}");
        self.by_kind.iter().map(one).collect::<Vec<_>>().join(", ")
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {} | {:.2} | {:.0} | {:.0} | {} | {} | {} |",
            self.domains,
            self.hosts,
            self.domains * self.hosts,
            self.calls,
            self.sent,
            self.busiest,
            self.change.as_millis(),
            self.rumor.as_millis(),
            self.leave.as_millis()
        )
    }
}
