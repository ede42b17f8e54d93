//! The subcommands.

pub mod check_settings;
pub mod run;
