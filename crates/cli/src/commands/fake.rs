//! `fake`: stand-ins for the platform, until a signal.

use dunlinrock_fakes::{List, ListOptions, Store, StoreOptions};

use super::check;
use crate::{
    args::{Fake, FakeTargets},
    exit::Failure,
    out,
    rt::{Signals, block_on},
    stand,
};

/// Runs a stand-in.
pub(crate) fn fake(args: &Fake) -> Result<(), Failure> {
    match args {
        Fake::Store(args) => {
            let store = Store::bind(&args.bind.to_string(), StoreOptions::default())?;
            out::line(format_args!("store on {}", store.addr()))?;
            wait()
        }
        Fake::List(args) => {
            let list = List::bind(&args.bind.to_string(), ListOptions::default())?;
            out::line(format_args!("list of hosts on {}", list.addr()))?;
            wait()
        }
        Fake::Targets(args) => targets(args),
    }
}

fn targets(args: &FakeTargets) -> Result<(), Failure> {
    let mut config = check::read(&args.dir)?;
    let targets = stand::bind(&mut config, false, args.warm)?;
    out::line(format_args!(
        "{} targets of {}",
        targets.iter().count(),
        args.dir.display()
    ))?;
    wait()
}

/// Waits for a signal.
fn wait() -> Result<(), Failure> {
    block_on(async {
        Signals::open()?.next().await;
        Ok(())
    })?
}
