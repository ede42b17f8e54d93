//! Jobs are accepted for a rack that has just lost power, so that none of their tasks begins. The rule MIXED is checked by the
//! count of pending jobs that each node gives.

#[path = "../lib-3/world.rs"]
mod world;

use std::thread;
use std::time::Duration;

use world::{Client, Json, Node, Setup, World, call, wait_until};

const SERVICE: &str = "huvo11a";
const JOBS: usize = 8;
const WORK_MS: u64 = 500;
/// How long the rack has no power.
const DARK_S: f64 = 7.0;
/// From this age on a job that hasn't begun has to be counted: `visible_ms` and 2 s.
const COUNTED_FROM_S: f64 = 5.0;

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
    // All nodes are in touch from here on: nothing happens to them, to their links or to the store.
    thread::sleep(Duration::from_secs(5));
    let client = Client { record: &record, nodes: &nodes };
    let rack: Vec<_> = world.minions.iter().filter(|minion| minion.rack == "r1-0").collect();
    let dark_at = record.seconds();
    if setup.trouble {
        rack.iter().for_each(|minion| world.crash(minion));
    }
    let body = format!(
        "{{\"spec\":\"work={WORK_MS}\",\"phases\":[{{\"count\":1,\"cpu\":8000,\"memMb\":256,\
         \"estimatedMs\":{WORK_MS},\"constraints\":\"r1-0\"}}]}}"
    );
    let mut accepted: Vec<(String, f64)> = Vec::new();
    for i in 0..JOBS {
        let id = format!("00000000000002{i:02x}");
        if client.submit(&format!("/puxa400/{id}"), &body) {
            accepted.push((id, record.seconds()));
        }
    }
    let last_at = accepted.last().map_or(0.0, |(_, at)| *at);
    if accepted.len() < JOBS || last_at > dark_at + 1.0 {
        eprintln!("the jobs were not accepted in time");
        finish(nodes, 2);
    }
    let mut broken = 0_u32;
    let mut asked = 0_u32;
    while record.seconds() < dark_at + DARK_S - 0.2 {
        thread::sleep(Duration::from_millis(200));
        for node in &nodes {
            let sent_at = record.seconds();
            let answer = call(node.callers, "GET", "/puxa400/", "", Duration::from_secs(3));
            let body = answer.as_ref().map(|(_, body)| body.clone()).unwrap_or_default();
            let pending = Json::parse(body.as_bytes()).and_then(|json| json.num("pending"));
            // Jobs that were accepted long enough ago and of which no task has begun until the answer.
            let waiting = accepted
                .iter()
                .filter(|(id, at)| sent_at > at + COUNTED_FROM_S && world.runs_of(id).is_empty())
                .count() as u64;
            let Some(pending) = pending.filter(|_| waiting > 0) else { continue };
            asked += 1;
            let is_broken = pending * 2 < waiting;
            broken += u32::from(is_broken);
            record.line(&format!(
                "client GET /puxa400/ to {} -> pending {pending}; {waiting} jobs wait for over {COUNTED_FROM_S} s{}",
                node.name,
                if is_broken { ", MIXED" } else { "" }
            ));
        }
    }
    if setup.trouble {
        let states: Vec<String> =
            accepted.iter().map(|(id, _)| client.state(&format!("/puxa400/{id}"))).collect();
        record.line(&format!("states before the rack is back: {states:?}"));
        let left = (dark_at + DARK_S - record.seconds()).max(0.0);
        thread::sleep(Duration::from_secs_f64(left));
        rack.iter().for_each(|minion| world.revive(minion));
    }
    let done = || {
        thread::sleep(Duration::from_secs(1));
        accepted.iter().all(|(id, _)| client.state(&format!("/puxa400/{id}")) == "completed")
    };
    let completed = wait_until(Duration::from_secs(30), done);
    let verdict = if broken > 0 { "MIXED" } else { "held" };
    let summary = format!(
        "{verdict}: {broken} of {asked} counts were under half of the jobs that wait; completed in the end: {completed}"
    );
    record.line(&summary);
    println!("{summary}");
    let can_judge = completed && (asked > 0 || !setup.trouble);
    let code = match (broken, can_judge) {
        (1.., _) => 1,
        (0, true) => 0,
        (0, false) => 2,
    };
    finish(nodes, code);
}

fn finish(nodes: Vec<Node>, code: i32) -> ! {
    drop(nodes);
    std::process::exit(code);
}
