//! Arguments of `explain`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Which request, and where to look
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Explain {
    /// Id of the request, as its caller chose it
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Logs of hosts, or `-` for standard input
    #[bpaf(positional("FILE"), some("name a file, or `-` for standard input"))]
    pub files: Vec<PathBuf>,
}
