//! `thistle template`.

use std::path::Path;

use thistle_model::{Change, Revision, Template, TemplateName};
use thistle_wire::operator::TemplateInfo;

use super::name;
use crate::client::Client;
use crate::error::Error;
use crate::flags::{Template as Flags, TemplateCmd};
use crate::output::Output;
use crate::{diff, file, submit};

/// Runs the command. `check` needs no steward, so the client is only created on demand.
pub async fn run(
    flags: Flags,
    client: impl Fn() -> Result<Client, Error>,
    out: &Output,
) -> Result<(), Error> {
    match flags.subcommand {
        TemplateCmd::TemplateCheck(f) => {
            read(&f.file)?;
            out.progress(&format!("{}: the template is valid", f.file.display()));
            Ok(())
        }
        TemplateCmd::TemplatePublish(f) => {
            let template = read(&f.file)?;
            publish(&client()?, out, name(&f.name)?, template, f.base).await
        }
        TemplateCmd::TemplateList(_) => {
            let templates = client()?.templates().await?;
            out.table(&templates, &["NAME", "REVISION", "SERVICES", "TITLE"], row);
            Ok(())
        }
        TemplateCmd::TemplateShow(f) => {
            let info = find(&client()?, &name(&f.name)?).await?;
            out.value(&info, |i| vec![serde_json::to_string_pretty(i).unwrap_or_default()]);
            Ok(())
        }
        TemplateCmd::TemplateDiff(f) => {
            let new = read(&f.file)?;
            let old = find(&client()?, &name(&f.name)?).await?;
            out.value(&diff::templates(&old.template, &new), Clone::clone);
            Ok(())
        }
    }
}

fn read(path: &Path) -> Result<Template, Error> {
    let template: Template = file::read(path)?;
    template.check()?;
    Ok(template)
}

async fn publish(
    client: &Client,
    out: &Output,
    name: TemplateName,
    template: Template,
    base: Option<u64>,
) -> Result<(), Error> {
    let current = client.templates().await?.into_iter().find(|t| t.name == name);
    let base = base.map(Revision);
    let base = base.unwrap_or_else(|| current.as_ref().map_or(Revision::NONE, |t| t.revision));
    let change = Change::PublishTemplate { name: name.clone(), base, template: template.clone() };
    let result = submit::submit(client, out, change).await;
    if let Err(Error::Stale(reason)) = result {
        return Err(Error::Stale(explain(client, &name, &template, &reason).await));
    }
    result
}

/// Returns the reason why a publish lost a race, with the differences between the current template and the file.
async fn explain(client: &Client, name: &TemplateName, new: &Template, reason: &str) -> String {
    match find(client, name).await {
        Ok(current) => {
            let lines = diff::templates(&current.template, new).join("\n  ");
            format!("{reason}\n  your file against revision {}:\n  {lines}", current.revision)
        }
        Err(_) => reason.to_owned(),
    }
}

async fn find(client: &Client, name: &TemplateName) -> Result<TemplateInfo, Error> {
    let found = client.templates().await?.into_iter().find(|t| t.name == *name);
    found.ok_or_else(|| {
        Error::NotFound(format!("no template '{name}': see 'thistle template list'"))
    })
}

fn row(t: &TemplateInfo) -> Vec<String> {
    let services: Vec<_> = t.template.services.iter().map(|s| s.name.as_str()).collect();
    vec![t.name.to_string(), t.revision.to_string(), services.join(","), t.template.title.clone()]
}
