//! A cap that limits one resource at first and another one later: processors first, then memory as well.

use thistle_schedule::quota::{CapUse, Lender};
use thistle_schedule::{Room, Workspace};

const fn room(cpu: u32, mem_mb: u32) -> Room {
    Room { cpu, mem_mb, gpu: 0 }
}

fn workspace(cap: Room, limited_since: u64) -> Workspace {
    Workspace { name: "lunch".into(), weight: 1, cap, limited_since }
}

fn report_use(lender: &mut Lender, pool: &str, count: u64, number: u64, used: Room) {
    let (pool, workspace) = (pool.to_owned(), "lunch".to_owned());
    lender.record_use(CapUse { pool, workspace, sequence: (1, count), number, used, wanted: used });
}

/// While memory has no limit, a pool may take more of it than it has reported. When memory is limited later, the whole cap
/// must not be lent in addition to the memory that is in use.
#[test]
fn a_resource_that_is_limited_later_is_not_lent_in_addition_to_its_use() {
    let pools = || ["desk".into(), "plan".into()].into_iter();
    let mut lender = Lender::default();
    lender.set_config(1, pools(), &[workspace(room(100, 0), 1)]);
    let first = lender.plan().lent[0].number;
    for pool in ["desk", "plan"] {
        report_use(&mut lender, pool, 1, first, room(10, 50));
    }
    let number = lender.plan().lent.last().map_or(first, |lent| lent.number);
    // Since these reports, one pool has taken much more memory.
    lender.set_config(2, pools(), &[workspace(room(100, 1_000), 1)]);
    let lent = lender.plan().lent.remove(0);
    assert!(lent.number > number);
    assert!(lent.shares.iter().all(|share| share.room.mem_mb == 0), "{lent:?}");
    report_use(&mut lender, "desk", 2, lent.number, room(10, 900));
    report_use(&mut lender, "plan", 2, lent.number, room(10, 50));
    let lent = lender.plan().lent.remove(0);
    let plan = lent.share("plan").expect("plan is one of the pools");
    assert!(plan.room.mem_mb <= 100, "{lent:?}");
}
