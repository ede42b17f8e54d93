//! An entry of a replay: the router that the entry's process uses, and the slots whose home it is.

use thistle_model::clock::Instant;
use thistle_model::view::{ViewPool, ViewUpdate, ViewVm};
use thistle_model::{
    HallName, MemberId, Offset, PoolName, RackName, Service, ServiceName, Template, Tier, VmFacts,
    VmName,
};
use thistle_request::router::{PoolKey, Router, RouterConfig};
use thistle_request::slot_home::SlotHome;

/// The only pool of a replay.
const POOL: &str = "pool";
/// The number of workers of a rack.
const RACK_SIZE: usize = 4;

/// An entry.
pub(crate) struct Entry {
    pub router: Router,
    pub home: SlotHome,
    pub pool: PoolKey,
    /// Whether it requests slots at short intervals.
    pub requests_often: bool,
    /// The number of the next slot request, by which requests that were scheduled earlier are skipped.
    pub next_request: u64,
}

impl Entry {
    /// Returns an entry that knows the listed workers and whose proof of membership never expires.
    pub fn new(cfg: RouterConfig, listed: &[usize]) -> Self {
        let mut router = Router::new(cfg);
        router.apply_view(&view(listed));
        router.set_proof(Instant::from_micros(u64::MAX));
        let pool = router.pool_key(POOL).expect("the view holds the pool");
        Self { router, home: SlotHome::new(), pool, requests_often: false, next_request: 0 }
    }
}

/// Returns the member for which an entry acts.
pub(crate) fn member(entry: usize) -> MemberId {
    MemberId(entry as u64 + 1)
}

/// Returns a worker's name.
pub(crate) fn vm_name(worker: usize) -> VmName {
    VmName::new(&format!("vm-{worker}")).expect("a valid name")
}

/// Returns the worker of that name.
pub(crate) fn worker_of(vm: &VmName) -> usize {
    vm.as_str().trim_start_matches("vm-").parse().unwrap_or(0)
}

/// Returns the view that holds the listed workers.
pub(crate) fn view(listed: &[usize]) -> ViewUpdate {
    let service = Service {
        name: ServiceName::new("service").expect("a valid name"),
        repeatable: true,
        deadline_ms: 1_000,
        echoes_request_id: true,
        tier: None,
    };
    let template = Template { title: String::new(), services: vec![service] };
    let vm = |&worker: &usize| ViewVm {
        name: vm_name(worker),
        facts: VmFacts {
            addr: ([127, 0, 0, 1], u16::try_from(worker).unwrap_or(0)).into(),
            hall: HallName::new("hall").expect("a valid name"),
            rack: RackName::new(&format!("rack-{}", worker / RACK_SIZE)).expect("a valid name"),
            slots: thistle_model::vm::DEFAULT_SLOTS,
            connections: thistle_model::vm::DEFAULT_CONNECTIONS,
        },
    };
    let pool = ViewPool {
        name: PoolName::new(POOL).expect("a valid name"),
        tier: Tier::Gold,
        template: template.into(),
        vms: listed.iter().map(vm).collect(),
        drains: Vec::new(),
    };
    ViewUpdate { offset: Offset(1), pools: vec![pool], ..ViewUpdate::default() }
}
