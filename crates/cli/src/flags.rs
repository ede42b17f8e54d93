//! The command line of `thistle`.

#![allow(clippy::enum_variant_names, reason = "xflags needs names of their own")]

use std::path::PathBuf;

xflags::xflags! {
    /// Publishes templates and parameters, moves VMs, and shows how the fleet converges.
    cmd thistle {
        /// Operator addresses of stewards, with commas between; else THISTLE_STEWARDS is used.
        optional --stewards stewards: String
        /// Print JSON for programs in place of tables.
        optional --json
        /// Show what would be done and do nothing.
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
                /// The revision that it replaces; the present one when left out.
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
                /// The revision that it replaces; the present one when left out.
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
                /// Only those of this pool, or of `reserve`.
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
            /// Let a cordoned or drained VM serve again.
            cmd vm-back back {
                /// Its name.
                required name: String
            }
            /// Explain why a VM can or cannot leave now.
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
            /// Show how far the wave is.
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
            /// Vouch that a member's VM is switched off for good.
            cmd member-forget forget {
                /// Its id.
                required id: String
            }
            /// Appoint voters anew after a quorum of them is lost for good.
            cmd member-reset-voters reset-voters {
                /// Their ids.
                repeated ids: String
            }
        }
        /// Show the state of things.
        cmd status {}
        /// Wait until an offset is in force on every entry.
        cmd watch {
            /// The offset.
            required offset: u64
        }
    }
}
