//! One entry host: duties, rings, HTTP.
