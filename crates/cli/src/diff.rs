//! Compares two templates service by service.

use thistle_model::{Service, Template};

/// Returns a line for each difference; empty when the templates are equal.
pub fn templates(old: &Template, new: &Template) -> Vec<String> {
    let mut lines = Vec::new();
    if old.title != new.title {
        lines.push(format!("~ title: '{}' -> '{}'", old.title, new.title));
    }
    for service in &old.services {
        match find(new, service) {
            None => lines.push(format!("- service {}", service.name)),
            Some(other) if other != service => {
                lines.push(format!("~ service {}: {}", service.name, describe(service)));
                lines.push(format!("  -> {}", describe(other)));
            }
            Some(_) => {}
        }
    }
    let added = new.services.iter().filter(|s| find(old, s).is_none());
    lines.extend(added.map(|s| format!("+ service {}: {}", s.name, describe(s))));
    lines
}

fn find<'a>(template: &'a Template, service: &Service) -> Option<&'a Service> {
    template.services.iter().find(|s| s.name == service.name)
}

fn describe(s: &Service) -> String {
    let tier = s.tier.map_or("the workspace's", thistle_model::Tier::as_str);
    format!(
        "repeatable {}, deadline {} ms, echoes id {}, tier {tier}",
        s.repeatable, s.deadline_ms, s.echoes_request_id
    )
}
