//! Commands, with a module for each.

pub mod apply;
pub mod check;
pub mod demo;
pub mod drain;
pub mod entry;
pub mod explain;
pub mod history;
pub mod members;
pub mod record;
pub mod relay;
pub mod replay;
pub mod show;
pub mod slopes;
pub mod status;
