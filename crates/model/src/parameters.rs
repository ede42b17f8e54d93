//! Templates and the parameters of workspaces, which operators publish.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, TemplateName};

/// Minutes in a day.
pub const DAY_MINUTES: u16 = 24 * 60;
/// The largest number of VMs that a workspace may request.
pub const MAX_POOL_VMS: u32 = 10_000;
/// The longest deadline that a service may set for its requests, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 10 * 60 * 1_000;
/// The largest number of services in a template.
pub const MAX_SERVICES: usize = 64;

/// The priority tier of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tier {
    /// Served first and shed last.
    Gold,
    /// Served after gold.
    Silver,
    /// Shed first.
    Bronze,
}

impl Tier {
    /// All tiers, the highest first.
    pub const ALL: [Self; 3] = [Self::Gold, Self::Silver, Self::Bronze];

    /// Returns the word used in tables and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Gold => "gold",
            Self::Silver => "silver",
            Self::Bronze => "bronze",
        }
    }
}

/// A service that the VMs of a pool run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name in the path of a request.
    pub name: ServiceName,
    /// Whether requests with unsafe HTTP methods may be run twice; requests with safe methods always may.
    #[serde(default)]
    pub repeatable: bool,
    /// The deadline of a request that sets none, in milliseconds.
    pub deadline_ms: u32,
    /// Whether its backend servers return the `Thistle-Request-Id` header; only then are
    /// connections to them reused.
    #[serde(default)]
    pub echoes_request_id: bool,
    /// The tier of its requests, when it differs from the workspace's.
    #[serde(default)]
    pub tier: Option<Tier>,
}

/// A template from which workspaces are made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// A description for people.
    #[serde(default)]
    pub title: String,
    /// The services that each VM of the pool runs.
    pub services: Vec<Service>,
}

/// The availability budget: how much of a pool planned operations may take out of service at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The number of VMs that may be out of service at one time.
    pub max_unavailable: u32,
}

/// A daily window in which maintenance is allowed, in minutes of the day (UTC).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// The first minute of the window.
    pub from_minute: u16,
    /// The first minute after the window; smaller than `from_minute` when the window spans midnight.
    pub to_minute: u16,
}

impl Window {
    /// Returns whether `minute` of the day lies in the window.
    pub const fn contains(self, minute: u16) -> bool {
        if self.from_minute <= self.to_minute {
            self.from_minute <= minute && minute < self.to_minute
        } else {
            self.from_minute <= minute || minute < self.to_minute
        }
    }
}

/// The parameters of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The template that it is made from.
    pub template: TemplateName,
    /// Its priority tier.
    pub tier: Tier,
    /// The number of VMs that its pool should have.
    pub vms: u32,
    /// Its availability budget.
    pub budget: Budget,
    /// The windows in which its VMs may be maintained; at any time when empty.
    #[serde(default)]
    pub windows: Vec<Window>,
}

impl Workspace {
    /// Returns the number of VMs that planned operations must leave in service.
    pub const fn floor(&self) -> u32 {
        self.vms.saturating_sub(self.budget.max_unavailable)
    }

    /// Returns whether maintenance is allowed at `minute` of the day.
    pub fn window_open(&self, minute: u16) -> bool {
        self.windows.is_empty() || self.windows.iter().any(|w| w.contains(minute))
    }
}

/// The error in a template or in the parameters of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParameterError {
    /// A template without a service.
    NoService,
    /// A template with more than [`MAX_SERVICES`].
    TooManyServices(usize),
    /// Two services with the same name.
    DuplicateService(ServiceName),
    /// A deadline out of range.
    Deadline(ServiceName, u32),
    /// Too many VMs.
    TooManyVms(u32),
    /// A budget that covers the whole pool.
    BudgetCoversPool(u32),
    /// A window outside of the day.
    BadWindow(Window),
}

impl fmt::Display for ParameterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoService => {
                write!(f, "the template has no service: list at least one under 'services'")
            }
            Self::TooManyServices(n) => {
                write!(
                    f,
                    "the template has {n} services: split it, at most {MAX_SERVICES} are allowed"
                )
            }
            Self::DuplicateService(s) => {
                write!(f, "the service '{s}' is listed twice: give each service a unique name")
            }
            Self::Deadline(s, ms) => {
                write!(f, "the service '{s}' has deadline_ms {ms}: use 1 to {MAX_DEADLINE_MS}")
            }
            Self::TooManyVms(n) => write!(f, "vms is {n}: use at most {MAX_POOL_VMS}"),
            Self::BudgetCoversPool(n) => write!(
                f,
                "max_unavailable is {n}, the whole pool or more: leave at least one VM in service"
            ),
            Self::BadWindow(w) => write!(
                f,
                "the window {}..{} is outside of the day: use minutes 0 to {DAY_MINUTES}",
                w.from_minute, w.to_minute
            ),
        }
    }
}

impl std::error::Error for ParameterError {}

impl Template {
    /// Checks the number, the names and the deadlines of the services.
    pub fn check(&self) -> Result<(), ParameterError> {
        if self.services.is_empty() {
            return Err(ParameterError::NoService);
        }
        if self.services.len() > MAX_SERVICES {
            return Err(ParameterError::TooManyServices(self.services.len()));
        }
        for (i, s) in self.services.iter().enumerate() {
            if self.services[..i].iter().any(|t| t.name == s.name) {
                return Err(ParameterError::DuplicateService(s.name.clone()));
            }
            if s.deadline_ms == 0 || s.deadline_ms > MAX_DEADLINE_MS {
                return Err(ParameterError::Deadline(s.name.clone(), s.deadline_ms));
            }
        }
        Ok(())
    }
}

impl Workspace {
    /// Checks that the parameters are in range.
    pub fn check(&self) -> Result<(), ParameterError> {
        if self.vms > MAX_POOL_VMS {
            return Err(ParameterError::TooManyVms(self.vms));
        }
        if self.vms > 0 && self.budget.max_unavailable >= self.vms {
            return Err(ParameterError::BudgetCoversPool(self.budget.max_unavailable));
        }
        let bad = |w: &&Window| w.from_minute >= DAY_MINUTES || w.to_minute > DAY_MINUTES;
        match self.windows.iter().find(bad) {
            Some(w) => Err(ParameterError::BadWindow(*w)),
            None => Ok(()),
        }
    }
}
