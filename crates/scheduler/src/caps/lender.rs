//! The owner of the caps: reads what pools use and want, and writes how each cap is split between pools.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thistle_platform::Stored;
use thistle_schedule::quota::{CapUse, Lender, LentCap, Splits};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use super::{CAPS, LENT, USES, as_of_record, decode, has_caps, lent_record, read_lent};
use crate::control::TOPIC;
use crate::follow::{ReadMode, Tail, Update, follow};
use crate::journal::{Fenced, Journal};
use crate::node::Node;

/// The longest time between two checks of the configuration when no report arrives.
const TICK: Duration = Duration::from_millis(100);

/// Lends caps until another node takes over or the task is aborted.
pub async fn run(node: Arc<Node>, token: u64) {
    let Ok(journal) = Journal::open(&node, TOPIC, &[LENT], token).await else {
        log::warn!("caps step=fenced token={token}");
        return;
    };
    // The previous owner is fenced and can write no further records, so this read returns all that it wrote.
    while let Err(e) = read_lent(&node).await {
        log::debug!("caps step=read-failed error=\"{e}\"");
        tokio::time::sleep(TICK).await;
    }
    let table = node.lent.borrow().clone();
    let records: Vec<LentCap> = table.lent.values().cloned().collect();
    log::info!(
        "caps step=took-over token={token} workspaces={} as_of={}",
        records.len(),
        table.as_of
    );
    let (tx, mut rx) = unbounded_channel();
    let mut owner =
        CapsOwner { node: node.clone(), lender: Lender::new(table.as_of, records), journal };
    let work = async {
        loop {
            if let Ok(Some(cap_use)) = tokio::time::timeout(TICK, rx.recv()).await {
                owner.record_use(cap_use);
            }
            while let Ok(cap_use) = rx.try_recv() {
                owner.record_use(cap_use);
            }
            if owner.node.may_act(CAPS, token) && owner.step().await == Err(Fenced) {
                log::warn!("caps step=fenced token={token}");
                return;
            }
        }
    };
    // Both futures are dropped with this task.
    tokio::select! {
        () = follow_uses(&node, tx) => (),
        () = work => (),
    }
}

async fn follow_uses(node: &Node, tx: UnboundedSender<CapUse>) {
    follow(node, Tail::new(TOPIC, USES), ReadMode::Immediate, move |update, _| {
        let records: Vec<Stored> = match update {
            Update::Reloaded(records) | Update::Records(records) => records,
        };
        for cap_use in records.iter().filter_map(decode::<CapUse>) {
            // The receiver is dropped only when the task ends.
            let _ = tx.send(cap_use);
        }
    })
    .await;
}

struct CapsOwner {
    node: Arc<Node>,
    lender: Lender,
    journal: Journal,
}

impl CapsOwner {
    fn record_use(&mut self, cap_use: CapUse) {
        log::debug!(
            "caps step=use pool={} workspace={} number={} used={:?} wanted={:?}",
            cap_use.pool,
            cap_use.workspace,
            cap_use.number,
            cap_use.used,
            cap_use.wanted
        );
        self.lender.record_use(cap_use);
    }

    async fn step(&mut self) -> Result<(), Fenced> {
        let Some(catalog) = self.node.catalog.borrow().clone().filter(|c| has_caps(c)) else {
            return Ok(());
        };
        let workspaces = catalog.workspaces.all();
        self.lender.set_config(catalog.version, catalog.working_pools().cloned(), workspaces);
        let Splits { lent: split, as_of } = self.lender.plan();
        let mut records: Vec<_> = split.iter().map(lent_record).collect();
        records.extend(as_of.map(as_of_record));
        if records.is_empty() {
            return Ok(());
        }
        self.journal.append(&self.node, &records).await?;
        counter!("thistle_caps_split").increment(split.len() as u64);
        for lent in &split {
            let shares: Vec<String> = lent
                .shares
                .iter()
                .map(|s| format!("{}:{}/{}", s.pool, s.room.cpu, s.bound.cpu))
                .collect();
            log::info!(
                "caps step=lent workspace={} number={} cap_cpu={} cap_mem_mb={} version={} cpu_and_bound={}",
                lent.workspace,
                lent.number,
                lent.cap.cpu,
                lent.cap.mem_mb,
                catalog.version,
                shares.join(",")
            );
        }
        Ok(())
    }
}
