//! Log lines for routing decisions, one per decision.

use thistle_model::clock::Instant;
use thistle_request::Router;
use thistle_request::breaker::Availability;
use thistle_request::router::{PoolLoad, VmKey, VmLoad};

use crate::parse::CallerRequest;

/// The number of VMs of a pool that were skipped for a request, by reason.
#[derive(Default)]
struct SkippedVms {
    /// Drained, cordoned or leaving.
    closed: usize,
    /// Excluded because of failures.
    excluded: usize,
    /// Without an idle slot leased to this entry.
    no_slot: usize,
}

/// Logs the VM that a request is sent to, the reason, and how many VMs were skipped.
pub fn sent(router: &Router, id: &str, req: &CallerRequest, key: VmKey, sends: u32) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let Some(vm) = router.vm(key) else { return };
    let Some(pool) = router.pool(vm.pool) else { return };
    let skipped = skipped_vms(router, pool, key);
    log::info!(
        "route id={id} workspace={} service={} vm={} hall={} send={} reason={} in_flight={} leased={} \
         passed_over=closed:{},aside:{},no-slot:{} of={}",
        req.workspace,
        req.service,
        vm.name,
        vm.facts.hall,
        sends + 1,
        reason(vm, sends),
        vm.in_flight,
        vm.leased,
        skipped.closed,
        skipped.excluded,
        skipped.no_slot,
        pool.vms.len(),
    );
}

fn reason(vm: &VmLoad, sends: u32) -> &'static str {
    match (vm.breaker.is_excluded(), sends) {
        (true, _) => "trial-of-a-vm-set-aside",
        (false, 0) => "fewer-in-flight-of-two",
        (false, _) => "again-after-a-failure",
    }
}

fn skipped_vms(router: &Router, pool: &PoolLoad, chosen: VmKey) -> SkippedVms {
    let now = Instant::now();
    let mut skipped = SkippedVms::default();
    let others = pool.vms.iter().filter(|&&key| key != chosen);
    for vm in others.filter_map(|&key| router.vm(key)) {
        if !vm.is_sendable() {
            skipped.closed += 1;
        } else if vm.breaker.availability(now) != Availability::Available {
            skipped.excluded += 1;
        } else if vm.free_leased(now) == 0 {
            skipped.no_slot += 1;
        }
    }
    skipped
}

/// Logs a refusal.
pub fn refused(id: &str, req: &CallerRequest, refusal: &thistle_request::Refusal) {
    log::info!(
        "refuse id={id} workspace={} service={} outcome={} reason={} retry_after_ms={} detail=\"{}\"",
        req.workspace,
        req.service,
        refusal.outcome.as_str(),
        refusal.reason,
        refusal.retry_after.as_millis(),
        refusal.detail,
    );
}
