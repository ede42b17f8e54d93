//! Reports of pools that reach the fleet's owner without the store.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use thistle_schedule::fleet::PoolReport;
use tokio::sync::mpsc::UnboundedSender;

use super::{Event, FLEET};
use crate::locks::lock;
use crate::node::Node;

/// The prefix of the path for reports; the pool's name follows.
pub const PATH: &str = "/reports/";

/// Where the fleet's owner on this node receives reports.
#[derive(Debug, Default)]
pub struct DirectReports(Mutex<Option<(u64, UnboundedSender<Event>)>>);

impl DirectReports {
    /// Receives reports for the owner with this token until it ends.
    pub(super) fn open(&self, token: u64, tx: UnboundedSender<Event>) {
        *lock(&self.0) = Some((token, tx));
    }

    /// Hands over a report if the receiver still has this token; returns whether it took the report.
    fn deliver(&self, token: u64, pool: Arc<str>, report: PoolReport) -> bool {
        let inbox = lock(&self.0);
        let Some((_, tx)) = inbox.as_ref().filter(|(open, _)| *open == token) else { return false };
        tx.send(Event::Report(pool, report)).is_ok()
    }
}

/// Why a report was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The body is no report.
    Malformed,
    /// This node does not own the fleet, or its owner receives no direct reports.
    NotOwner,
}

/// Hands a pool's report to the fleet's owner on this node.
pub fn accept_report(node: &Node, pool: &str, body: &Bytes) -> Result<(), Rejection> {
    let report = serde_json::from_slice(body).map_err(|e| {
        log::error!("report step=unreadable pool={pool} error=\"{e}\"");
        Rejection::Malformed
    })?;
    deliver_here(node, pool.into(), report).then_some(()).ok_or(Rejection::NotOwner)
}

/// Hands a report to the fleet's owner on this node; returns whether there is one that takes it.
pub fn deliver_here(node: &Node, pool: Arc<str>, report: PoolReport) -> bool {
    // The claims that this node has read decide. If it was replaced and does not know yet, the next owner reads the report
    // from the store within a second.
    let token = lock(&node.ownership).my_token(FLEET);
    token.is_some_and(|token| node.direct_reports.deliver(token, pool, report))
}
