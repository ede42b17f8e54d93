//! Costs of the routing decisions of an entry.

use std::hint::black_box;
use std::time::Duration;

use thistle_fold::view;
use thistle_model::clock::Instant;
use thistle_model::{Revision, Tier};
use thistle_plan::PlanConfig;
use thistle_replay::fleet::{Fleet, Layout};
use thistle_request::Router;
use thistle_request::admit::Ticket;
use thistle_request::breaker::SendResult;
use thistle_request::router::{ChoicePolicy, Decision, FailedVms, RouteRequest, RouterConfig};

use super::{Slope, micros};

const POOLS: usize = 22;

/// Measures routing at several fleet sizes.
pub fn measure() -> Vec<Slope> {
    let sizes = [400usize, 800, 1_600, 3_200];
    let routers: Vec<_> = sizes.iter().map(|&n| (n as f64, router(n))).collect();
    let wants = sizes.iter().map(|&n| (n as f64, wants_time(router(n))));
    vec![
        Slope::new(
            "routing one request",
            "VM",
            "us",
            routers.into_iter().map(|(n, r)| (n, route_time(r))).collect(),
        ),
        Slope::new("working out slot wants", "VM", "us", wants.collect()),
    ]
}

fn router(vms: usize) -> Router {
    let fleet = Fleet::new(Layout::uniform(vms, POOLS, 12), PlanConfig::default(), 1);
    let cfg = RouterConfig { choice: ChoicePolicy::TwoChoices, ..RouterConfig::default() };
    let mut router = Router::new(cfg);
    router.apply_view(&view::changed_since(&fleet.state, Revision::NONE));
    router.set_proof(Instant::from_micros(u64::MAX));
    router
}

fn route_time(mut router: Router) -> f64 {
    let pool = router.pool_key("pool-00").expect("the view holds the pool");
    let mut n = 0;
    micros(5, 5_000, || {
        n += 1;
        let now = Instant::from_micros(n);
        let request = RouteRequest {
            ticket: Ticket(n),
            pool,
            tier: Tier::Gold,
            deadline: now + Duration::from_secs(1),
            repeatable: true,
            failed_vms: FailedVms::default(),
        };
        if let Decision::Send(vm) = router.submit(request, now) {
            black_box(router.finish(vm, SendResult::Success, Duration::from_millis(1), now));
        }
    })
}

fn wants_time(mut router: Router) -> f64 {
    micros(5, 20, || {
        black_box(router.slot_wants(Instant::from_micros(1)));
    })
}
