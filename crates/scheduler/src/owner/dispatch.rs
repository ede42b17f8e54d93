//! Passes the orders of a step on to the links of VMs and to the advisor.

use metrics::counter;
use thistle_schedule::pool::{Order, StartResult};

use super::Owner;
use crate::clock::now;

impl Owner {
    pub(super) fn dispatch(&mut self, order: Order) {
        let vm = match &order {
            Order::Start(start) => &start.vm,
            Order::Stop { vm, .. } | Order::Throttle { vm, .. } => vm,
            Order::RequestAdvice(request) => {
                log::info!(
                    "advice step=asked job={} time={} step={} named={} with_room={}",
                    request.step.job,
                    request.step.repetition,
                    request.step.step,
                    request.vms.len(),
                    request.with_room,
                );
                counter!("thistle_advice_vms").increment(request.vms.len() as u64);
                self.advisor.send(request.clone());
                return;
            }
        };
        let Some(link) = self.link(vm) else {
            log::warn!("order step=no-link vm={vm}");
            if let Order::Start(start) = &order {
                // The order was never sent.
                let (vm, run) = (start.vm.clone(), start.run);
                self.pool.apply_start_result(&vm, run, StartResult::NotTaken, now());
            }
            return;
        };
        match order {
            Order::Start(start) => {
                log::info!(
                    "start step=ordered run={} vm={} pool={} queue={} token={} free_cpu={}",
                    start.run,
                    start.vm,
                    self.log.pool,
                    start.spec.queue,
                    self.token,
                    start.free_cpu,
                );
                counter!("thistle_starts").increment(1);
                let first = self.first_copy(&start);
                link.start(start, first);
            }
            Order::Stop { vm, run, for_move } => {
                log::info!(
                    "stop step=ordered run={run} vm={vm} token={} for_move={for_move}",
                    self.token
                );
                counter!("thistle_stops").increment(1);
                link.stop(run, for_move);
            }
            Order::Throttle { vm, run, percent } => {
                log::info!("pace step=ordered run={run} vm={vm} percent={percent}");
                link.set_speed(run, percent);
            }
            Order::RequestAdvice(_) => (),
        }
    }
}
