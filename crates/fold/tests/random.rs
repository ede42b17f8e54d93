//! Long random runs with racing writers, stale views, and duplicate and malformed records.
//!
//! The fold asserts its invariants after each record; these tests check them from outside as well.

mod common;

use std::collections::BTreeMap;

use common::{Log, facts, member_facts, pool_name, template, vm_name, workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use thistle_fold::snapshot::Assembler;
use thistle_fold::{State, digest, image, snapshot};
use thistle_model::job::{JobEnd, JobSpec, JobStart, Urgency};
use thistle_model::{
    Change, DrainReason, JobName, MemberId, Offset, PlatformStatus, Record, RecordId, Revision,
    TeamName, TemplateName, VmName,
};

const VMS: usize = 16;
const POOLS: usize = 3;
const MEMBERS: u64 = 5;
const WRITERS: u64 = 4;

/// Returns the number of cases of a run: few in CI, many with THISTLE_LONG_RUN=1.
fn cases() -> u32 {
    if std::env::var_os("THISTLE_LONG_RUN").is_some() { 20_000 } else { 150 }
}

fn runner() -> TestRunner {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// A change whose revisions are filled in from a state, which may be old.
#[derive(Clone, Debug)]
enum Step {
    Vm(usize, VmStep),
    Publish(u32),
    Set(usize, u32, u32),
    Join(u64),
    Leave(u64),
    Gone(u64, Vec<u64>),
    Fenced(u64),
    Propose(Vec<u64>),
    Commit(Vec<u64>),
    Wave,
    Submit(u8, u16),
    Start(u8, usize),
    End(u8, JobEnd),
}

#[derive(Clone, Debug)]
enum VmStep {
    See(PlatformStatus),
    Vanish,
    Cordon(bool),
    Drain(usize),
    GiveBack,
    Drained(Vec<u64>),
    Assign(Option<usize>),
    Reboot,
    Rebooted,
}

/// The fault of a record in a run, if any.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Stale,
    Duplicate,
    Malformed,
}

fn vm_step() -> impl Strategy<Value = VmStep> {
    let members = || prop::collection::vec(1..=MEMBERS, 0..6);
    prop_oneof![
        2 => Just(VmStep::See(PlatformStatus::Live)),
        1 => Just(VmStep::See(PlatformStatus::Leaving)),
        1 => Just(VmStep::Vanish),
        1 => any::<bool>().prop_map(VmStep::Cordon),
        6 => (0..POOLS + 2).prop_map(VmStep::Drain),
        2 => Just(VmStep::GiveBack),
        3 => members().prop_map(VmStep::Drained),
        3 => Just(VmStep::Drained((1..=MEMBERS).collect())),
        6 => prop::option::of(0..POOLS).prop_map(VmStep::Assign),
        2 => Just(VmStep::Reboot),
        2 => Just(VmStep::Rebooted),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let members = || prop::collection::vec(1..=MEMBERS, 0..5);
    let end = prop_oneof![Just(JobEnd::Done), Just(JobEnd::Failed), Just(JobEnd::Yielded)];
    prop_oneof![
        20 => (0..VMS, vm_step()).prop_map(|(i, s)| Step::Vm(i, s)),
        1 => (1..5_000u32).prop_map(Step::Publish),
        2 => (0..POOLS, 1..7u32, 0..4u32).prop_map(|(p, v, b)| Step::Set(p, v, b)),
        1 => (1..=MEMBERS).prop_map(Step::Join),
        1 => (1..=MEMBERS).prop_map(Step::Leave),
        1 => ((1..=MEMBERS), members()).prop_map(|(m, s)| Step::Gone(m, s)),
        1 => (1..=MEMBERS).prop_map(Step::Fenced),
        1 => members().prop_map(Step::Propose),
        1 => members().prop_map(Step::Commit),
        1 => Just(Step::Wave),
        2 => (any::<u8>(), 0..10u16).prop_map(|(j, s)| Step::Submit(j % 20, s)),
        3 => (any::<u8>(), 0..VMS).prop_map(|(j, v)| Step::Start(j % 20, v)),
        2 => (any::<u8>(), end).prop_map(|(j, e)| Step::End(j % 20, e)),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        12 => Just(Fault::None),
        3 => Just(Fault::Stale),
        2 => Just(Fault::Duplicate),
        1 => Just(Fault::Malformed),
    ]
}

fn vm_change(state: &State, i: usize, step: VmStep) -> Change {
    let vm = vm_name(i);
    let base = state.vm_key(&vm).map_or(Revision(1), |k| state.vms[k].revision);
    match step {
        VmStep::See(status) => Change::VmSeen { vm, facts: facts(i), status },
        VmStep::Vanish => Change::VmGone { vm, base },
        VmStep::Cordon(on) => Change::Cordon { vm, base, on, force: false },
        VmStep::Drain(p) => {
            let reason = match p {
                p if p < POOLS => DrainReason::Move(pool_name(p)),
                p if p == POOLS => DrainReason::Surplus,
                _ => DrainReason::Maintenance,
            };
            Change::Drain { vm, base, reason }
        }
        VmStep::GiveBack => Change::GiveBack { vm, base },
        VmStep::Drained(acks) => Change::Drained { vm, base, acks: ids(acks) },
        VmStep::Assign(to) => Change::Assign { vm, base, to: to.map(pool_name) },
        VmStep::Reboot => Change::MaintenanceStarted { vm, base },
        VmStep::Rebooted => Change::MaintenanceDone { vm, base },
    }
}

fn ids(ids: Vec<u64>) -> Vec<MemberId> {
    ids.into_iter().map(MemberId).collect()
}

fn job(j: u8) -> JobName {
    JobName::new(&format!("job-{j}")).unwrap()
}

fn change(state: &State, step: Step) -> Change {
    match step {
        Step::Vm(i, step) => vm_change(state, i, step),
        Step::Publish(ms) => {
            let name = TemplateName::new("t").unwrap();
            let base = state.templates.get(&name).map_or(Revision::NONE, |t| t.revision);
            Change::PublishTemplate { name, base, template: template(ms) }
        }
        Step::Set(p, vms, budget) => {
            let name = pool_name(p);
            let key = state.pool_key(&name);
            let base = key.map_or(Revision::NONE, |k| state.pools[k].revision);
            Change::SetWorkspace { name, base, workspace: workspace(vms, budget) }
        }
        Step::Join(m) => Change::MemberJoin { member: MemberId(m), facts: member_facts(m) },
        Step::Leave(m) => Change::MemberLeave { member: MemberId(m) },
        Step::Gone(m, s) => {
            let voters = state.voters.revision;
            Change::MemberGone { member: MemberId(m), voters, statements: ids(s) }
        }
        Step::Fenced(m) => Change::MemberFenced { member: MemberId(m) },
        Step::Propose(v) => Change::VotersProposed { base: state.voters.revision, voters: ids(v) },
        Step::Commit(v) => Change::VotersCommitted { base: state.voters.revision, adopted: ids(v) },
        Step::Wave => Change::WaveStart { base: state.wave.revision },
        Step::Submit(j, slots) => {
            let team = TeamName::new("team").unwrap();
            let urgency = if j % 2 == 0 { Urgency::Urgent } else { Urgency::Night };
            let pool = pool_name(usize::from(j) % POOLS);
            let repeatable = j % 3 == 0;
            Change::JobSubmit {
                spec: JobSpec { name: job(j), pool, team, urgency, slots, repeatable },
            }
        }
        Step::Start(j, v) => {
            let attempt = state.jobs.get(&job(j)).map_or(1, |x| x.starts + 1);
            Change::JobStarted {
                start: JobStart { job: job(j), vm: vm_name(v), attempt, by: MemberId(1) },
            }
        }
        Step::End(j, end) => {
            let attempt = state.jobs.get(&job(j)).map_or(1, |x| x.starts);
            Change::JobEnded { job: job(j), attempt, end }
        }
    }
}

/// Returns the label of the pool of each VM by name.
fn pool_labels_by_vm(state: &State) -> BTreeMap<VmName, String> {
    let label = |k| state.pools[state.vms[k].pool].label().to_owned();
    state.vm_keys.iter().map(|(n, &k)| (n.clone(), label(k))).collect()
}

fn is_system_decision(change: &Change) -> bool {
    matches!(
        change,
        Change::Drain { .. }
            | Change::Assign { .. }
            | Change::Cordon { .. }
            | Change::Drained { .. }
    )
}

fn run(steps: Vec<(Step, Fault, u64)>) {
    let mut log = Log::with_pools(POOLS);
    let mut old = log.state.clone();
    let mut seqs = [0u64; WRITERS as usize];
    let mut last: Option<Record> = None;
    for (n, (step, fault, writer)) in steps.into_iter().enumerate() {
        if n % 7 == 0 {
            old = log.state.clone();
        }
        let seen = if matches!(fault, Fault::Stale) { &old } else { &log.state };
        let seq = &mut seqs[usize::try_from(writer).unwrap()];
        *seq += 1;
        let id = RecordId { writer: writer + 100, seq: *seq };
        let mut record = Record { id, at_ms: n as u64, change: change(seen, step) };
        if let (Fault::Duplicate, Some(r)) = (fault, &last) {
            record = r.clone();
        }
        if matches!(fault, Fault::Malformed) {
            let next = log.state.next;
            log.state.apply_entry(next, b"[{}]");
            log.records.push(record);
            continue;
        }
        apply_and_check(&mut log, &record);
        last = Some(record);
    }
    log.state.assert_all();
}

fn apply_and_check(log: &mut Log, record: &Record) {
    let before = log.state.clone();
    let verdict = log.apply_record(record.clone());
    let after = &log.state;
    if verdict.result.is_err() {
        assert_eq!(after.accepted, before.accepted);
        assert_eq!(pool_labels_by_vm(after), pool_labels_by_vm(&before));
        return;
    }
    for (name, t) in &before.templates {
        assert!(
            after.templates[name].revision >= t.revision,
            "the revision of a template decreased"
        );
    }
    for (key, pool) in &before.pools {
        let now = &after.pools[key];
        assert!(now.revision >= pool.revision, "the revision of a workspace decreased");
        let fell = now.available < pool.available;
        let held = !is_system_decision(&record.change) || !fell || now.available >= now.floor();
        assert!(held, "{:?} took a pool below its floor", record.change);
    }
    let moved = pool_labels_by_vm(&before)
        .into_iter()
        .filter(|(vm, pool)| pool_labels_by_vm(after).get(vm).is_some_and(|p| p != pool))
        .count();
    assert!(moved <= 1, "one record moved {moved} VMs");
}

#[test]
fn random_records_never_break_an_invariant() {
    let steps = prop::collection::vec((step(), fault(), 0..WRITERS), 1..200);
    runner()
        .run(&steps, |steps| {
            run(steps);
            Ok(())
        })
        .unwrap();
}

/// Steps of jobs, and removals of the VMs on which they run.
fn job_step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![Just(JobEnd::Done), Just(JobEnd::Failed), Just(JobEnd::Yielded)];
    prop_oneof![
        3 => (0..6u8, 1..9u16).prop_map(|(j, s)| Step::Submit(j, s)),
        8 => (0..6u8, 0..VMS).prop_map(|(j, v)| Step::Start(j, v)),
        4 => (0..6u8, end).prop_map(|(j, e)| Step::End(j, e)),
        1 => (0..VMS).prop_map(|i| Step::Vm(i, VmStep::Vanish)),
    ]
}

#[test]
fn job_that_may_not_be_repeated_starts_at_most_once() {
    let steps = prop::collection::vec(job_step(), 1..200);
    let total_starts = std::cell::Cell::new(0u32);
    runner()
        .run(&steps, |steps| {
            let mut log = Log::with_pools(POOLS);
            let mut starts: BTreeMap<JobName, u32> = BTreeMap::new();
            for step in steps {
                let change = change(&log.state, step);
                let verdict = log.apply(change.clone());
                if let (Change::JobStarted { start }, Ok(_)) = (&change, &verdict.result) {
                    *starts.entry(start.job.clone()).or_default() += 1;
                }
            }
            for (name, job) in &log.state.jobs {
                let count = starts.get(name).copied().unwrap_or(0);
                total_starts.set(total_starts.get() + count);
                prop_assert!(job.spec.repeatable || count <= 1, "{} started {} times", name, count);
            }
            log.state.assert_all();
            Ok(())
        })
        .unwrap();
    assert!(total_starts.get() > cases(), "only {} starts", total_starts.get());
}

/// Returns the state after log entries.
fn fold(entries: &[Vec<u8>]) -> State {
    let mut state = State::new();
    for (i, entry) in entries.iter().enumerate() {
        state.apply_entry(Offset(i as u64), entry);
    }
    state
}

#[test]
fn snapshot_and_tail_fold_to_the_same_digest() {
    let steps = prop::collection::vec(step(), 1..150);
    runner()
        .run(&(steps, 0..150usize), |(steps, cut)| {
            let mut log = Log::with_pools(POOLS);
            for step in steps {
                let change = change(&log.state, step);
                log.apply(change);
            }
            let entries: Vec<Vec<u8>> = log
                .records
                .iter()
                .map(|r| thistle_model::record::encode(std::slice::from_ref(r)))
                .collect();
            let cut = cut.min(entries.len());
            let state_at_cut = fold(&entries[..cut]);
            let mut assembler = Assembler::new();
            let chunks = snapshot::chunks(&state_at_cut);
            let mut restored = chunks
                .iter()
                .rev()
                .filter_map(|c| assembler.add_chunk(c))
                .next_back()
                .expect("the chunks complete the snapshot in any order");
            prop_assert_eq!(digest(&restored), digest(&state_at_cut));
            for (i, entry) in entries.iter().enumerate().skip(cut) {
                restored.apply_entry(Offset(i as u64), entry);
            }
            prop_assert_eq!(digest(&restored), digest(&log.state));
            prop_assert!(image::decode(b"no image").is_none());
            Ok(())
        })
        .unwrap();
}
