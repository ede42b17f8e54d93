//! Requests to the advice service, which knows the policies of queues.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thistle_platform::AdviceClient;
use thistle_schedule::pool::AdviceRequest;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{Event, Tickets};
use crate::node::Node;

/// Sends advice requests one at a time, as the service handles only one request of a node at a time.
pub(super) struct Advisor {
    tx: Option<UnboundedSender<AdviceRequest>>,
}

impl Advisor {
    /// Starts the task that sends requests, if an advice service is configured.
    pub fn start(node: &Arc<Node>, events: UnboundedSender<Event>) -> Self {
        let Some(addr) = node.settings.advice else { return Self { tx: None } };
        let (tx, rx) = unbounded_channel();
        // The task ends when the sender is dropped.
        tokio::spawn(send_requests(AdviceClient::new(addr), rx, events));
        Self { tx: Some(tx) }
    }

    /// Queues a request; its answer arrives as an event.
    pub fn send(&self, request: AdviceRequest) {
        match &self.tx {
            Some(tx) => {
                // The task runs for as long as the sender exists.
                let _ = tx.send(request);
            }
            None => log::error!(
                "advice job={} step=no-service: set 'advice' in the settings",
                request.step.job
            ),
        }
    }
}

async fn send_requests(
    client: AdviceClient,
    mut rx: UnboundedReceiver<AdviceRequest>,
    events: UnboundedSender<Event>,
) {
    while let Some(request) = rx.recv().await {
        let step = request.step;
        let answer = request_advice(&client, &request).await;
        if events.send(Event::Advised(step, answer)).is_err() {
            return;
        }
    }
}

async fn request_advice(client: &AdviceClient, request: &AdviceRequest) -> Option<Tickets> {
    counter!("thistle_advice_calls").increment(1);
    let decides_in = request.policy.decides_in_ms(request.vms.len());
    let step = (request.step.job, request.step.repetition, request.step.step);
    match client.request(step, &request.vms, Duration::from_millis(decides_in)).await {
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
