//! Small stand-ins for the platform: store, list of hosts, targets.
