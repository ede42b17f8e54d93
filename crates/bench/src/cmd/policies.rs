//! `thistle-bench policies`: compares each policy with the baseline on the same recorded arrivals.

use std::path::Path;

use thistle_model::Tier;
use thistle_replay::{Policy, Report, Trace, replay};
use thistle_request::admit::AdmitPolicy;
use thistle_request::router::{ChoicePolicy, RetryPolicy};

use super::Error;
use super::record::TRACES;

/// Returns the policies to compare, with their labels.
fn policies() -> Vec<(&'static str, Policy)> {
    let ours = Policy::ENTRY;
    vec![
        ("baseline: random, late, always", Policy::BASELINE),
        (
            "two choices, late, budget",
            Policy { choice: ChoicePolicy::TwoChoices, admit: AdmitPolicy::Late, ..ours },
        ),
        ("two choices, deadline, budget", Policy { choice: ChoicePolicy::TwoChoices, ..ours }),
        ("leased, late, budget", Policy { admit: AdmitPolicy::Late, ..ours }),
        ("leased, deadline, always", Policy { retry: RetryPolicy::Always, ..ours }),
        ("ours: leased, deadline, budget", ours),
    ]
}

/// Prints a table for each trace.
pub fn run(dir: &Path) -> Result<(), Error> {
    for (name, _) in &TRACES {
        let trace = Trace::read(dir, name)?;
        println!("\n{name}: {} requests. {}", trace.arrivals.len(), trace.setup.about.trim());
        println!(
            "{:<32} {:>6} {:>6} {:>6} {:>8} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7} {:>8} {:>5} {:>6}",
            "policy",
            "gold%",
            "silv%",
            "bron%",
            "goodput%",
            "p50ms",
            "p99ms",
            "p999ms",
            "not-run",
            "unknown",
            "wasted",
            "retries%",
            "peak",
            "double"
        );
        for (label, policy) in policies() {
            print_row(label, &replay(&trace, policy));
        }
    }
    Ok(())
}

fn print_row(label: &str, r: &Report) {
    println!(
        "{label:<32} {:>6.2} {:>6.2} {:>6.2} {:>8.1} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7} {:>8.2} {:>5} {:>6}",
        r.in_time_percent(Tier::Gold),
        r.in_time_percent(Tier::Silver),
        r.in_time_percent(Tier::Bronze),
        r.goodput_percent,
        r.latency_us(500) / 1_000,
        r.latency_us(990) / 1_000,
        r.latency_us(999) / 1_000,
        r.not_run,
        r.unknown,
        r.wasted_runs,
        r.retries_percent(),
        r.peak,
        r.double_runs,
    );
}
