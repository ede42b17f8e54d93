//! Helpers for the tests of the fold.

#![allow(dead_code, reason = "each test file uses a part of it")]

use thistle_fold::{State, Verdict};
use thistle_model::{
    Budget, Change, HallName, MemberFacts, MemberId, Name, Offset, PlatformStatus, PoolName,
    RackName, Record, RecordId, Revision, Service, ServiceName, Template, TemplateName, Tier,
    VmFacts, VmName, Workspace,
};

pub fn template(deadline_ms: u32) -> Template {
    let service = Service {
        name: ServiceName::new("quotes").unwrap(),
        repeatable: true,
        deadline_ms,
        echoes_request_id: true,
        tier: None,
    };
    Template { title: String::new(), services: vec![service] }
}

pub fn workspace(vms: u32, max_unavailable: u32) -> Workspace {
    Workspace {
        template: TemplateName::new("t").unwrap(),
        tier: Tier::Gold,
        vms,
        budget: Budget { max_unavailable },
        windows: Vec::new(),
    }
}

pub fn vm_name(i: usize) -> VmName {
    VmName::new(&format!("vm-{i}")).unwrap()
}

pub fn pool_name(i: usize) -> PoolName {
    PoolName::new(&format!("pool-{i}")).unwrap()
}

pub fn facts(i: usize) -> VmFacts {
    VmFacts {
        addr: ([127, 0, 2, u8::try_from(i % 250).unwrap()], 8000).into(),
        hall: HallName::new(&format!("hall-{}", i % 3)).unwrap(),
        rack: RackName::new(&format!("rack-{}", i / 4)).unwrap(),
        slots: 8,
        connections: 64,
    }
}

pub fn member_facts(i: u64) -> MemberFacts {
    MemberFacts {
        name: Name::new(&format!("entry-{i}")).unwrap(),
        hall: HallName::new(&format!("hall-{}", i % 3)).unwrap(),
        peer_addr: ([127, 0, 1, 1], 7001).into(),
    }
}

/// A state with the log of one writer, which numbers its records.
pub struct Log {
    pub state: State,
    pub records: Vec<Record>,
    seq: u64,
}

impl Log {
    pub fn new() -> Self {
        Self { state: State::new(), records: Vec::new(), seq: 0 }
    }

    /// Applies a change under a new record ID.
    pub fn apply(&mut self, change: Change) -> Verdict {
        self.seq += 1;
        let record = Record { id: RecordId { writer: 1, seq: self.seq }, at_ms: 0, change };
        self.apply_record(record)
    }

    /// Applies a record as the next log entry.
    pub fn apply_record(&mut self, record: Record) -> Verdict {
        let offset = Offset(self.records.len() as u64);
        let entry = thistle_model::record::encode(std::slice::from_ref(&record));
        self.records.push(record);
        self.state.apply_entry(offset, &entry).remove(0)
    }

    /// Applies a change that must be accepted.
    #[track_caller]
    pub fn accept(&mut self, change: Change) -> Revision {
        self.apply(change).result.expect("accepted")
    }

    pub fn add_vm(&mut self, i: usize) {
        self.accept(Change::VmSeen {
            vm: vm_name(i),
            facts: facts(i),
            status: PlatformStatus::Live,
        });
    }

    pub fn revision(&self, i: usize) -> Revision {
        self.state.vms[self.state.vm_key(&vm_name(i)).unwrap()].revision
    }

    pub fn join(&mut self, i: u64) {
        self.accept(Change::MemberJoin { member: MemberId(i), facts: member_facts(i) });
    }

    /// Publishes a template and sets up pools of four VMs with a budget of one.
    pub fn with_pools(pools: usize) -> Self {
        let mut log = Self::new();
        let name = TemplateName::new("t").unwrap();
        let base = Revision::NONE;
        log.accept(Change::PublishTemplate { name, base, template: template(1_000) });
        for p in 0..pools {
            let (name, workspace) = (pool_name(p), workspace(4, 1));
            log.accept(Change::SetWorkspace { name, base, workspace });
            for i in p * 4..p * 4 + 4 {
                log.add_vm(i);
                let base = log.revision(i);
                log.accept(Change::Assign { vm: vm_name(i), base, to: Some(pool_name(p)) });
            }
        }
        log
    }
}
