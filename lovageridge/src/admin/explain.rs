//! Explains why a model is or is not loaded.

use crate::admin::api::Explanation;
use crate::admin::status;
use crate::context::Context;
use crate::leadership::cell_parts;

/// Explains whether and why the model or adapter `name` is loaded, as seen by this instance.
pub fn model(ctx: &Context, name: &str) -> Explanation {
    let config = ctx.config.current();
    let mut explanation = Explanation {
        name: name.to_owned(),
        model: None,
        resident_on: Vec::new(),
        cells: Vec::new(),
        reasons: Vec::new(),
    };
    let Some(target) = config.target(name) else {
        explanation
            .reasons
            .push(format!("version {} of the document has no such model", config.version));
        return explanation;
    };
    explanation.model = Some(target.model.clone());
    let service = config.models.get(&target.model).map(|m| m.service.clone()).unwrap_or_default();
    describe_workers(ctx, &mut explanation, &target.model);
    describe_cells(ctx, &mut explanation, &service, &target.model);
    if explanation.resident_on.is_empty() && explanation.reasons.is_empty() {
        explanation.reasons.push("no caller of this instance has asked for it lately".to_owned());
    }
    explanation
}

fn describe_workers(ctx: &Context, explanation: &mut Explanation, model: &str) {
    let Some(view) = status::dispatch(ctx) else { return };
    for worker in view.workers {
        if worker.resident.iter().any(|r| r.model == model) {
            let state = if worker.leaving { ", which is leaving" } else { "" };
            explanation.reasons.push(format!("it is resident on {}{state}", worker.worker));
            explanation.resident_on.push(worker.worker);
        }
    }
}

fn describe_cells(ctx: &Context, explanation: &mut Explanation, service: &str, model: &str) {
    let in_service = |cell: &str| cell_parts(cell).is_some_and(|parts| parts.0 == service);
    let now_ms = ctx.clock.now_ms();
    for (id, member) in ctx.members().alive(now_ms) {
        for lead in member.leads.iter().filter(|l| in_service(&l.cell)) {
            explanation.cells.push(format!("{} led by {id} since epoch {}", lead.cell, lead.epoch));
        }
    }
    for cell in status::cells(ctx).into_iter().filter(|c| in_service(&c.cell)) {
        let id = &ctx.own.instance_id;
        explanation.cells.push(format!("{} led by {id} since epoch {}", cell.cell, cell.epoch));
        if !cell.may_order {
            explanation.reasons.push(format!("the lead of {} may not order now", cell.cell));
        }
        for worker in &cell.workers {
            let state_lines = worker.held.iter().chain(&worker.reserved);
            for line in state_lines.filter(|line| line.split([' ', '+']).next() == Some(model)) {
                explanation.reasons.push(format!("{}: {line}", worker.worker));
            }
        }
    }
    if explanation.cells.is_empty() {
        explanation.reasons.push(format!("no cell of service {service} has a known lead"));
    }
}
