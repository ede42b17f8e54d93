//! The steps of a random run.

use super::*;

impl World {
    pub fn new() -> Self {
        let node = || Node {
            state: State::new(),
            proof: Proof::new(FENCE),
            promises: Promises::new(FENCE),
            gone_read_at: None,
            log_cut: false,
            frozen: false,
        };
        let mut world = Self {
            now: Instant::from_micros(1_000_000),
            log: Vec::new(),
            agreed: State::new(),
            seq: 0,
            log_down: false,
            nodes: (0..NODES).map(|_| node()).collect(),
            cut: [[false; NODES]; NODES],
            undelivered: Vec::new(),
            sends: 0,
            fenced_out: 0,
        };
        for change in initial_changes() {
            world.append(change);
        }
        for i in 0..NODES {
            world.request_log(i);
        }
        while !world.undelivered.is_empty() {
            world.deliver(0);
        }
        world
    }

    fn append(&mut self, change: Change) {
        self.seq += 1;
        let record = Record { id: RecordId { writer: 1, seq: self.seq }, at_ms: 0, change };
        let entry = thistle_model::record::encode(&[record]);
        let before = self.agreed.members.len();
        self.agreed.apply_entry(Offset(self.log.len() as u64), &entry);
        self.fenced_out += u32::from(self.agreed.members.len() < before);
        self.log.push(entry);
    }

    fn request_log(&mut self, i: usize) {
        let node = &self.nodes[i];
        if node.frozen || node.log_cut || self.log_down {
            return;
        }
        let from = node.state.next;
        let entries = self.log[usize::try_from(from.0).unwrap()..].to_vec();
        self.undelivered.push(Reply::Read {
            node: i,
            called_at: self.now,
            entries,
            from,
            to_end: true,
        });
    }

    /// Delivers a heartbeat to a voter at once; the promise is delivered later, or never.
    fn send_heartbeat(&mut self, from: usize, to: usize) {
        let blocked = from == to || self.cut[from][to] || self.nodes[from].frozen;
        if blocked || self.nodes[to].frozen {
            return;
        }
        let now = self.now;
        let voter = &mut self.nodes[to];
        let known = voter.state.members.contains_key(&id(from));
        if voter.state.voters.contains(id(to))
            && known
            && voter.promises.on_heartbeat(id(from), now)
        {
            let voters = voter.state.voters.revision;
            self.undelivered.push(Reply::Promise { node: from, from: to, called_at: now, voters });
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.undelivered.is_empty() {
            return;
        }
        match self.undelivered.swap_remove(pick % self.undelivered.len()) {
            Reply::Read { node, called_at, entries, from, to_end } => {
                let n = &mut self.nodes[node];
                if n.frozen || n.state.next != from {
                    return;
                }
                for (k, entry) in entries.iter().enumerate() {
                    n.state.apply_entry(Offset(from.0 + k as u64), entry);
                }
                if to_end {
                    n.proof.on_log_end(called_at);
                }
                let gone = n.state.members.iter().find(|(_, m)| m.state == MemberState::Gone);
                let gone = gone.map(|(&g, _)| g);
                if n.gone_read_at.map(|(g, _)| g) != gone {
                    n.gone_read_at = gone.map(|g| (g, self.now));
                }
            }
            Reply::Promise { node, from, called_at, voters } => {
                if !self.nodes[node].frozen {
                    self.nodes[node].proof.on_promise(id(from), voters, called_at);
                }
            }
        }
    }

    /// Returns whether the entry of node `i` may send to the VM.
    fn would_send(&self, i: usize) -> bool {
        let n = &self.nodes[i];
        let joined = n.state.members.get(&id(i)).map(|m| m.state) == Some(MemberState::Joined);
        let key = n.state.vm_key(&vm()).unwrap();
        let serves = n.state.vms[key].is_available();
        let proof = n.proof.until(id(i), &n.state.voters, self.now) > self.now;
        joined && serves && proof && !n.frozen
    }

    fn drain(&mut self, by: usize) {
        if let Some((vm, base, _)) = self.writable(by) {
            self.append(Change::Drain { vm, base, reason: DrainReason::Operator });
        }
    }

    /// Returns the VM, its revision and its stage as node `by` knows them, or `None` if the node cannot
    /// append.
    fn writable(&self, by: usize) -> Option<(VmName, Revision, Stage)> {
        let n = &self.nodes[by];
        if n.frozen || n.log_cut || self.log_down {
            return None;
        }
        let key = n.state.vm_key(&vm()).unwrap();
        Some((vm(), n.state.vms[key].revision, n.state.vms[key].stage.clone()))
    }

    /// Appends the end of the drain with the acknowledgements of all entries that the planner can
    /// reach.
    fn record_drained(&mut self, by: usize) {
        let Some((vm, base, Stage::Draining(_))) = self.writable(by) else {
            return;
        };
        let acks: Vec<_> = (0..NODES)
            .filter(|&i| {
                let n = &self.nodes[i];
                let is_reachable = i == by || (!n.frozen && !self.cut[i][by]);
                let key = n.state.vm_key(&vm).unwrap();
                let has_read = n.state.vms[key].revision == base;
                is_reachable && has_read && n.state.members.contains_key(&id(i))
            })
            .map(id)
            .collect();
        self.append(Change::Drained { vm, base, acks });
    }

    fn state_gone(&mut self, by: usize, target: usize) {
        if self.writable(by).is_none() || by == target {
            return;
        }
        let now = self.now;
        let voters = self.nodes[by].state.voters.revision;
        let statements: Vec<_> = (0..NODES)
            .filter(|&i| i == by || !(self.cut[i][by] || self.nodes[i].frozen))
            .filter(|&i| self.nodes[i].state.voters.revision == voters)
            .filter(|&i| self.nodes[i].promises.stated_gone(now).contains(&id(target)))
            .map(id)
            .collect();
        if self.nodes[by].state.voters.is_quorum(&statements) {
            self.append(Change::MemberGone { member: id(target), voters, statements });
        }
    }

    fn record_fenced(&mut self, by: usize) {
        let Some((gone, read)) = self.nodes[by].gone_read_at else {
            return;
        };
        if self.writable(by).is_some() && self.now.since(read) > FENCE {
            self.append(Change::MemberFenced { member: gone });
        }
    }

    fn propose(&mut self, by: usize, bits: u32) {
        let set: Vec<_> = (0..NODES).filter(|i| bits >> i & 1 == 1).map(id).collect();
        let base = self.nodes[by].state.voters.revision;
        if self.writable(by).is_some() {
            self.append(Change::VotersProposed { base, voters: set });
        }
    }

    fn commit(&mut self, by: usize) {
        let voters = self.nodes[by].state.voters.clone();
        let adopted: Vec<_> = (0..NODES)
            .filter(|&i| i == by || !(self.cut[i][by] || self.nodes[i].frozen))
            .filter(|&i| self.nodes[i].state.voters.revision == voters.revision)
            .map(id)
            .collect();
        if self.writable(by).is_some() && voters.next.is_some() && voters.is_quorum(&adopted) {
            self.append(Change::VotersCommitted { base: voters.revision, adopted });
        }
    }

    fn check_contacts(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        if n.frozen || !n.state.voters.contains(id(i)) {
            return;
        }
        let others: Vec<_> = n.state.members.keys().copied().filter(|&m| m != id(i)).collect();
        n.promises.refuse_unresponsive(others.into_iter(), CONTACT_TIMEOUT, self.now);
    }

    /// Every member sends a heartbeat to every voter that it can reach, and gets the replies at
    /// once.
    fn send_all_heartbeats(&mut self) {
        for from in 0..NODES {
            for to in 0..NODES {
                self.send_heartbeat(from, to);
            }
        }
        self.deliver_all();
    }

    fn deliver_all(&mut self) {
        while !self.undelivered.is_empty() {
            self.deliver(0);
        }
    }

    fn read_log(&mut self, i: usize) {
        self.request_log(i);
        if let Some(last) = self.undelivered.len().checked_sub(1) {
            self.deliver(last);
        }
    }

    /// Runs a planner once; it reads the log before each record that it appends.
    fn plan(&mut self, by: usize, also_drain: bool) {
        (0..NODES).for_each(|voter| self.check_contacts(voter));
        self.read_log(by);
        (0..NODES).for_each(|target| self.state_gone(by, target));
        self.read_log(by);
        self.record_fenced(by);
        if also_drain {
            self.drain(by);
        }
        (0..NODES).filter(|i| i % 2 == 0).for_each(|i| self.read_log(i));
        self.read_log(by);
        self.record_drained(by);
    }

    fn change_voters(&mut self, by: usize, bits: u32) {
        self.propose(by, bits);
        (0..NODES).filter(|i| bits >> (i + 8) & 1 == 1).for_each(|i| self.read_log(i));
        self.read_log(by);
        self.commit(by);
        self.read_log(by);
    }

    fn isolate(&mut self, i: usize, with_log: bool) {
        for k in (0..NODES).filter(|&k| k != i) {
            self.cut[i][k] = true;
            self.cut[k][i] = true;
        }
        self.nodes[i].log_cut |= with_log;
    }

    fn heal_peers(&mut self, i: usize) {
        for k in 0..NODES {
            self.cut[i][k] = false;
            self.cut[k][i] = false;
        }
    }

    fn heal(&mut self, i: usize) {
        self.heal_peers(i);
        self.nodes[i].log_cut = false;
        self.nodes[i].frozen = false;
    }

    pub fn step(&mut self, s: &[u32; 3]) {
        let [kind, a, b] = *s;
        let (i, k) = (a as usize % NODES, b as usize % NODES);
        match kind % 32 {
            0..=5 => self.now = self.now + Duration::from_millis(u64::from(b % 24)),
            6..=8 => self.send_all_heartbeats(),
            9 => (0..NODES).for_each(|to| self.send_heartbeat(i, to)),
            10..=11 => self.request_log(i),
            12 => self.deliver(a as usize),
            13..=14 => self.read_log(i),
            15..=20 => self.plan(i, a.is_multiple_of(2)),
            21..=22 => self.change_voters(i, b),
            23 => self.propose(i, b),
            24 => self.commit(i),
            25..=26 => self.isolate(i, b.is_multiple_of(2)),
            27 => self.heal(i),
            28 => self.heal_peers(k),
            29 => self.log_down = b.is_multiple_of(4),
            30 => self.drain(i),
            _ => self.nodes[i].frozen = b.is_multiple_of(3),
        }
        self.assert_no_late_send();
    }

    fn assert_no_late_send(&mut self) {
        let key = self.agreed.vm_key(&vm()).unwrap();
        let is_drained = matches!(self.agreed.vms[key].stage, Stage::Drained(_));
        for i in 0..NODES {
            if self.would_send(i) {
                self.sends += 1;
                assert!(!is_drained, "entry {i} sends to a drained VM");
            }
        }
    }
}
