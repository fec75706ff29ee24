//! `fake`: runs fakes of the platform until a signal.

use dunlinrock_fakes::{List, ListOptions, Store, StoreOptions};

use super::check;
use crate::{
    args::{Fake, FakeTargets},
    exit::CliError,
    fake_targets, output,
    runtime::block_on,
    signals::{HeldSignals, Signals},
};

/// Runs a fake store, host list or set of targets.
pub(crate) fn fake(args: &Fake, held: HeldSignals) -> Result<(), CliError> {
    match args {
        Fake::Store(args) => {
            let store = Store::bind(&args.bind.to_string(), StoreOptions::default())?;
            output::line(format_args!("store on {}", store.addr()))?;
            wait(held)
        }
        Fake::List(args) => {
            let list = List::bind(&args.bind.to_string(), ListOptions::default())?;
            output::line(format_args!("list of hosts on {}", list.addr()))?;
            wait(held)
        }
        Fake::Targets(args) => targets(args, held),
    }
}

fn targets(args: &FakeTargets, held: HeldSignals) -> Result<(), CliError> {
    let mut config = check::read(&args.dir)?;
    let targets = fake_targets::bind(&mut config, false, args.warm)?;
    output::line(format_args!(
        "{} targets of {}",
        targets.iter().count(),
        args.dir.display()
    ))?;
    wait(held)
}

/// Waits for a signal that ends the command.
fn wait(held: HeldSignals) -> Result<(), CliError> {
    block_on(async {
        Signals::open(held)?.end().await;
        Ok(())
    })?
}
