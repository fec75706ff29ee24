//! The `dunlinrock` command-line program, for operators and callers.
//!
//! The binary only calls [`run`]. The module [`caller`] is a client library for the system, and
//! [`load`] an open-loop load generator that uses it; both can be used without the program:
//!
//! ```
//! use dunlinrock::caller::{Caller, CallerOptions};
//!
//! let caller = Caller::open(CallerOptions {
//!     name: "county-office".into(),
//!     seeds: vec!["127.0.0.1:17101".parse().unwrap()],
//!     local_addr: None,
//!     attempts: 4,
//!     seed: 1,
//! });
//! assert_eq!(&**caller.name(), "county-office");
//! ```

pub mod args;
pub mod caller;
mod commands;
mod demo;
pub mod exit;
mod fake_targets;
pub mod load;
mod logs;
mod output;
mod runtime;
mod signals;
mod soak;

use std::process::ExitCode;

use args::Command;
use exit::{CliError, Exit};
use signals::HeldSignals;

/// Runs the command given by this process's arguments and returns its exit code.
pub fn run() -> ExitCode {
    let held = signals::hold();
    let command = match args::parse() {
        Ok(command) => command,
        Err(exit) => return exit.into(),
    };
    match held
        .map_err(CliError::from)
        .and_then(|held| dispatch(command, held))
    {
        Ok(()) => Exit::Ok.into(),
        Err(failure) => {
            eprintln!("{}", failure.message.trim_end());
            failure.exit.into()
        }
    }
}

/// Runs a command that handles signals itself, or any other with the system's defaults.
fn dispatch(command: Command, held: HeldSignals) -> Result<(), CliError> {
    match command {
        Command::Serve(args) => commands::serve(&args, held),
        Command::Edge(args) => commands::edge(&args, held),
        Command::Soak(args) => soak::run(&args, held),
        Command::Fake(args) => commands::fake(&args, held),
        command => {
            drop(held);
            dispatch_other(command)
        }
    }
}

fn dispatch_other(command: Command) -> Result<(), CliError> {
    match command {
        Command::Explain(args) => commands::explain(&args),
        Command::Check(args) => commands::check(&args),
        Command::Plan(args) => commands::plan(&args),
        Command::Apply(args) => commands::apply(&args),
        Command::Show(args) => commands::show(&args),
        Command::History(args) => commands::history(&args),
        Command::Hosts(args) => commands::hosts(&args),
        Command::Dump(args) => commands::dump(&args),
        Command::Release(args) => commands::release(&args),
        Command::Load(args) => commands::load(&args),
        Command::Plot(args) => commands::plot(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Serve(_) | Command::Edge(_) | Command::Soak(_) | Command::Fake(_) => {
            unreachable!("handled by the caller")
        }
        Command::Man | Command::Help => unreachable!("handled by the parser"),
    }
}
