//! Logs and metrics of the traffic on this node's link.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, gauge};
use thistle_platform::http::traffic::{ByteCounts, Message, bytes_of};

use crate::node::Node;

/// The time between two checks of the traffic.
const CHECK_EVERY: Duration = Duration::from_secs(1);
/// The share of the link's bandwidth in one direction from which the traffic is logged, in percent.
const BUSY_PERCENT: u64 = 60;
/// The most kinds of messages in a log line, those with the most bytes.
const LOGGED_KINDS: usize = 5;

/// Logs the traffic of each second in which the link was busy or VMs left calls unanswered.
pub async fn log_traffic(node: Arc<Node>) {
    let mut previous = Message::ALL.map(bytes_of);
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        let current = Message::ALL.map(bytes_of);
        let mut kinds: Vec<(Message, ByteCounts)> = Message::ALL
            .into_iter()
            .zip(current.iter().zip(previous).map(|(now, before)| now.since(before)))
            .collect();
        previous = current;
        let sent: u64 = kinds.iter().map(|(_, bytes)| bytes.sent).sum();
        let received: u64 = kinds.iter().map(|(_, bytes)| bytes.received).sum();
        let answers = node.vm_answers.take();
        let bandwidth = node.link_bytes_per_s();
        let is_busy = bandwidth.is_some_and(|b| sent.max(received) * 100 >= b * BUSY_PERCENT);
        if !is_busy && answers.unanswered == 0 {
            continue;
        }
        kinds.sort_by_key(|(_, bytes)| std::cmp::Reverse(bytes.sent + bytes.received));
        let mut listed = String::new();
        for (message, bytes) in kinds.iter().take(LOGGED_KINDS) {
            let (peer, name) = message.names();
            // Writing to a string does not fail.
            let _ = write!(listed, " {peer}/{name}={}+{}", bytes.sent, bytes.received);
        }
        log::info!(
            "traffic step=second busy={is_busy} sent={sent} received={received} bandwidth={bandwidth:?} \
             vm_answers={} vm_unanswered={} vm_fastest_ms={:?}{listed}",
            answers.answered,
            answers.unanswered,
            answers.fastest_ms,
        );
    }
}

/// Updates the metrics of the traffic.
pub fn update_metrics(node: &Node) {
    for message in Message::ALL {
        let (peer, name) = message.names();
        let bytes = bytes_of(message);
        for (direction, count) in [("sent", bytes.sent), ("received", bytes.received)] {
            counter!("thistle_link_bytes", "direction" => direction, "peer" => peer, "message" => name)
                .absolute(count);
        }
    }
    let bandwidth = node.link_bytes_per_s().map_or(f64::NAN, |b| b as f64);
    gauge!("thistle_link_bandwidth_bytes").set(bandwidth);
}
