//! One entry host: duties on threads of their own, rings between them, HTTP around them.

pub mod call;
pub mod clock;
pub mod dump;
pub mod duties;
pub mod host;
pub mod meters;
pub mod metrics;
pub mod operate;
pub mod ring;
pub mod run;
pub mod serve;
pub mod shared;
pub mod store;
pub mod view;
pub mod wire;

pub use host::Host;
