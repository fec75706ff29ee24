//! Arguments of `serve`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Which host to run
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Serve {
    /// Settings of the host, a TOML file
    ///
    /// The file sets the host's name, region, failure domain and addresses, and the addresses of
    /// the platform's store and host list. All errors in the file are reported together.
    #[bpaf(short, long, argument("FILE"))]
    pub settings: PathBuf,
}
