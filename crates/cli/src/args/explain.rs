//! Arguments of `explain`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Which request, and which logs to read
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Explain {
    /// Id of the request, as chosen by its caller
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Logs of hosts, or `-` for standard input
    #[bpaf(positional("FILE"), some("name a file, or `-` for standard input"))]
    pub files: Vec<PathBuf>,
}
