//! A rack of minions loses power while a large job runs there. Afterwards small jobs of another client run on the other
//! minions. The rule LOST is checked for these small jobs, by what the minions run and what the client is told.

#[path = "../lib-3/world.rs"]
mod world;

use std::thread;
use std::time::Duration;

use world::{Client, Node, Setup, World, wait_until};

const SERVICE: &str = "huvo11a";
const LARGE: &str = "5c0e7a21d94b36f8";
/// The tasks of the step that runs in the first rack and saves checkpoints, and those of the step that runs in the second
/// rack: about 600 a minion there.
const TASKS: [usize; 2] = [300, 2_400];
const WORK_MS: [u64; 2] = [12_000, 14_000];
const CHECKPOINT_BYTES: usize = 1_000;
/// How long the rack has no power.
const DARK: Duration = Duration::from_millis(7_000);
const SMALL: usize = 10;
const SMALL_WORK_MS: u64 = 500;
/// How long the small jobs are watched after the last was submitted.
const WATCHED: Duration = Duration::from_secs(30);
/// How long a job may have nothing running though a task's turn has come (3 s by the rule).
const MOST_IDLE_S: f64 = 3.0;

fn main() {
    let setup = Setup::from_args();
    let record = setup.record.clone();
    let world = World::start(&record, SERVICE, 9);
    world.configure(SERVICE, "/puxa400/", 2);
    let (store, machines) = (world.store.serve(), world.serve_machines());
    let nodes: Vec<Node> = (1..=3)
        .map(|i| Node::start(&setup.dir, &format!("frontend-{i}"), store, machines, &setup.pids))
        .collect();
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
        eprintln!("the nodes are not ready");
        finish(nodes, 2);
    }
    thread::sleep(Duration::from_secs(3));
    let client = Client { record: &record, nodes: &nodes };
    let large = format!(
        "{{\"spec\":\"work0={};checkpoint0={CHECKPOINT_BYTES};work1={}\",\"phases\":[\
         {{\"count\":{},\"cpu\":50,\"memMb\":16,\"estimatedMs\":{},\"checkpointing\":true,\"constraints\":\"r1-0\"}},\
         {{\"count\":{},\"cpu\":26,\"memMb\":16,\"estimatedMs\":{},\"constraints\":\"r1-1\"}}]}}",
        WORK_MS[0], WORK_MS[1], TASKS[0], WORK_MS[0], TASKS[1], WORK_MS[1]
    );
    if !client.submit(&format!("/puxa400/{LARGE}"), &large) {
        eprintln!("the large job was not accepted");
        finish(nodes, 2);
    }
    let running = || world.runs_of(LARGE).iter().filter(|run| run.to.is_none()).count();
    if !wait_until(Duration::from_secs(8), || running() == TASKS[0] + TASKS[1]) {
        eprintln!("only {} tasks started", running());
        finish(nodes, 2);
    }
    record.line("all tasks of the large job run");
    thread::sleep(Duration::from_secs(3));
    let rack: Vec<_> = world.minions.iter().filter(|minion| minion.rack == "r1-0").collect();
    if setup.trouble {
        rack.iter().for_each(|minion| world.crash(minion));
        thread::sleep(DARK);
        rack.iter().for_each(|minion| world.revive(minion));
    } else {
        thread::sleep(DARK);
    }
    // The disruption is over for 10 s before the first small job comes.
    thread::sleep(Duration::from_secs(10));
    record.line("calm: small jobs of another client come");
    let small = format!(
        "{{\"spec\":\"work={SMALL_WORK_MS}\",\"phases\":[\
         {{\"count\":2,\"cpu\":500,\"memMb\":256,\"estimatedMs\":{SMALL_WORK_MS},\"constraints\":\"r1-1\"}},\
         {{\"count\":1,\"cpu\":500,\"memMb\":256,\"estimatedMs\":{SMALL_WORK_MS},\"constraints\":\"r1-1\",\"dependsOn\":[0]}}]}}"
    );
    let ids: Vec<String> = (0..SMALL).map(|i| format!("00000000000001{i:02x}")).collect();
    let accepted: Vec<&String> =
        ids.iter().filter(|id| client.submit(&format!("/puxa400/{id}"), &small)).collect();
    let all_done = || {
        thread::sleep(Duration::from_secs(1));
        accepted.iter().all(|id| client.state(&format!("/puxa400/{id}")) == "completed")
    };
    let completed = wait_until(WATCHED, all_done);
    let until = record.seconds();
    let mut lost = 0_u32;
    for id in &accepted {
        let state = client.state(&format!("/puxa400/{id}"));
        let idle = idle_since_first_step(&world, id, until);
        if state != "completed" && idle >= MOST_IDLE_S {
            lost += 1;
        }
        record.line(&format!("small job {id}: {state}, its second step has waited {idle:.1} s"));
    }
    let verdict = if lost > 0 { "LOST" } else { "held" };
    let summary = format!("{verdict}: {lost} of {} accepted small jobs never go on", accepted.len());
    record.line(&summary);
    println!("{summary}");
    let code = match (lost, completed && accepted.len() == SMALL) {
        (1.., _) => 1,
        (0, true) => 0,
        (0, false) => 2,
    };
    finish(nodes, code);
}

/// Returns for how long the second step of a job has had nothing running although both tasks of the first one are done.
fn idle_since_first_step(world: &World, id: &str, until: f64) -> f64 {
    let runs = world.runs_of(id);
    let first = format!("{id}.0.0.");
    let done: Vec<f64> = runs
        .iter()
        .filter(|run| run.task.starts_with(&first) && run.how == "done")
        .filter_map(|run| run.to)
        .collect();
    let second = runs.iter().any(|run| run.task.starts_with(&format!("{id}.0.1.")));
    if second || done.len() < 2 {
        return 0.0;
    }
    until - done.into_iter().fold(0.0, f64::max)
}

fn finish(nodes: Vec<Node>, code: i32) -> ! {
    drop(nodes);
    std::process::exit(code);
}
