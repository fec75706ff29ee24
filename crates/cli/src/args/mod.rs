//! Command-line arguments. Each flag is defined in one place, with its short and long help.

mod edge;
mod explain;
mod fake;
mod load;
mod operator;
mod serve;
mod soak;

use bpaf::{Bpaf, OptionParser};

pub use edge::Edge;
pub use explain::Explain;
pub use fake::{Fake, FakeServe, FakeTargets};
pub use load::{Demo, Load, Plot};
pub use operator::{Apply, Check, Dump, History, Hosts, HostsFrom, Plan, Release, Show, Store};
pub use serve::Serve;
pub use soak::{Series, Soak};

use crate::exit::Exit;

/// Name of the program.
const NAME: &str = "dunlinrock";

/// Width of help texts, in columns.
const WIDTH: usize = 100;

/// Exit codes, as shown by the help and the man page.
const CODES: &str = "Exit codes: 0 done; 1 failed, or a promise was broken; 2 wrong usage or \
invalid files; 3 another apply came first and this one did not take effect; 4 the store, the list \
or a host could not be reached, nothing was changed; 5 the store returned no definite result, the \
apply may have taken effect.";

/// Steers traffic between callers and targets.
///
/// Hosts answer callers' lookups and run their requests on targets, under a configuration that
/// operators apply atomically. `dunlinrock COMMAND --help` explains a command; `--help --help`
/// shows more.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version, footer(CODES))]
pub enum Command {
    /// Run one entry host
    ///
    /// SIGTERM or SIGINT begins a graceful shutdown: the host announces to callers and other hosts
    /// that it is leaving, finishes its running requests, and exits. A second signal ends it at
    /// once. SIGHUP is ignored: settings are read at the start.
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::serve))] Serve),
    /// Run one entry host on the users' platform
    ///
    /// Sends requests directly to the targets that are announced in the platform's store. SIGTERM
    /// or SIGINT begins a graceful shutdown, SIGHUP reloads the settings.
    #[bpaf(command)]
    Edge(#[bpaf(external(edge::edge))] Edge),
    /// Check a directory of configuration files
    #[bpaf(command)]
    Check(#[bpaf(external(operator::check))] Check),
    /// Show what an apply would change, which shifts it starts and how long they take
    #[bpaf(command)]
    Plan(#[bpaf(external(operator::plan))] Plan),
    /// Apply a configuration atomically
    #[bpaf(command)]
    Apply(#[bpaf(external(operator::apply))] Apply),
    /// Show the active configuration
    #[bpaf(command)]
    Show(#[bpaf(external(operator::show))] Show),
    /// List the most recent applies
    #[bpaf(command)]
    History(#[bpaf(external(operator::history))] History),
    /// List the hosts, or those that a caller should use
    #[bpaf(command)]
    Hosts(#[bpaf(external(operator::hosts))] Hosts),
    /// Show the complete state of a host as JSON
    #[bpaf(command)]
    Dump(#[bpaf(external(operator::dump))] Dump),
    /// End the quarantine of a request on the users' platform
    ///
    /// Hosts refuse a request that crashes the targets that run it. Release one whose cause is
    /// fixed; if it crashes targets again, it is refused again.
    #[bpaf(command)]
    Release(#[bpaf(external(operator::release))] Release),
    /// Trace one request through the logs of hosts
    ///
    /// Reads the structured logs of any number of hosts, prints the lines about the request in
    /// order of time with the inputs of each decision, and reports how many lines are missing.
    /// Lines that are truncated or were written by other programs are counted and skipped.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain))] Explain),
    /// Put load on running hosts and report the results
    #[bpaf(command)]
    Load(#[bpaf(external(load::load))] Load),
    /// Draw a chart of `load` reports
    #[bpaf(command)]
    Plot(#[bpaf(external(load::plot))] Plot),
    /// Run a deployment with load, a drain and a graceful shutdown in this process
    ///
    /// Takes about 20 seconds and uses loopback addresses only. Prints the results as tables; the
    /// exit code is 1 if a promise was broken.
    #[bpaf(command)]
    Demo(#[bpaf(external(load::demo))] Demo),
    /// Run hosts as processes, inject random faults and check the promises
    ///
    /// Starts hosts and fakes of the platform on loopback addresses, injects faults that follow
    /// from the seed, and checks what callers and targets observe. The exit code is 1 if a promise
    /// was broken.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::soak))] Soak),
    /// Run fakes of the platform
    #[bpaf(command)]
    Fake(#[bpaf(external(fake::fake))] Fake),
    /// Print the man page
    #[bpaf(command)]
    Man,
    /// Print this help
    #[bpaf(command)]
    Help,
}

/// Returns the parser of the command line.
pub fn parser() -> OptionParser<Command> {
    command()
}

/// Parses this process's arguments. Handles `help`, `man` and completions itself.
///
/// # Errors
///
/// Returns the exit code if there is no command to run.
pub fn parse() -> Result<Command, Exit> {
    let parsed = parser().run_inner(bpaf::Args::current_args());
    match parsed {
        Ok(Command::Help) => {
            if let Err(help) = parser().run_inner(bpaf::Args::from(&["--help"]).set_name(NAME)) {
                help.print_message(WIDTH);
            }
            Err(Exit::Ok)
        }
        Ok(Command::Man) => {
            print!("{}", man());
            Err(Exit::Ok)
        }
        Ok(command) => Ok(command),
        Err(failure) => {
            failure.print_message(WIDTH);
            match failure.exit_code() {
                0 => Err(Exit::Ok),
                _ => Err(Exit::Usage),
            }
        }
    }
}

/// Renders the man page.
pub fn man() -> String {
    let section = bpaf::doc::Section::General;
    parser().render_manpage(NAME, section, None, None, Some(NAME))
}

/// Parses `IP:PORT`.
#[allow(
    clippy::needless_pass_by_value,
    reason = "the parser passes an owned string"
)]
fn address(text: String) -> Result<std::net::SocketAddr, String> {
    let parsed = text.parse();
    parsed.map_err(|_| format!("`{text}` is not IP:PORT, as in 127.0.0.1:17000"))
}
