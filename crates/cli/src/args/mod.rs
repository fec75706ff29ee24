//! The command line. Each flag is defined in one place, with its short and long help.

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
pub use operator::{Apply, Check, Dump, History, Hosts, HostsFrom, Plan, Show, Store};
pub use serve::Serve;
pub use soak::Soak;

use crate::exit::Exit;

/// Name of the program.
const NAME: &str = "dunlinrock";

/// Width of help texts, in columns.
const WIDTH: usize = 100;

/// Exit codes, as help and man page show them.
const CODES: &str = "Exit codes: 0 done; 1 failed, or a promise was broken; 2 wrong usage or wrong \
files; 3 another apply came first and this one did not take effect; 4 the store, the list or a \
host could not be reached, nothing was changed; 5 the store gave no certain answer, the apply may \
have taken effect.";

/// Steers traffic between callers and targets.
///
/// Hosts answer callers' look-ups and run their requests on targets, under a configuration that
/// operators apply as a whole. `dunlinrock COMMAND --help` explains a command; `--help --help`
/// says more.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version, footer(CODES))]
pub enum Command {
    /// Run one entry host
    ///
    /// SIGTERM or SIGINT begins a planned stop: the host takes leave of callers and other hosts,
    /// finishes what it runs, and ends. A second signal ends it at once.
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::serve))] Serve),
    /// Run one entry host on the users' platform
    ///
    /// Sends straight to the targets that the platform's store announces. SIGTERM or SIGINT begins
    /// a planned stop, SIGHUP reads the settings again.
    #[bpaf(command)]
    Edge(#[bpaf(external(edge::edge))] Edge),
    /// Check a directory of configuration files
    #[bpaf(command)]
    Check(#[bpaf(external(operator::check))] Check),
    /// Show what an apply would change, which shifts it starts and how long they take
    #[bpaf(command)]
    Plan(#[bpaf(external(operator::plan))] Plan),
    /// Put a configuration in force, as a whole or not at all
    #[bpaf(command)]
    Apply(#[bpaf(external(operator::apply))] Apply),
    /// Show the configuration in force
    #[bpaf(command)]
    Show(#[bpaf(external(operator::show))] Show),
    /// List the last applies
    #[bpaf(command)]
    History(#[bpaf(external(operator::history))] History),
    /// List the hosts, or those that a caller should use
    #[bpaf(command)]
    Hosts(#[bpaf(external(operator::hosts))] Hosts),
    /// Show the whole state of a host as JSON
    #[bpaf(command)]
    Dump(#[bpaf(external(operator::dump))] Dump),
    /// Show one request's way through the logs of hosts
    ///
    /// Reads the structured lines of any number of hosts, prints those about the request in order
    /// of time with what decided, and says how many lines are missing. Lines that are cut or that
    /// something else wrote are counted and passed over.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain))] Explain),
    /// Put load on running hosts and report what callers get
    #[bpaf(command)]
    Load(#[bpaf(external(load::load))] Load),
    /// Draw reports of `load` as a picture
    #[bpaf(command)]
    Plot(#[bpaf(external(load::plot))] Plot),
    /// Run a deployment with load, a drain and a planned stop in this process
    ///
    /// Takes about 20 seconds and uses loopback addresses only. Ends with a table; its exit code is
    /// 1 where a promise was broken.
    #[bpaf(command)]
    Demo(#[bpaf(external(load::demo))] Demo),
    /// Play random faults on hosts of their own processes and check the promises
    ///
    /// Starts hosts and stand-ins on loopback addresses, injects faults that follow from the seed,
    /// and checks what callers and targets see. Its exit code is 1 where a promise was broken.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::soak))] Soak),
    /// Run stand-ins for the platform
    #[bpaf(command)]
    Fake(#[bpaf(external(fake::fake))] Fake),
    /// Print the man page
    #[bpaf(command)]
    Man,
    /// Print this help
    #[bpaf(command)]
    Help,
}

/// Gives the parser of the whole command line.
pub fn parser() -> OptionParser<Command> {
    command()
}

/// Parses this process's arguments; answers `help`, `man` and completions itself.
///
/// # Errors
///
/// The exit code, where there is nothing left to do.
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
    reason = "the parser hands the text over"
)]
fn address(text: String) -> Result<std::net::SocketAddr, String> {
    let parsed = text.parse();
    parsed.map_err(|_| format!("`{text}` is not IP:PORT, as in 127.0.0.1:17000"))
}
