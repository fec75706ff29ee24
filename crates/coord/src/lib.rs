//! Coordination parts without I/O: configuration spread, membership, leases.
