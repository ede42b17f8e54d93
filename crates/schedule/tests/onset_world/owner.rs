//! The owners of the pools: starts, ends and reports of load.

use super::*;

impl Replay {
    pub(super) fn end_run(&mut self, pool: usize, run: RunId, vm: &VmIncarnation) {
        let ended = vec![end(self.now + 1, run, EndKind::Done)];
        self.pools[pool].apply_report(vm, &report(0, Vec::new(), ended), at(self.now));
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        job.left -= 1;
        if job.left > 0 {
            return;
        }
        let took = self.now - job.accepted;
        let (in_time, useful) = (took <= job.objective, took <= 3 * job.objective);
        let counts = [&mut self.outcome.jobs[pool], &mut self.outcome.large];
        for [_, timely, late] in counts.into_iter().take(1 + usize::from(job.large)) {
            *timely += usize::from(in_time);
            *late += usize::from(useful && !in_time);
        }
        self.jobs.remove(&run.task.job);
    }

    pub(super) fn step_pool(&mut self, p: usize) {
        let now = at(self.now);
        let started = starts(&self.pools[p].plan(now));
        self.pools[p].take_records();
        self.pools[p].take_acks();
        for start in started {
            self.pools[p].apply_start_result(&start.vm, start.run, StartResult::Started, now);
            let estimate = start.spec.steps[usize::from(start.run.task.step)].estimated_ms;
            let took = Ms::from(estimate) * self.rng.random_range(85..115) / 100;
            self.add(self.now + took, Event::Ended(p, start.run, start.vm.clone()));
            let vm = self.by_name[start.vm.id().split('-').nth(1).unwrap_or_default()];
            self.set_arrival(vm, |arrival, ms| _ = arrival.first_start.get_or_insert(ms));
        }
        self.record_at_work(p);
        self.report(p);
    }

    pub(super) fn record_at_work(&mut self, p: usize) {
        let Some(burst) = self.outcome.bursts.last_mut().filter(|burst| burst.pool == p) else {
            return;
        };
        let Some(first) = burst.first_job else { return };
        let vms = self.pools[p].vm_summaries();
        let at_work = vms.iter().filter(|vm| vm.runs > 0).count();
        for (part, at) in [5, 9].into_iter().zip(&mut burst.at_work) {
            if at_work * 10 >= burst.needed * part {
                at.get_or_insert(self.now - first);
            }
        }
    }

    /// Reports a pool's load at the intervals of the pool's owner. One report is on its way at a time.
    pub(super) fn report(&mut self, p: usize) {
        let (sent_at, in_flight, last) = &self.reported[p];
        let waited = self.now - sent_at;
        if *in_flight || waited < 50 {
            return;
        }
        let (pool, now) = (&self.pools[p], at(self.now));
        let lead = self.fleet.record().lead_ms().unwrap_or(2_000);
        let (demand, load) = (pool.demand(lead, now), pool.load(now));
        let text = |s: Arc<str>| s.to_string();
        #[allow(
            clippy::needless_update,
            reason = "the replay leaves the identity of a report empty"
        )]
        let next = PoolReport {
            waiting_cpu: load.waiting_cpu,
            used_cpu: load.used_cpu,
            soon_cpu: demand.in_time().next_multiple_of(1_000),
            late_cpu: demand.late.next_multiple_of(1_000),
            cpu: load.cpu,
            vms: load.vms,
            spread: load.spread,
            emptied: pool.emptied().into_iter().map(|(n, id)| (text(n), id.to_string())).collect(),
            idle: pool.idle().into_iter().map(text).collect(),
            light: pool.without_lasting_tasks(now).into_iter().map(text).collect(),
            ..PoolReport::default()
        };
        let jumped = next.soon_cpu > last.soon_cpu + (last.soon_cpu / 8).max(u64::from(VM_CPU));
        let changed =
            next.idle != last.idle || next.vms != last.vms || next.soon_cpu != last.soon_cpu;
        let interval = match jumped || next.emptied != last.emptied {
            true => 50,
            false if changed => 250,
            false => 1_000,
        };
        if waited >= interval {
            self.reported[p] = (self.now, true, next.clone());
            let delay = self.rng.random_range(50..250);
            self.add(self.now + delay, Event::Report(p, next));
        }
    }

    pub(super) fn receive_report(&mut self, p: usize, report: PoolReport) {
        self.reported[p].1 = false;
        let cpu = report.soon_cpu + report.late_cpu;
        self.needs[p] = cpu.div_ceil(u64::from(VM_CPU) * 8 / 10) as usize;
        if let Some(burst) = self.outcome.bursts.last_mut().filter(|burst| burst.pool == p) {
            let Some(first) = burst.first_job else { return };
            for (part, known) in [5, 9].into_iter().zip(&mut burst.known) {
                if self.needs[p] * 10 >= burst.needed * part {
                    known.get_or_insert(self.now - first);
                }
            }
        }
        self.fleet.set_report(&names()[p], report, self.now);
    }
}
