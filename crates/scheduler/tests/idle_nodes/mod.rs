//! The heartbeats of nodes that own nothing, which fill the common partitions of heartbeats while the store is slow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use thistle_platform::{Guard, KeyedRecord, Store};

/// The partitions of heartbeats that all nodes use.
pub const HEARTBEATS: [u32; 2] = [1, 4];

/// Sends the heartbeats of `count` nodes that own nothing, as real ones do, until the test ends. `reads` has the fields that tell which
/// other partitions they read.
pub fn add(store: SocketAddr, count: usize, reads: &Value) {
    for number in 0..count {
        tokio::spawn(send_heartbeats(Store::new(store), number, reads.clone()));
    }
}

async fn send_heartbeats(store: Store, number: usize, reads: Value) {
    for sequence in 1_u64.. {
        let sent_at = Instant::now();
        let mut value = json!({ "life": number, "sequence": sequence, "leaving": false });
        if let (Some(value), Some(reads)) = (value.as_object_mut(), reads.as_object()) {
            value.extend(reads.clone());
        }
        let record = [KeyedRecord::new(format!("member/idle-{number}"), value.to_string())];
        for part in HEARTBEATS {
            if store.append("control", part, Guard::Always, &record).await.is_ok() {
                break;
            }
        }
        while sent_at.elapsed() < Duration::from_millis(2_500) {
            tokio::time::sleep(Duration::from_millis(450)).await;
        }
    }
}
