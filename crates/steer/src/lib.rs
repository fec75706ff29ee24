//! Decisions under load between regions: spread, capped shifts, grants, look-up.
