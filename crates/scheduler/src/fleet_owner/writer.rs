//! Writes the fleet's record and the states of waves: awaited by the decision loop, or beside it if the owner is pipelined.

use std::sync::Arc;

use thistle_platform::config::{STATUS_TOPIC, WaveState, encode_wave_status};
use thistle_platform::{Guard, KeyedRecord};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{Event, FLEET, TICK};
use crate::journal::{Fenced, Journal};
use crate::node::Node;

/// How records are written.
pub(super) enum Writer {
    /// The decision loop awaits each append.
    Awaited(Journal),
    /// Appends run beside the decision loop, which gets an event for each that is answered.
    Pipelined {
        batches: UnboundedSender<Vec<KeyedRecord>>,
        /// The completed waves to report to the operator.
        waves: UnboundedSender<u64>,
    },
}

impl Writer {
    /// Creates a writer, and the future that does its work beside the decision loop and ends once the owner is fenced.
    pub fn new(
        node: &Arc<Node>,
        token: u64,
        journal: Journal,
        tx: &UnboundedSender<Event>,
    ) -> (Self, impl Future<Output = Fenced> + use<>) {
        let (batches, batches_rx) = unbounded_channel();
        let (waves, waves_rx) = unbounded_channel();
        let (writer, journal) = match node.settings.policy.moves.pipelined {
            true => (Self::Pipelined { batches, waves }, Some(journal)),
            false => (Self::Awaited(journal), None),
        };
        let (node, tx) = (node.clone(), tx.clone());
        let background = async move {
            let Some(journal) = journal else { return std::future::pending().await };
            tokio::select! {
                fenced = write_batches(&node, journal, batches_rx, &tx) => fenced,
                () = report_waves(&node, token, waves_rx, &tx) => std::future::pending().await,
            }
        };
        (writer, background)
    }

    pub const fn is_pipelined(&self) -> bool {
        matches!(self, Self::Pipelined { .. })
    }

    /// Returns where completed waves are sent, or `None` if their reports are awaited.
    pub const fn waves(&self) -> Option<&UnboundedSender<u64>> {
        match self {
            Self::Awaited(_) => None,
            Self::Pipelined { waves, .. } => Some(waves),
        }
    }

    /// Appends records, or begins to if the owner is pipelined.
    pub async fn append(&mut self, node: &Node, records: Vec<KeyedRecord>) -> Result<(), Fenced> {
        match self {
            Self::Awaited(journal) => append_all(node, journal, &records).await,
            Self::Pipelined { batches, .. } => {
                // The receiver is dropped only together with the owner.
                let _ = batches.send(records);
                Ok(())
            }
        }
    }
}

async fn write_batches(
    node: &Node,
    mut journal: Journal,
    mut batches: UnboundedReceiver<Vec<KeyedRecord>>,
    tx: &UnboundedSender<Event>,
) -> Fenced {
    while let Some(records) = batches.recv().await {
        if let Err(fenced) = append_all(node, &mut journal, &records).await {
            return fenced;
        }
        // The receiver is dropped only together with this future.
        let _ = tx.send(Event::Written);
    }
    std::future::pending().await
}

/// Reports completed waves in order. Each is repeated until it is written.
async fn report_waves(
    node: &Node,
    token: u64,
    mut waves: UnboundedReceiver<u64>,
    tx: &UnboundedSender<Event>,
) {
    while let Some(wave) = waves.recv().await {
        while !node.may_act(FLEET, token)
            || !report_wave_state(node, wave, WaveState::Completed).await
        {
            tokio::time::sleep(TICK).await;
        }
        // The receiver is dropped only together with this future.
        let _ = tx.send(Event::WaveCompleted(wave));
    }
}

/// Appends records in as many calls as needed.
async fn append_all(
    node: &Node,
    journal: &mut Journal,
    records: &[KeyedRecord],
) -> Result<(), Fenced> {
    let max_bytes = node.settings.max_append_bytes;
    let mut rest = records;
    while !rest.is_empty() {
        let (batch, later) = rest.split_at(fitting_count(rest, max_bytes));
        journal.append(node, batch).await?;
        rest = later;
    }
    Ok(())
}

/// Returns how many of the first records fit into one append, at least one.
fn fitting_count(records: &[KeyedRecord], max_bytes: usize) -> usize {
    let mut size = 0;
    let fits = |record: &&KeyedRecord| {
        size += record.framed_len();
        size <= max_bytes
    };
    records.iter().take_while(fits).count().max(1)
}

/// Writes the state of a wave for the operator; returns whether it is written.
pub(super) async fn report_wave_state(node: &Node, wave: u64, state: WaveState) -> bool {
    let (key, value) = encode_wave_status(wave, state);
    let record = KeyedRecord::new(key, value);
    match node.store.append(STATUS_TOPIC, 0, Guard::Always, &[record]).await {
        Ok(_) => {
            log::info!("wave wave={wave} step=reported state={state:?}");
            true
        }
        Err(e) => {
            log::warn!("wave wave={wave} step=unreported state={state:?} error=\"{e}\"");
            false
        }
    }
}
