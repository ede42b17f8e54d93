//! Admission of submissions: whether a job is sent to the store, by the health of the store ([`StoreView`]) and by the load of
//! the job's pool ([`Outlook`]).

mod gate;
mod load;
mod outlook;
mod queue;
mod reach;
mod starts;
mod store;

pub use gate::{Decision, Gate};
pub use load::{Arrival, Competition, RETRY_SPREAD_S, Verdict, retry_after_s};
pub use outlook::{ClassOutlook, Curve, Outlook, Point, workspace_hash};
pub use queue::{Capacity, Class, OpenWork};
pub use reach::FleetView;
pub use starts::{StartCompetition, StartOutlook, StartQueue};
pub use store::StoreView;
