//! Random operations on a pool.

use dunlinrock_admit::{LoadReport, Outcome};
use proptest::{
    prelude::{Just, Strategy, any},
    prop_oneof,
};

use super::TARGETS;

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Offer {
        caller: u64,
        key: u64,
        kind: u64,
        print: u64,
        give: u64,
        repeatable: bool,
        tried: bool,
    },
    Finish {
        pick: usize,
        outcome: Outcome,
    },
    Cancel {
        pick: usize,
    },
    Report {
        target: usize,
        report: LoadReport,
    },
    Configure {
        listed: u8,
        leaving: u8,
        slots: u32,
    },
    Wait {
        ms: u64,
    },
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Ok),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Died),
        1 => Just(Outcome::TimedOut),
    ];
    let offer = (
        0..5_u64,
        0..5_u64,
        0..3_u64,
        0..40_u64,
        1..400_u64,
        any::<bool>(),
        0..8_u8,
    );
    let offer = offer.prop_map(
        |(caller, key, kind, print, give, repeatable, tried)| Op::Offer {
            caller,
            key,
            kind,
            print,
            give,
            repeatable,
            tried: tried == 0,
        },
    );
    let report = (0..TARGETS, 0..9_u32, 0..9_u32, 0..12_u8, 0..6_u8);
    let report = report.prop_map(|(target, busy, slots, leaving, cold)| Op::Report {
        target,
        report: LoadReport {
            busy,
            slots,
            leaving: leaving == 0,
            cold: cold == 0,
        },
    });
    let configure = (any::<u8>(), any::<u8>(), 1..5_u32).prop_map(|(a, b, slots)| Op::Configure {
        listed: a,
        leaving: b & a & b.rotate_left(3),
        slots,
    });
    prop_oneof![
        12 => offer,
        10 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Op::Finish { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Op::Cancel { pick }),
        2 => report,
        1 => configure,
        4 => (1..60_u64).prop_map(|ms| Op::Wait { ms }),
        1 => (500..9000_u64).prop_map(|ms| Op::Wait { ms }),
    ]
}
