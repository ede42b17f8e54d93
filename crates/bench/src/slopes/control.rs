//! Costs of the messages between the system's processes.

use std::hint::black_box;

use thistle_model::clock::Instant;
use thistle_model::record::encode;
use thistle_model::{
    Budget, Change, MemberId, Offset, PoolName, Record, RecordId, Revision, TemplateName, Tier,
    VmName, Workspace,
};
use thistle_request::claim::{AttemptId, Claim, ClaimTable};
use thistle_request::key::ClaimKey;
use thistle_request::router::DrainAck;
use thistle_request::slot_home::{SlotHome, SlotWant};
use thistle_wire::peer::{ClaimRequest, EntryReport, Heartbeat, HeartbeatReply};

use super::{Slope, micros};

/// Returns the size of a message on the wire, without TCP headers.
pub(super) fn wire_bytes<T: serde::Serialize>(message: &T) -> f64 {
    // The length prefix of the frame and the envelope of tarpc.
    const ENVELOPE: usize = 60;
    (bincode_size(message) + ENVELOPE) as f64
}

/// Returns the encoded size of a message in the codec of the wire.
fn bincode_size<T: serde::Serialize>(message: &T) -> usize {
    use tarpc::tokio_serde::Serializer;
    use tarpc::tokio_serde::formats::Bincode;
    let mut codec: Bincode<(), &T> = Bincode::default();
    let codec = std::pin::Pin::new(&mut codec);
    codec.serialize(&message).map_or(0, |bytes| bytes.len())
}

/// Measures the memory of claims. Runs first, while there is no freed memory that could be reused.
pub fn claim_memory_slope() -> Slope {
    let sizes = [50_000usize, 100_000, 200_000, 400_000];
    let points = sizes.iter().map(|&n| (n as f64, claim_memory(n))).collect();
    Slope::new("memory of claims", "claim held", "bytes", points)
}

/// Measures the messages and tables of the control plane.
pub fn measure() -> Vec<Slope> {
    let at = |sizes: [usize; 4], cost: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        sizes.iter().map(|&n| (n as f64, cost(n))).collect()
    };
    vec![
        Slope::new(
            "heartbeat",
            "open drain",
            "bytes",
            at([0, 10, 50, 200], &|n| wire_bytes(&heartbeat(n))),
        ),
        Slope::new(
            "heartbeat reply",
            "leaving VM",
            "bytes",
            at([0, 10, 50, 200], &|n| wire_bytes(&heartbeat_reply(n))),
        ),
        Slope::new("record of a workspace", "record", "bytes", at([1, 10, 50, 100], &record_bytes)),
        Slope::new(
            "claim request",
            "request",
            "bytes",
            at([1, 2, 4, 8], &|n| n as f64 * wire_bytes(&claim_request())),
        ),
        Slope::new(
            "claiming",
            "claim held",
            "us",
            at([1_000, 10_000, 50_000, 200_000], &claim_time),
        ),
        Slope::new("granting slots of one VM", "entry", "us", at([3, 9, 27, 81], &slot_time)),
        Slope::new(
            "slot wants of one call",
            "VM",
            "bytes",
            at([1, 10, 50, 145], &|n| wire_bytes(&slot_wants(n))),
        ),
        Slope::new(
            "VM list from the platform",
            "VM",
            "bytes",
            at([50, 400, 1_600, 3_200], &list_bytes),
        ),
    ]
}

fn vm_name(i: usize) -> VmName {
    VmName::new(&format!("vm-{i:04}")).expect("a valid name")
}

fn heartbeat(drains: usize) -> Heartbeat {
    let acks = (0..drains).map(|i| DrainAck { vm: vm_name(i), revision: Revision(i as u64) });
    Heartbeat {
        from: MemberId(1),
        offset: Offset(1),
        voters: Revision(1),
        merged: Revision(1),
        log_up: true,
        stated: Vec::new(),
        entry: EntryReport { offset: Offset(1), ready: true, acks: acks.collect() },
        leaving: Vec::new(),
    }
}

fn heartbeat_reply(leaving: usize) -> HeartbeatReply {
    HeartbeatReply {
        from: MemberId(1),
        offset: Offset(1),
        voters: Revision(1),
        promise: true,
        stated: false,
        log_up: true,
        leaving: (0..leaving).map(vm_name).collect(),
    }
}

fn record_bytes(records: usize) -> f64 {
    let record = |i: usize| Record {
        id: RecordId { writer: u64::MAX, seq: i as u64 },
        at_ms: 1_793_520_000_000,
        change: Change::SetWorkspace {
            name: PoolName::new("delivery-quotes").expect("a valid name"),
            base: Revision(123_456),
            workspace: Workspace {
                template: TemplateName::new("quotes").expect("a valid name"),
                tier: Tier::Gold,
                vms: 145,
                budget: Budget { max_unavailable: 12 },
                windows: Vec::new(),
            },
        },
    };
    let records: Vec<_> = (0..records).map(record).collect();
    encode(&records).len() as f64
}

fn claim_request() -> ClaimRequest {
    ClaimRequest {
        to: MemberId(u64::MAX),
        key: ClaimKey(u128::MAX),
        claim: Claim { attempt: AttemptId(u64::MAX), fingerprint: u64::MAX, answer: None },
        voters: Revision(1),
    }
}

fn claim_table(claims: usize) -> ClaimTable {
    let mut table = ClaimTable::new(std::time::Duration::from_secs(3_600), 1 << 22, 1 << 20);
    for i in 0..claims {
        claim(&mut table, i);
    }
    table
}

fn claim(table: &mut ClaimTable, i: usize) {
    let key = ClaimKey((i as u128).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835));
    let wanted = Claim { attempt: AttemptId(i as u64), fingerprint: 1, answer: None };
    let revision = Revision(1);
    black_box(table.claim(key, &wanted, revision, revision, Instant::from_micros(1)));
}

fn claim_time(held: usize) -> f64 {
    let mut table = claim_table(held);
    let mut i = held;
    micros(5, 2_000, || {
        claim(&mut table, i);
        i += 1;
    })
}

/// Returns the growth of this process's memory by a table. The table is leaked, so that the next one
/// cannot reuse its memory.
fn claim_memory(held: usize) -> f64 {
    let before = super::state::resident();
    std::mem::forget(black_box(claim_table(held)));
    super::state::resident().saturating_sub(before) as f64
}

fn slot_wants(vms: usize) -> Vec<SlotWant> {
    (0..vms).map(|i| SlotWant { vm: vm_name(i), held: 2, want: 3 }).collect()
}

fn slot_time(entries: usize) -> f64 {
    let mut home = SlotHome::new();
    home.become_home(&vm_name(0), Instant::default());
    let want = SlotWant { vm: vm_name(0), held: 0, want: 2 };
    let now = Instant::from_micros(1);
    let mut e = 0u64;
    micros(5, 2_000, || {
        e += 1;
        black_box(home.grant(MemberId(e % entries as u64), &want, 8, now));
    })
}

fn list_bytes(vms: usize) -> f64 {
    use thistle_model::{HallName, PlatformStatus, RackName, VmFacts};
    use thistle_wire::platform::ListedVm;
    let listed = |i: usize| ListedVm {
        name: vm_name(i),
        facts: VmFacts {
            addr: ([10, 12, 34, 56], 8_000).into(),
            hall: HallName::new("hall-a").expect("a valid name"),
            rack: RackName::new("rack-001").expect("a valid name"),
            slots: 8,
            connections: 64,
        },
        status: PlatformStatus::Live,
        rebooted: Revision(1),
    };
    let listed: Vec<_> = (0..vms).map(listed).collect();
    serde_json::to_vec(&listed).map_or(0, |l| l.len()) as f64
}
