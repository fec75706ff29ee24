//! Arguments of `edge`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Which host to run
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Edge {
    /// Settings of the host, a TOML file
    ///
    /// The file sets the host's name, region, failure domain and addresses, the platform's store,
    /// and the bounds that the deployment promises. All errors in the file are reported together.
    #[bpaf(short, long, argument("FILE"))]
    pub settings: PathBuf,
}
