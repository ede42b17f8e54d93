//! Applies operators' changes of templates, workspaces and quotas, each with compare-and-set.

use std::sync::Arc;

use thistle_model::{PoolName, Revision, TeamName, Template, TemplateName, Workspace};

use crate::pool::{Pool, PoolKey};
use crate::reject::Reject;
use crate::state::{Quota, State, TemplateEntry};

impl State {
    pub(crate) fn publish_template(
        &mut self,
        name: &TemplateName,
        base: Revision,
        template: &Template,
    ) -> Result<(), Reject> {
        template.check().map_err(Reject::Invalid)?;
        let current = self.templates.get(name).map_or(Revision::NONE, |t| t.revision);
        expect_revision("the template", name.as_str(), base, current)?;
        let revision = self.next_revision();
        let entry = TemplateEntry { revision, template: Arc::new(template.clone()) };
        self.templates.insert(name.clone(), entry);
        for pool in self.pools.values_mut() {
            if pool.workspace.as_ref().is_some_and(|w| w.template == *name) {
                pool.touched = revision;
            }
        }
        Ok(())
    }

    pub(crate) fn set_workspace(
        &mut self,
        name: &PoolName,
        base: Revision,
        workspace: &Workspace,
    ) -> Result<(), Reject> {
        workspace.check().map_err(Reject::Invalid)?;
        if !self.templates.contains_key(&workspace.template) {
            return Err(Reject::NoSuchTemplate(workspace.template.clone()));
        }
        let existing = self.pool_keys.get(name).copied();
        let current = existing.map_or(Revision::NONE, |key| self.pools[key].revision);
        expect_revision("the workspace", name.as_str(), base, current)?;
        let key = existing.unwrap_or_else(|| self.insert_pool(name, workspace));
        let revision = self.next_revision();
        let pool = &mut self.pools[key];
        pool.workspace = Some(workspace.clone());
        pool.revision = revision;
        pool.touched = revision;
        Ok(())
    }

    fn insert_pool(&mut self, name: &PoolName, workspace: &Workspace) -> PoolKey {
        let key = self.pools.insert(Pool::new(name.clone(), workspace.clone()));
        self.pool_keys.insert(name.clone(), key);
        key
    }

    pub(crate) fn set_quota(
        &mut self,
        team: &TeamName,
        base: Revision,
        slots: u32,
    ) -> Result<(), Reject> {
        let current = self.quotas.get(team).map_or(Revision::NONE, |q| q.revision);
        expect_revision("the quota of", team.as_str(), base, current)?;
        let revision = self.next_revision();
        let used = self.quotas.get(team).map_or(0, |q| q.used);
        self.quotas.insert(team.clone(), Quota { revision, slots, used });
        Ok(())
    }

    /// Returns the key of the workspace's pool.
    pub fn pool_key(&self, name: &PoolName) -> Result<PoolKey, Reject> {
        self.pool_keys.get(name).copied().ok_or_else(|| Reject::NoSuchPool(name.clone()))
    }
}

/// Checks that an object is at the revision on which the writer based the change.
pub(crate) fn expect_revision(
    kind: &str,
    name: &str,
    base: Revision,
    current: Revision,
) -> Result<(), Reject> {
    if base == current {
        return Ok(());
    }
    Err(Reject::Stale { what: format!("{kind} '{name}'"), base, current })
}
