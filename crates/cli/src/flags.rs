//! The command line of `thistle`.

#![allow(clippy::enum_variant_names, reason = "xflags requires unique names of commands")]

use std::path::PathBuf;

xflags::xflags! {
    /// Publishes templates and parameters, moves VMs, and shows the progress of the fleet.
    cmd thistle {
        /// Operator addresses of stewards, separated by commas; default: THISTLE_STEWARDS.
        optional --stewards stewards: String
        /// Print JSON instead of tables.
        optional --json
        /// Show the change without making it.
        optional --dry-run

        /// Templates.
        cmd template {
            /// Check a template file.
            cmd template-check check {
                /// The file.
                required file: PathBuf
            }
            /// Publish a template.
            cmd template-publish publish {
                /// Its name.
                required name: String
                /// The file.
                required file: PathBuf
                /// The revision that it replaces; default: the current one.
                optional --base base: u64
            }
            /// List the templates.
            cmd template-list list {}
            /// Show a template.
            cmd template-show show {
                /// Its name.
                required name: String
            }
            /// Show how a file differs from the published template.
            cmd template-diff diff {
                /// Its name.
                required name: String
                /// The file.
                required file: PathBuf
            }
        }
        /// Workspaces and their pools.
        cmd workspace {
            /// Set a workspace's parameters.
            cmd workspace-set set {
                /// Its name.
                required name: String
                /// The file.
                required file: PathBuf
                /// The revision that it replaces; default: the current one.
                optional --base base: u64
            }
            /// List the workspaces.
            cmd workspace-list list {}
            /// Show a workspace.
            cmd workspace-show show {
                /// Its name.
                required name: String
            }
        }
        /// VMs.
        cmd vm {
            /// List the VMs.
            cmd vm-list list {
                /// List only the VMs of this pool, or of `reserve`.
                optional --pool pool: String
            }
            /// Forbid new work on a VM.
            cmd vm-cordon cordon {
                /// Its name.
                required name: String
                /// Override the availability budget.
                optional --force
            }
            /// Drain a VM.
            cmd vm-drain drain {
                /// Its name.
                required name: String
            }
            /// Return a cordoned or drained VM to service.
            cmd vm-back back {
                /// Its name.
                required name: String
            }
            /// Explain why a VM can or cannot leave service now.
            cmd vm-why why {
                /// Its name.
                required name: String
            }
        }
        /// Maintenance waves.
        cmd wave {
            /// Show the steps that the planner would take now.
            cmd wave-plan plan {}
            /// Start a wave over the whole fleet.
            cmd wave-start start {}
            /// Pause the wave.
            cmd wave-pause pause {}
            /// Resume the wave.
            cmd wave-resume resume {}
            /// Show the progress of the wave.
            cmd wave-progress progress {
                /// Wait until it is done.
                optional --wait
            }
        }
        /// Jobs.
        cmd job {
            /// Submit a job.
            cmd job-submit submit {
                /// The file.
                required file: PathBuf
            }
            /// List the jobs.
            cmd job-list list {}
            /// Cancel waiting jobs.
            cmd job-cancel cancel {
                /// Their names.
                repeated names: String
            }
        }
        /// Quotas of teams.
        cmd quota {
            /// Show a team's quota.
            cmd quota-get get {
                /// The team.
                required team: String
            }
            /// Set the slots that a team's jobs may use at one time.
            cmd quota-put put {
                /// The team.
                required team: String
                /// The slots.
                required slots: u32
            }
        }
        /// Members, for repair.
        cmd member {
            /// Confirm that a member's VM is switched off permanently.
            cmd member-forget forget {
                /// Its id.
                required id: String
            }
            /// Appoint new voters after a quorum is lost permanently.
            cmd member-reset-voters reset-voters {
                /// Their ids.
                repeated ids: String
            }
        }
        /// Show the state of the system.
        cmd status {}
        /// Wait until an offset is in force on every entry.
        cmd watch {
            /// The offset.
            required offset: u64
        }
    }
}
