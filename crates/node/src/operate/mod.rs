//! Operators' access to the store, for the command line and for programs that embed it.

mod apply;
mod read;

pub use self::{
    apply::{UncertainApply, apply},
    read::{ActiveConfig, read},
};
