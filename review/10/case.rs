//! A rack of minions loses power while a job whose tasks save checkpoints runs there. The rule LOST is checked by what the
//! minions run and what a client is told.

#[path = "../lib-3/world.rs"]
mod world;

use std::thread;
use std::time::Duration;

use world::{Client, Node, Setup, World, wait_until};

const SERVICE: &str = "huvo11a";
const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: usize = 300;
const WORK_MS: u64 = 12_000;
const CHECKPOINT_BYTES: usize = 1_000;
/// How long the rack has no power.
const DARK: Duration = Duration::from_millis(7_000);
/// After the end of the disruption, the calm time before the span in which the job must run something (4 s by the rule).
const CALM_S: f64 = 4.0;
/// How long a job may have nothing running (3 s by the rule).
const MOST_IDLE_S: f64 = 3.0;
/// How long the job is watched after the disruption.
const WATCHED: Duration = Duration::from_secs(30);

fn main() {
    let setup = Setup::from_args();
    let record = setup.record.clone();
    let world = World::start(&record, SERVICE, 9);
    world.configure(SERVICE, "/puxa400/", 2);
    let (store, machines) = (world.store.serve(), world.serve_machines());
    let nodes: Vec<Node> = (1..=3)
        .map(|i| Node::start(&setup.dir, &format!("frontend-{i}"), store, machines, &setup.pids))
        .collect();
    let ready = wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready));
    if !ready {
        eprintln!("the nodes are not ready");
        finish(nodes, 2);
    }
    thread::sleep(Duration::from_secs(3));
    let client = Client { record: &record, nodes: &nodes };
    let path = format!("/puxa400/{JOB}");
    // The step must run in the first rack, which has room for its tasks twice over.
    let body = format!(
        "{{\"spec\":\"work={WORK_MS};checkpoint={CHECKPOINT_BYTES}\",\"phases\":[{{\"count\":{TASKS},\"cpu\":100,\
         \"memMb\":64,\"estimatedMs\":{WORK_MS},\"checkpointing\":true,\"constraints\":\"r1-0\"}}]}}"
    );
    if !client.submit(&path, &body) {
        eprintln!("the job was not accepted");
        finish(nodes, 2);
    }
    let all_run = || world.runs_of(JOB).iter().filter(|run| run.to.is_none()).count() == TASKS;
    if !wait_until(Duration::from_secs(10), all_run) {
        eprintln!("the tasks did not start");
        finish(nodes, 2);
    }
    record.line(&format!("all {TASKS} tasks run"));
    thread::sleep(Duration::from_secs(3));
    let rack: Vec<_> = world.minions.iter().filter(|minion| minion.rack == "r1-0").collect();
    if setup.trouble {
        rack.iter().for_each(|minion| world.crash(minion));
        thread::sleep(DARK);
        rack.iter().for_each(|minion| world.revive(minion));
    }
    let calm_from = record.seconds() + CALM_S;
    let completed = wait_until(WATCHED, || {
        thread::sleep(Duration::from_secs(1));
        client.state(&path) == "completed"
    });
    let until = record.seconds();
    let idle = longest_idle(&world, calm_from, until);
    let state = client.state(&path);
    let lost = !completed && idle >= MOST_IDLE_S;
    let verdict = if lost { "LOST" } else { "held" };
    record.line(&format!(
        "{verdict}: state {state}, the job had nothing running for up to {idle:.1} s in the calm time"
    ));
    println!("{verdict}: state {state}, nothing running for up to {idle:.1} s in the calm time");
    let code = match (lost, completed) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    };
    finish(nodes, code);
}

/// Returns the longest span between `from` and `until` in which no task of the job ran on any minion.
fn longest_idle(world: &World, from: f64, until: f64) -> f64 {
    let mut spans: Vec<(f64, f64)> =
        world.runs_of(JOB).iter().map(|run| (run.from, run.to.unwrap_or(until))).collect();
    spans.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut covered, mut longest) = (from, 0.0_f64);
    for (start, end) in spans {
        if start > covered {
            longest = longest.max(start.min(until) - covered);
        }
        covered = covered.max(end);
    }
    longest.max(until - covered)
}

fn finish(nodes: Vec<Node>, code: i32) -> ! {
    drop(nodes);
    std::process::exit(code);
}
