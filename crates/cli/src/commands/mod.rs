//! The commands, one per file.

mod apply;
mod check;
mod dump;
mod edge;
mod explain;
mod fake;
mod history;
mod hosts;
mod load;
mod plan;
mod plot;
mod release;
mod serve;
mod show;
mod store;

pub(crate) use apply::apply;
pub(crate) use check::{check, read, summary};
pub(crate) use dump::dump;
pub(crate) use edge::edge;
pub(crate) use explain::explain;
pub(crate) use fake::fake;
pub(crate) use history::history;
pub(crate) use hosts::hosts;
pub(crate) use load::load;
pub(crate) use plan::plan;
pub(crate) use plot::plot;
pub(crate) use release::release;
pub(crate) use serve::serve;
pub(crate) use show::show;
