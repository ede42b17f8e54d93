//! The subcommands, one file each.

pub mod check_settings;
pub mod run;
pub mod show;
