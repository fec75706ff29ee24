//! One entry host: duties on threads of their own, rings between them, HTTP around them.

pub mod call;
pub mod ring;
pub mod serve;
pub mod store;
pub mod wire;
