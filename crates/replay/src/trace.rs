//! Recorded traces: the set-up in YAML and the arrivals in CSV.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thistle_model::Tier;

/// The reason why a trace cannot be read.
#[derive(Debug)]
pub enum TraceError {
    /// A file cannot be read.
    Read(PathBuf, std::io::Error),
    /// The set-up cannot be parsed.
    Setup(PathBuf, String),
    /// A line of the arrivals cannot be parsed.
    Line(PathBuf, usize),
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(p, e) => {
                write!(f, "cannot read {}: {e}; record the trace again", p.display())
            }
            Self::Setup(p, e) => write!(f, "{}: {e}", p.display()),
            Self::Line(p, n) => write!(
                f,
                "{} line {n}: use at_us,entry,tier,deadline_ms,service_us,repeatable",
                p.display()
            ),
        }
    }
}

impl std::error::Error for TraceError {}

/// The kind of a fault of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The machine is switched off: connections time out and requests in flight are lost.
    Kill,
    /// The process has ended: connections are refused immediately.
    Stop,
    /// Every request fails immediately.
    Fail,
    /// Requests run, but their responses are lost.
    LoseAnswers,
    /// The worker recovers.
    Mend,
    /// The worker disappears from the platform's list and so from the view.
    Unlist,
}

/// A fault of workers at a point in time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The time, in milliseconds.
    pub at_ms: u64,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The affected workers.
    pub workers: Vec<usize>,
}

/// The bounds that a replay of the trace must meet under the policy of the entry.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The minimum share of gold requests answered within their deadline, in percent.
    pub gold_in_time_percent: Option<f64>,
    /// The minimum share of all requests answered within their deadline, in percent.
    pub in_time_percent: Option<f64>,
    /// The minimum useful work, in percent of the capacity of the workers.
    pub goodput_percent: Option<f64>,
    /// The maximum number of requests in flight on one worker.
    pub max_in_flight: Option<usize>,
    /// The maximum number of retries, in percent of the sends.
    pub retries_percent: Option<f64>,
    /// The maximum number of requests whose outcome is unknown.
    pub unknown: Option<usize>,
}

/// The set-up of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// A description of the replayed situation.
    pub about: String,
    /// The number of entries.
    pub entries: usize,
    /// The number of workers of the pool.
    pub workers: usize,
    /// The network delay of one hop, in microseconds.
    pub hop_us: u64,
    /// The faults of workers.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The bounds that the replay must meet.
    #[serde(default)]
    pub outcome: Bounds,
}

/// One request of a trace.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The time of arrival, in microseconds.
    pub at_us: u64,
    /// The entry that receives it.
    pub entry: usize,
    /// Its tier.
    pub tier: Tier,
    /// Its deadline, in milliseconds from its arrival.
    pub deadline_ms: u64,
    /// How long a worker is busy with it, in microseconds.
    pub service_us: u64,
    /// Whether it may run twice.
    pub repeatable: bool,
}

/// A trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Its set-up.
    pub setup: Setup,
    /// Its requests, ordered by time.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Reads `NAME.yaml` and `NAME.csv` in `dir`.
    pub fn read(dir: &Path, name: &str) -> Result<Self, TraceError> {
        let text = |path: &Path| {
            std::fs::read_to_string(path).map_err(|e| TraceError::Read(path.to_owned(), e))
        };
        let path = dir.join(format!("{name}.yaml"));
        let setup = serde_saphyr::from_str(&text(&path)?)
            .map_err(|e| TraceError::Setup(path.clone(), e.to_string()))?;
        let path = dir.join(format!("{name}.csv"));
        let lines = text(&path)?;
        let parse = |(n, line)| parse_line(line).ok_or(TraceError::Line(path.clone(), n + 1));
        let arrivals: Result<Vec<_>, _> = lines.lines().enumerate().map(parse).collect();
        Ok(Self { setup, arrivals: arrivals? })
    }
}

fn parse_line(line: &str) -> Option<Arrival> {
    let mut cells = line.split(',');
    let mut number = || cells.next()?.parse::<u64>().ok();
    let (at_us, entry) = (number()?, number()?);
    let tier = *Tier::ALL.get(usize::try_from(number()?).ok()?)?;
    let (deadline_ms, service_us, repeatable) = (number()?, number()?, number()? == 1);
    let entry = usize::try_from(entry).ok()?;
    Some(Arrival { at_us, entry, tier, deadline_ms, service_us, repeatable })
}
