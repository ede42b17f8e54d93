//! A simulation of stewards with their entries, a log and the network, run step by step.

mod steps;

use std::time::Duration;

use thistle_fold::{MemberState, Stage, State};
use thistle_model::clock::Instant;
use thistle_model::{
    Budget, Change, DrainReason, HallName, MemberFacts, MemberId, Name, Offset, PlatformStatus,
    PoolName, RackName, Record, RecordId, Revision, Service, ServiceName, Template, TemplateName,
    Tier, VmFacts, VmName, Workspace,
};
use thistle_steward::promise::{Promises, Proof};

const NODES: usize = 5;
const FENCE: Duration = Duration::from_millis(40);
/// Shorter than the fence time, so that promises outlast this timeout; the settings would reject this.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(20);

/// A reply to a log read or to a heartbeat that has not been delivered yet.
enum Reply {
    Read { node: usize, called_at: Instant, entries: Vec<Vec<u8>>, from: Offset, to_end: bool },
    Promise { node: usize, from: usize, called_at: Instant, voters: Revision },
}

/// One steward with its entry.
struct Node {
    state: State,
    proof: Proof,
    promises: Promises,
    gone_read_at: Option<(MemberId, Instant)>,
    log_cut: bool,
    frozen: bool,
}

/// The simulation; `agreed` is the state after the whole log.
pub struct World {
    now: Instant,
    log: Vec<Vec<u8>>,
    pub agreed: State,
    seq: u64,
    log_down: bool,
    nodes: Vec<Node>,
    cut: [[bool; NODES]; NODES],
    undelivered: Vec<Reply>,
    pub sends: u32,
    pub fenced_out: u32,
}

fn id(i: usize) -> MemberId {
    MemberId(i as u64 + 1)
}

pub fn vm() -> VmName {
    VmName::new("vm").unwrap()
}

fn initial_changes() -> Vec<Change> {
    let template = TemplateName::new("t").unwrap();
    let pool = PoolName::new("p").unwrap();
    let base = Revision::NONE;
    let service = Service {
        name: ServiceName::new("s").unwrap(),
        repeatable: true,
        deadline_ms: 1,
        echoes_request_id: true,
        tier: None,
    };
    let workspace = Workspace {
        template: template.clone(),
        tier: Tier::Gold,
        vms: 2,
        budget: Budget { max_unavailable: 1 },
        windows: Vec::new(),
    };
    let facts = VmFacts {
        addr: ([127, 0, 0, 1], 1).into(),
        hall: HallName::new("h").unwrap(),
        rack: RackName::new("r").unwrap(),
        slots: 8,
        connections: 64,
    };
    let other = VmName::new("other").unwrap();
    let seen = |vm: &VmName| Change::VmSeen {
        vm: vm.clone(),
        facts: facts.clone(),
        status: PlatformStatus::Live,
    };
    let to = Some(pool.clone());
    let mut changes = vec![
        Change::PublishTemplate {
            name: template,
            base,
            template: Template { title: String::new(), services: vec![service] },
        },
        Change::SetWorkspace { name: pool, base, workspace },
        seen(&vm()),
        Change::Assign { vm: vm(), base: Revision(3), to: to.clone() },
        seen(&other),
        Change::Assign { vm: other, base: Revision(5), to },
    ];
    for i in 0..NODES {
        let facts = MemberFacts {
            name: Name::new("e").unwrap(),
            hall: HallName::new("h").unwrap(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
        };
        changes.push(Change::MemberJoin { member: id(i), facts });
    }
    changes.push(Change::VotersProposed { base, voters: (0..3).map(id).collect() });
    changes
}
