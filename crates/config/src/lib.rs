//! Checked TOML documents: settings of a host and an operator's configuration.
