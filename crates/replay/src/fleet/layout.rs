//! The layout of a fleet: VMs, racks of four VMs, data halls and pools.

use thistle_model::{
    Budget, Change, HallName, MemberFacts, MemberId, Name, PlatformStatus, PoolName, RackName,
    Revision, Service, ServiceName, Template, TemplateName, Tier, VmFacts, VmName, Workspace,
};

/// The number of VMs of a rack.
const RACK_SIZE: usize = 4;

/// The size of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolPlan {
    /// The number of VMs that it should have.
    pub vms: u32,
    /// The number of VMs that may be out of service at one time.
    pub max_unavailable: u32,
    /// Its tier.
    pub tier: Tier,
}

/// The layout of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The number of VMs in total.
    pub vms: usize,
    /// The number of data halls.
    pub halls: usize,
    /// The pools.
    pub pools: Vec<PoolPlan>,
}

impl Layout {
    /// Returns a layout of 50 VMs in three halls and five pools.
    pub fn three_halls() -> Self {
        let pool = |vms, max_unavailable, tier| PoolPlan { vms, max_unavailable, tier };
        let pools = vec![
            pool(12, 2, Tier::Gold),
            pool(10, 3, Tier::Silver),
            pool(10, 2, Tier::Gold),
            pool(8, 2, Tier::Silver),
            pool(6, 2, Tier::Bronze),
        ];
        Self { vms: 50, halls: 3, pools }
    }

    /// Returns a layout of 50 VMs in four halls and five pools.
    pub fn four_halls() -> Self {
        let pool = |vms, max_unavailable, tier| PoolPlan { vms, max_unavailable, tier };
        let pools = vec![
            pool(10, 2, Tier::Gold),
            pool(10, 2, Tier::Gold),
            pool(10, 2, Tier::Silver),
            pool(9, 2, Tier::Silver),
            pool(7, 3, Tier::Bronze),
        ];
        Self { vms: 50, halls: 4, pools }
    }

    /// Returns a layout of `vms` VMs with `pools` equal pools and a reserve of one and a half racks.
    pub fn uniform(vms: usize, pools: usize, halls: usize) -> Self {
        let each = u32::try_from((vms - RACK_SIZE - RACK_SIZE / 2) / pools).unwrap_or(1);
        let plan = |i: usize| PoolPlan {
            vms: each,
            max_unavailable: (each / 6).max(1),
            tier: Tier::ALL[i % Tier::ALL.len()],
        };
        Self { vms, halls, pools: (0..pools).map(plan).collect() }
    }

    /// Returns the name of the VM at index `i` in its incarnation `incarnation`.
    pub fn vm_name(&self, i: usize, incarnation: u32) -> VmName {
        VmName::new(&format!("vm-{i:04}-{incarnation}")).expect("a valid name")
    }

    /// Returns the properties of the VM at index `i` in the platform's list.
    pub fn facts(&self, i: usize) -> VmFacts {
        let rack = i / RACK_SIZE;
        VmFacts {
            addr: ([127, 0, 0, 1], 8_000).into(),
            hall: HallName::new(&format!("hall-{}", rack % self.halls)).expect("a valid name"),
            rack: RackName::new(&format!("rack-{rack:03}")).expect("a valid name"),
            slots: thistle_model::vm::DEFAULT_SLOTS,
            connections: thistle_model::vm::DEFAULT_CONNECTIONS,
        }
    }

    /// Returns the indices of the VMs of a rack.
    pub fn vms_of_rack(&self, rack: usize) -> Vec<usize> {
        (0..self.vms).filter(|i| i / RACK_SIZE == rack).collect()
    }

    /// Returns the number of racks.
    pub fn rack_count(&self) -> usize {
        self.vms.div_ceil(RACK_SIZE)
    }

    /// Returns the changes that create the fleet.
    pub(super) fn initial_changes(&self, member: MemberId) -> Vec<Change> {
        let template = TemplateName::new("template").expect("a valid name");
        let service = Service {
            name: ServiceName::new("service").expect("a valid name"),
            repeatable: true,
            deadline_ms: 1_000,
            echoes_request_id: true,
            tier: None,
        };
        let facts = MemberFacts {
            name: Name::new("entry").expect("a valid name"),
            hall: HallName::new("hall-0").expect("a valid name"),
            peer_addr: ([127, 0, 0, 1], 7_001).into(),
        };
        let mut changes = vec![
            Change::MemberJoin { member, facts },
            Change::PublishTemplate {
                name: template.clone(),
                base: Revision::NONE,
                template: Template { title: String::new(), services: vec![service] },
            },
        ];
        changes.extend((0..self.vms).map(|i| Change::VmSeen {
            vm: self.vm_name(i, 0),
            facts: self.facts(i),
            status: PlatformStatus::Live,
        }));
        changes.extend(self.pools.iter().enumerate().map(|(p, plan)| Change::SetWorkspace {
            name: PoolName::new(&format!("pool-{p:02}")).expect("a valid name"),
            base: Revision::NONE,
            workspace: Workspace {
                template: template.clone(),
                tier: plan.tier,
                vms: plan.vms,
                budget: Budget { max_unavailable: plan.max_unavailable },
                windows: Vec::new(),
            },
        }));
        changes
    }
}
