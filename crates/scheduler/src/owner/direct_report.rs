//! Reports of a pool that reach the fleet's owner without the store.
//!
//! Load pattern: pools burst in turn while the store is slow. All pools' reports go through one partition, which takes one append
//! at a time, so each report waits for those of the other pools. What a successor of the fleet's owner reads still goes
//! through the store, once a second.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::{Method, StatusCode};
use metrics::counter;
use thistle_platform::http::{Call, sending_time};
use thistle_platform::{Guard, KeyedRecord};
use thistle_schedule::Ms;
use thistle_schedule::fleet::PoolReport;

use crate::clock::steady_ms;
use crate::control::{TOPIC, to_json};
use crate::fleet_owner::{FLEET, REPORT_PATH, REPORTS, deliver_here, pool_key};
use crate::locks::lock;
use crate::node::Node;

/// How long the fleet's owner may take to answer. It only queues the report.
const TIMEOUT: Duration = Duration::from_millis(400);
/// How long a fleet owner that did not take a report gets none directly, in milliseconds. It may run an older version, and
/// then each report would wait for its answer.
const RETRY_MS: Ms = 1_000;
/// The shortest time between two reports in the store while the fleet's owner takes them directly, in milliseconds.
const STORE_INTERVAL_MS: Ms = 1_000;

/// The reports of one pool on their way to the fleet's owner.
#[derive(Debug, Default)]
pub(super) struct Delivery {
    /// Whether a report is on its way to the present owner of the fleet.
    in_flight: AtomicBool,
    /// The fleet owner that did not take a report directly, and when it is tried again.
    rejected_by: Mutex<Option<(SocketAddr, Ms)>>,
    /// When the last append of a report was begun.
    stored_at: AtomicU64,
    /// The number of the newest report in the store. Locked while an append is in flight, so that the newest one is last.
    stored_number: tokio::sync::Mutex<u64>,
}

impl Delivery {
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Sends a report through the store.
    pub fn send_to_store(self: &Arc<Self>, node: &Arc<Node>, pool: &Arc<str>, report: PoolReport) {
        let (delivery, node, pool) = (self.clone(), node.clone(), pool.clone());
        self.in_flight.store(true, Ordering::Relaxed);
        tokio::spawn(async move {
            delivery.store(&node, &pool, &report).await;
            delivery.in_flight.store(false, Ordering::Relaxed);
        });
    }

    /// Sends a report directly, and through the store too if `also_store` is set or the fleet's owner does not take it.
    pub fn send(
        self: &Arc<Self>,
        node: &Arc<Node>,
        pool: &Arc<str>,
        report: PoolReport,
        also_store: bool,
    ) {
        let (delivery, node, pool) = (self.clone(), node.clone(), pool.clone());
        self.in_flight.store(true, Ordering::Relaxed);
        tokio::spawn(async move {
            let outcome = delivery.send_directly(&node, &pool, &report).await;
            counter!("thistle_direct_reports", "outcome" => outcome.name()).increment(1);
            let is_taken = matches!(outcome, Outcome::Local | Outcome::Taken);
            if is_taken {
                // The next report does not wait for the store.
                delivery.in_flight.store(false, Ordering::Relaxed);
            }
            if also_store || !is_taken {
                delivery.store(&node, &pool, &report).await;
            }
            if !is_taken {
                delivery.in_flight.store(false, Ordering::Relaxed);
            }
        });
    }

    /// Returns whether the newest report, which has this number, has to be written to the store: it is not there yet, and the
    /// last append was begun long enough ago.
    pub fn is_store_due(&self, number: u64) -> bool {
        let waited = steady_ms().saturating_sub(self.stored_at.load(Ordering::Relaxed));
        // While the lock is held, an append is in flight.
        waited >= STORE_INTERVAL_MS
            && !self.is_in_flight()
            && self.stored_number.try_lock().is_ok_and(|stored| *stored < number)
    }

    /// Writes a report to the store that was sent directly before.
    pub fn store_sent(self: &Arc<Self>, node: &Arc<Node>, pool: &Arc<str>, report: PoolReport) {
        let (delivery, node, pool) = (self.clone(), node.clone(), pool.clone());
        self.stored_at.store(steady_ms(), Ordering::Relaxed);
        tokio::spawn(async move { delivery.store(&node, &pool, &report).await });
    }

    async fn store(&self, node: &Node, pool: &Arc<str>, report: &PoolReport) {
        let mut stored_number = self.stored_number.lock().await;
        if report.number > 0 && report.number <= *stored_number {
            return;
        }
        self.stored_at.store(steady_ms(), Ordering::Relaxed);
        let record = KeyedRecord::new(pool_key(pool), to_json(report));
        let result = node.store.append(TOPIC, REPORTS, Guard::Always, &[record]).await;
        node.store_health.record_call(result.is_ok());
        match result {
            Ok(_) => *stored_number = report.number,
            // The next report replaces this one.
            Err(e) => log::debug!("report step=failed pool={pool} error=\"{e}\""),
        }
    }

    async fn send_directly(&self, node: &Node, pool: &Arc<str>, report: &PoolReport) -> Outcome {
        if deliver_here(node, pool.clone(), report.clone()) {
            return Outcome::Local;
        }
        let Some(addr) = lock(&node.ownership).relay_of_owner(FLEET) else {
            return Outcome::NoOwner;
        };
        if lock(&self.rejected_by).is_some_and(|(by, until)| by == addr && steady_ms() < until) {
            return Outcome::NotTried;
        }
        let body = to_json(report);
        let timeout = TIMEOUT + sending_time(body.len());
        let call = Call::new(Method::POST, format!("{REPORT_PATH}{pool}"), timeout);
        let answer = node.peers.client(addr).call(call.with_bytes(body.into())).await;
        let outcome = match &answer {
            Ok(answer) if answer.status == StatusCode::OK.as_u16() => Outcome::Taken,
            Ok(_) => Outcome::Rejected,
            Err(_) => Outcome::Unanswered,
        };
        if outcome != Outcome::Taken {
            let why = answer.map_or_else(|e| e.to_string(), |answer| answer.status.to_string());
            log::info!("report step=not-taken pool={pool} to={addr} reason=\"{why}\"");
            *lock(&self.rejected_by) = Some((addr, steady_ms() + RETRY_MS));
        }
        outcome
    }
}

/// What became of a report that was to reach the fleet's owner directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The owner on this node took it.
    Local,
    /// The owner on another node took it.
    Taken,
    /// The other node does not support direct reports or does not own the fleet.
    Rejected,
    /// The other node did not answer.
    Unanswered,
    /// The other node did not take an earlier report and is not tried again yet.
    NotTried,
    /// No other node that can be called owns the fleet.
    NoOwner,
}

impl Outcome {
    const fn name(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::Taken => "taken",
            Self::Rejected => "rejected",
            Self::Unanswered => "unanswered",
            Self::NotTried => "not-tried",
            Self::NoOwner => "no-owner",
        }
    }
}
