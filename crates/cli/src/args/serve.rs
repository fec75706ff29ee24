//! Arguments of `serve`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Which host to run
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Serve {
    /// Settings of the host, a TOML file
    ///
    /// They give the host's name, region, failure domain and addresses, and where the platform's
    /// store and list are. All mistakes in the file are reported together.
    #[bpaf(short, long, argument("FILE"))]
    pub settings: PathBuf,
}
