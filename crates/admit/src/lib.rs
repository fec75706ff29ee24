//! Decisions under load at one pool of targets: admission, queue, fairness, placement, retries.
