//! At-most-once execution without storage, as state machines without I/O.
