//! Fake targets for the targets of a configuration.

use std::{sync::Arc, time::Duration};

use dunlinrock_fakes::{TargetOptions, TargetSpec, Targets, WorkTime};
use dunlinrock_schema::config::{Config, Target};

/// Sigma of the distribution of run times.
const SIGMA: f64 = 0.35;

/// Approximate size of a response without its padding, in bytes.
const ECHO_BYTES: u64 = 200;

/// Binds a fake for every target of a configuration, with the configured slots and run time.
///
/// With `free`, the targets bind free ports instead of their configured addresses, and the new
/// addresses are written into the configuration.
pub(crate) fn bind(config: &mut Config, free: bool, warm: u64) -> anyhow::Result<Targets> {
    let specs = config.targets.iter().enumerate();
    let specs = specs.map(|(n, (name, target))| TargetSpec {
        name: Arc::clone(name),
        addr: match free {
            true => "127.0.0.1:0".into(),
            false => Arc::clone(&target.address),
        },
        options: target_options(config, target, warm, n),
    });
    let targets = Targets::bind(specs.collect())?;
    for target in targets.iter() {
        if let Some(entry) = config.targets.get_mut(target.name()) {
            entry.address = target.addr().to_string().into();
        }
    }
    Ok(targets)
}

fn target_options(config: &Config, target: &Target, warm: u64, number: usize) -> TargetOptions {
    let service = config.services.get(&target.service);
    let work = service.map_or(10, |s| s.work_ms.get());
    let answer = service.map_or(1024, |s| s.answer_bytes.get());
    TargetOptions {
        slots: u32::try_from(target.slots.get()).unwrap_or(u32::MAX),
        connections: usize::try_from(target.connections.get()).unwrap_or(usize::MAX),
        work: WorkTime {
            median: Duration::from_millis(work),
            sigma: SIGMA,
            slow_fraction: 0.0,
            slow_factor: 1.0,
        },
        warmup_requests: warm,
        padding_bytes: usize::try_from(answer.saturating_sub(ECHO_BYTES)).unwrap_or_default(),
        seed: u64::try_from(number).unwrap_or_default(),
        ..TargetOptions::default()
    }
}
