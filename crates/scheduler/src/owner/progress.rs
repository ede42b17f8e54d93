//! Writing how far jobs are.

use thistle_platform::KeyedRecord;
use thistle_schedule::job_log::{encode, progress_key};
use thistle_schedule::{JobId, Progress};

use super::Owner;
use crate::journal::Fenced;

impl Owner {
    /// Writes how far jobs are, in as many appends as they need.
    pub(super) async fn write_progress(
        &mut self,
        records: Vec<(JobId, Progress)>,
    ) -> Result<(), Fenced> {
        let mut size = 0;
        let mut batch = Vec::new();
        let mut keyed = Vec::new();
        for (id, progress) in records {
            let record = KeyedRecord::new(progress_key(id), encode(&progress));
            if size + record.framed_len() > self.node.settings.max_append_bytes && !keyed.is_empty()
            {
                self.write_batch(std::mem::take(&mut batch), &keyed).await?;
                keyed.clear();
                size = 0;
            }
            size += record.framed_len();
            keyed.push(record);
            batch.push((id, progress));
        }
        self.write_batch(batch, &keyed).await
    }

    async fn write_batch(
        &mut self,
        batch: Vec<(JobId, Progress)>,
        keyed: &[KeyedRecord],
    ) -> Result<(), Fenced> {
        let (offset, end) = self.journal.append(&self.node, keyed).await?;
        self.log.apply_progress(batch, offset, end).await;
        Ok(())
    }
}
