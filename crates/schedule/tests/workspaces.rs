//! Four hundred workspaces with fifty keys each: every key is found with its workspace, and no other key is.

use std::time::Instant;

use thistle_schedule::{KeySecret, Room, Workspace, WorkspaceConfig, Workspaces};

const WORKSPACES: usize = 400;
const KEYS_EACH: usize = 50;
const LOOKUPS: usize = 100_000;

fn key_of(workspace: usize, key: usize) -> String {
    format!("k{workspace:04}x{key:04}secret")
}

/// Prints the time to build and to search the keys: `cargo test --release -p thistle-schedule --test workspaces -- --nocapture`.
#[test]
fn each_of_twenty_thousand_keys_is_found_with_its_workspace() {
    let secret = KeySecret::new([7; 32]);
    let config = |w: usize| WorkspaceConfig {
        workspace: Workspace {
            name: format!("w{w}").into(),
            weight: 1,
            cap: Room::default(),
            limited_since: 0,
        },
        keys: (0..KEYS_EACH).map(|k| key_of(w, k)).collect(),
    };
    let configs: Vec<WorkspaceConfig> = (0..WORKSPACES).map(config).collect();
    let started_at = Instant::now();
    let workspaces = Workspaces::new(configs, &secret);
    let built = started_at.elapsed();
    assert_eq!(workspaces.keys(), WORKSPACES * KEYS_EACH);
    assert_eq!(workspaces.warnings(), [""; 0]);
    let started_at = Instant::now();
    let mut found = 0;
    for i in 0..LOOKUPS {
        let (workspace, key) = (i % WORKSPACES, i % KEYS_EACH);
        let named = workspaces.of_key(&key_of(workspace, key), &secret);
        found += usize::from(named.is_some_and(|w| *w.name == *format!("w{workspace}")));
    }
    let each = started_at.elapsed() / u32::try_from(LOOKUPS).unwrap_or(1);
    assert_eq!(found, LOOKUPS);
    assert!(workspaces.of_key("k0000x0000secreT", &secret).is_none());
    println!("{} keys: built in {built:?}, {each:?} per lookup", workspaces.keys());
}

/// The labels of four hundred workspaces on each node would make up most of the scraped metrics.
#[test]
fn metrics_name_the_largest_workspaces_only() {
    let config = |w: u32| WorkspaceConfig {
        workspace: Workspace {
            name: format!("w{w}").into(),
            weight: w + 1,
            cap: Room::default(),
            limited_since: 0,
        },
        keys: Vec::new(),
    };
    let workspaces = Workspaces::new((0..400).map(config).collect(), &KeySecret::new([7; 32]));
    let named = (0..400).filter(|w| workspaces.metric_name(&format!("w{w}")) != "other");
    assert_eq!(named.collect::<Vec<u32>>(), (368..400).collect::<Vec<u32>>());
    assert_eq!(workspaces.metric_name(""), "other");
    assert_eq!(workspaces.metric_name("unheard-of"), "other");
}
