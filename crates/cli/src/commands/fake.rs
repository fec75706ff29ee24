//! `fake`: runs fakes of the platform until a signal.

use dunlinrock_fakes::{List, ListOptions, Store, StoreOptions};

use super::check;
use crate::{
    args::{Fake, FakeTargets},
    exit::CliError,
    fake_targets, output,
    runtime::{Signals, block_on},
};

/// Runs a fake store, host list or set of targets.
pub(crate) fn fake(args: &Fake) -> Result<(), CliError> {
    match args {
        Fake::Store(args) => {
            let store = Store::bind(&args.bind.to_string(), StoreOptions::default())?;
            output::line(format_args!("store on {}", store.addr()))?;
            wait()
        }
        Fake::List(args) => {
            let list = List::bind(&args.bind.to_string(), ListOptions::default())?;
            output::line(format_args!("list of hosts on {}", list.addr()))?;
            wait()
        }
        Fake::Targets(args) => targets(args),
    }
}

fn targets(args: &FakeTargets) -> Result<(), CliError> {
    let mut config = check::read(&args.dir)?;
    let targets = fake_targets::bind(&mut config, false, args.warm)?;
    output::line(format_args!(
        "{} targets of {}",
        targets.iter().count(),
        args.dir.display()
    ))?;
    wait()
}

/// Waits for SIGINT or SIGTERM.
fn wait() -> Result<(), CliError> {
    block_on(async {
        Signals::open()?.next().await;
        Ok(())
    })?
}
