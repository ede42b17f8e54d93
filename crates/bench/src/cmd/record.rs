//! `thistle-bench record`: generates the arrivals of the traces; the set-ups are written by hand.

use std::path::Path;

use thistle_replay::record::{Load, generate};

use super::Error;

/// The number of slots of the ten workers of each trace.
const SLOTS: u32 = 80;

const BASE: Load = Load {
    seed: 1,
    millis: 20_000,
    entries: 9,
    skew_percent: 40,
    slots: SLOTS,
    service_us: 200_000,
    load_percent: 150,
    gold_silver: (30, 30),
    deadlines_ms: [1_500, 3_000, 4_000],
    once_percent: 20,
};

/// The traces and their loads.
pub const TRACES: [(&str, Load); 6] = [
    ("lunch-rush", BASE),
    ("pharmacy-run", Load { seed: 2, load_percent: 50, once_percent: 100, ..BASE }),
    (
        "route-plans",
        Load {
            seed: 3,
            millis: 60_000,
            service_us: 4_000_000,
            load_percent: 45,
            deadlines_ms: [60_000; 3],
            once_percent: 0,
            ..BASE
        },
    ),
    ("delivery-photos", Load { seed: 4, load_percent: 60, once_percent: 0, ..BASE }),
    ("lost-crew", Load { seed: 5, load_percent: 40, once_percent: 100, skew_percent: 11, ..BASE }),
    ("doubled-booking", Load { seed: 6, load_percent: 70, once_percent: 60, ..BASE }),
];

/// Generates all traces.
pub fn run(dir: &Path) -> Result<(), Error> {
    for (name, load) in &TRACES {
        let lines = generate(load);
        std::fs::write(dir.join(format!("{name}.csv")), &lines)?;
        println!("{name}: {} arrivals", lines.lines().count());
    }
    Ok(())
}
