//! Explains why a model is or is not loaded.

use crate::admin::api::Explanation;
use crate::admin::status;
use crate::context::Context;
use crate::leadership::cell_parts;

/// Returns why `name` is or is not loaded, from what this instance sees.
pub fn model(ctx: &Context, name: &str) -> Explanation {
    let config = ctx.config.current();
    let mut found = Explanation {
        name: name.to_owned(),
        model: None,
        resident_on: Vec::new(),
        cells: Vec::new(),
        reasons: Vec::new(),
    };
    let Some(target) = config.target(name) else {
        found.reasons.push(format!("version {} of the document has no such model", config.version));
        return found;
    };
    found.model = Some(target.model.clone());
    let service = config.models.get(&target.model).map(|m| m.service.clone()).unwrap_or_default();
    describe_workers(ctx, &mut found, &target.model);
    describe_cells(ctx, &mut found, &service, &target.model);
    if found.resident_on.is_empty() && found.reasons.is_empty() {
        found.reasons.push("no caller of this instance has asked for it lately".to_owned());
    }
    found
}

fn describe_workers(ctx: &Context, found: &mut Explanation, model: &str) {
    let Some(view) = status::dispatch(ctx) else { return };
    for worker in view.workers {
        if worker.resident.iter().any(|r| r.model == model) {
            let state = if worker.leaving { ", which is leaving" } else { "" };
            found.reasons.push(format!("it is resident on {}{state}", worker.worker));
            found.resident_on.push(worker.worker);
        }
    }
}

fn describe_cells(ctx: &Context, found: &mut Explanation, service: &str, model: &str) {
    let in_service = |cell: &str| cell_parts(cell).is_some_and(|parts| parts.0 == service);
    let now_ms = ctx.clock.now_ms();
    for (id, member) in ctx.members().alive(now_ms) {
        for lead in member.leads.iter().filter(|l| in_service(&l.cell)) {
            found.cells.push(format!("{} led by {id} since epoch {}", lead.cell, lead.epoch));
        }
    }
    for cell in status::cells(ctx).into_iter().filter(|c| in_service(&c.cell)) {
        let id = &ctx.own.instance_id;
        found.cells.push(format!("{} led by {id} since epoch {}", cell.cell, cell.epoch));
        if !cell.may_order {
            found.reasons.push(format!("the lead of {} may not order now", cell.cell));
        }
        for worker in &cell.workers {
            let on_way = worker.held.iter().chain(&worker.reserved);
            for line in on_way.filter(|line| line.split([' ', '+']).next() == Some(model)) {
                found.reasons.push(format!("{}: {line}", worker.worker));
            }
        }
    }
    if found.cells.is_empty() {
        found.reasons.push(format!("no cell of service {service} has a known lead"));
    }
}
