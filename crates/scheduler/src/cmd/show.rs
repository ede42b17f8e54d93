//! `thistle-scheduler show`.

use std::path::Path;

use thistle_settings::{RunError, SchedulerSettings};

/// Prints the state in the store as text or JSON, with the job of ID `job` if there is one.
pub fn run(path: &Path, job: Option<&str>, json: bool) -> Result<(), RunError> {
    let settings: SchedulerSettings = thistle_settings::load(path)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(RunError::Io)?;
    let overview = runtime
        .block_on(thistle_scheduler::overview(settings.store, job))
        .map_err(|e| RunError::Store(e.to_string()))?;
    if json {
        let text = serde_json::to_string_pretty(&overview);
        println!("{}", text.map_err(|e| RunError::Io(std::io::Error::other(e)))?);
    } else {
        print!("{overview}");
    }
    Ok(())
}
