//! `thistle wave`.

use std::time::Duration;

use thistle_model::Change;
use thistle_wire::operator::{PlannedStep, WaveInfo};

use crate::client::Client;
use crate::error::Error;
use crate::flags::{Wave as Flags, WaveCmd};
use crate::output::Output;
use crate::submit;

/// The pause between polls of a wave.
const WAIT_PAUSE: Duration = Duration::from_millis(250);

/// Runs the command.
pub async fn run(flags: Flags, client: &Client, out: &Output) -> Result<(), Error> {
    match flags.subcommand {
        WaveCmd::WavePlan(_) => {
            let steps = client.call(|c, cx| async move { c.plan(cx).await }).await?;
            out.table(&steps, &["STEP", "VM", "WHY"], row);
            Ok(())
        }
        WaveCmd::WaveStart(_) => {
            let base = client.status().await?.wave.revision;
            submit::submit(client, out, Change::WaveStart { base }).await
        }
        WaveCmd::WavePause(_) => set_paused(client, out, true).await,
        WaveCmd::WaveResume(_) => set_paused(client, out, false).await,
        WaveCmd::WaveProgress(f) => progress(client, out, f.wait).await,
    }
}

async fn set_paused(client: &Client, out: &Output, on: bool) -> Result<(), Error> {
    let base = client.status().await?.wave.revision;
    submit::submit(client, out, Change::WavePause { base, on }).await
}

async fn progress(client: &Client, out: &Output, wait: bool) -> Result<(), Error> {
    let mut shown = None;
    loop {
        let wave = client.status().await?.wave;
        if !wait || wave.left == 0 {
            out.value(&wave, |w| vec![describe(w)]);
            return Ok(());
        }
        if shown.as_ref() != Some(&wave) {
            out.progress(&describe(&wave));
            shown = Some(wave);
        }
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}

fn describe(w: &WaveInfo) -> String {
    let paused = if w.paused { ", paused" } else { "" };
    let done = w.total - w.left;
    format!("wave {}: {done} of {} VMs done, {} under way{paused}", w.number, w.total, w.under_way)
}

fn row(s: &PlannedStep) -> Vec<String> {
    vec![s.step.clone(), s.vm.clone(), s.why.clone()]
}
