//! Asking the service that knows the policies of queues.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thistle_platform::AdviceClient;
use thistle_schedule::pool::Question;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{Event, Tickets};
use crate::node::Node;

/// Asks one question after the other: the service handles one at a time of each node anyway.
pub(super) struct Advisor {
    tx: Option<UnboundedSender<Question>>,
}

impl Advisor {
    /// Starts the task that asks, if there is such a service.
    pub fn start(node: &Arc<Node>, events: UnboundedSender<Event>) -> Self {
        let Some(addr) = node.settings.advice else { return Self { tx: None } };
        let (tx, rx) = unbounded_channel();
        // It ends when this side is dropped.
        tokio::spawn(ask_all(AdviceClient::new(addr), rx, events));
        Self { tx: Some(tx) }
    }

    /// Asks a question; the answer comes as an event.
    pub fn ask(&self, question: Question) {
        match &self.tx {
            Some(tx) => {
                // The task lives as long as this side.
                let _ = tx.send(question);
            }
            None => log::error!(
                "advice job={} step=no-service: set 'advice' in the settings",
                question.step.job
            ),
        }
    }
}

async fn ask_all(
    client: AdviceClient,
    mut rx: UnboundedReceiver<Question>,
    events: UnboundedSender<Event>,
) {
    while let Some(question) = rx.recv().await {
        let step = question.step;
        let answer = ask(&client, &question).await;
        if events.send(Event::Advised(step, answer)).is_err() {
            return;
        }
    }
}

async fn ask(client: &AdviceClient, question: &Question) -> Option<Tickets> {
    counter!("thistle_advice_calls").increment(1);
    let decides_in = question.policy.decides_in_ms(question.vms.len());
    let step = (question.step.job, question.step.time, question.step.step);
    match client.ask(step, &question.vms, Duration::from_millis(decides_in)).await {
        Ok(advice) => {
            let tickets = advice.tickets.into_iter().map(|t| (t.vm, t.text)).collect();
            Some((tickets, u64::try_from(advice.valid.as_millis()).unwrap_or(0)))
        }
        Err(e) => {
            log::warn!("advice job={} step=failed error=\"{e:?}\"", step.0);
            None
        }
    }
}
