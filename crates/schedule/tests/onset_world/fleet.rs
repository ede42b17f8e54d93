//! The owner of the fleet and the machine service.

use super::*;

impl Replay {
    pub(super) fn step_fleet(&mut self) {
        let now = self.now;
        let every = if self.fleet.is_busy() { FLEET_LIST_MS } else { 3_000 };
        if self.listed_at.is_none_or(|at| now - at >= every) {
            self.listed_at = Some(now);
            let vms = self.vms.iter().map(fleet_vm).collect();
            self.fleet.set_vms(vms, now);
        }
        let orders = self.fleet.plan(now);
        let is_short = self.is_short();
        for order in orders {
            let to_off = order.purpose == Purpose::Move { to: names()[OFF].to_string() };
            self.outcome.switched_off_while_short += usize::from(is_short && to_off);
            let vm = self.by_name[&order.vm];
            self.add(now + RECORD_MS, Event::Sent(vm, order.vm, order.purpose));
        }
        self.add(now + RECORD_MS, Event::Record);
        self.add(now + FLEET_STEP_MS, Event::FleetStep);
    }

    /// Returns whether some pool has reported a need for more VMs than it has, with those on the way to it.
    fn is_short(&self) -> bool {
        let work = &self.fleet.record().work;
        let size = |p: usize| {
            let to = Purpose::Move { to: names()[p].to_string() };
            let here = self
                .vms
                .iter()
                .filter(|vm| vm.pool == p && !vm.away && work.get(&vm.name).is_none());
            here.count() + work.iter().filter(|w| w.purpose == to).count()
        };
        (0..POOLS).any(|p| self.needs[p] > size(p))
    }

    pub(super) fn send_order(&mut self, vm: usize, name: &str, purpose: &Purpose) {
        let Purpose::Move { to } = purpose else { return };
        let to = names().iter().position(|pool| **pool == **to).unwrap_or(OFF);
        let from = self.vms[vm].pool;
        if from < POOLS {
            let id = incarnation(&self.vms[vm]);
            self.pools[from].unlist_vm(&id);
        }
        self.vms[vm].away = true;
        if self.now < self.ends_at {
            self.outcome.moves += 1;
        }
        self.fleet.record_order_result(name, OrderOutcome::Done, self.now);
        self.listed_at = None;
        self.add(self.now + MOVE_MS, Event::Arrived(vm, to));
        self.vms[vm].arrival = None;
        if to == OFF {
            self.outcome.switched_off += 1;
        } else if self.outcome.bursts.last().is_some_and(|burst| burst.pool == to) {
            self.vms[vm].arrival = Some(self.outcome.arrivals.len());
            let burst = self.outcome.bursts.len() - 1;
            self.outcome.arrivals.push(Arrival { burst, ..Arrival::default() });
            self.set_arrival(vm, |arrival, ms| arrival.ordered = Some(ms));
        }
    }

    pub(super) fn set_arrival(&mut self, vm: usize, set: impl FnOnce(&mut Arrival, Ms)) {
        let Some(arrival) = self.vms[vm].arrival else { return };
        let arrival = &mut self.outcome.arrivals[arrival];
        let Some(first) = self.outcome.bursts[arrival.burst].first_job else { return };
        set(arrival, self.now - first);
    }

    pub(super) fn list_in_pool(&mut self, vm: usize) {
        let state = &self.vms[vm];
        if state.pool == OFF || state.away {
            return;
        }
        let facts = VmFacts {
            id: incarnation(state),
            name: state.name.clone(),
            pool: names()[state.pool].clone(),
            addr: ([127, 0, 0, 1], 1).into(),
            hall: "hall-a".into(),
            rack: "r1".into(),
            labels: Vec::new(),
            room: Room { cpu: VM_CPU, mem_mb: 32_000, gpu: 0 },
            draining: false,
            unreadable: false,
            cold: false,
        };
        let pool = &mut self.pools[state.pool];
        let id = facts.id.clone();
        pool.list_vm(facts.into());
        pool.apply_report(&id, &VmReport::default(), at(self.now));
    }
}

fn fleet_vm(vm: &Vm) -> FleetVm {
    let is_up = !vm.away && vm.pool != OFF;
    FleetVm {
        name: vm.name.clone(),
        pool: names()[vm.pool].clone(),
        state: if vm.away { VmState::Away } else { VmState::Up },
        hall: "hall-a".into(),
        rack: "r1".into(),
        incarnation: is_up.then(|| incarnation(vm).to_string().into()),
    }
}
