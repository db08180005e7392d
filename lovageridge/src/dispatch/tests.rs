//! Tests of dispatch.

use std::sync::Arc;

use crate::attempts::outcome::Code;
use crate::dispatch::core::Action;
use crate::dispatch::core::Attempt;
use crate::dispatch::core::DispatchRequest;
use crate::dispatch::core::Dispatcher;
use crate::dispatch::core::PoolKey;
use crate::dispatch::core::UpstreamOutcome;
use crate::document::Priority;
use crate::document::Target;
use crate::document::parse;
use crate::wire::ResidentModel;
use crate::wire::WorkerView;

const DOCUMENT: &str = "[partner.p]\nqueue_max = 100\n[service.lm]\nkind = engine\n\
    [model.m]\nservice = lm\nsize_mb = 1\n";

fn target() -> Target {
    Target { model: "m".to_owned(), adapter: None }
}

fn worker_view(worker: &str, sequence: u64, slots: u32) -> WorkerView {
    WorkerView {
        worker: worker.to_owned(),
        cell: "lm/a/0".to_owned(),
        service: "lm".to_owned(),
        domain: "a".to_owned(),
        addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        epoch: 1,
        sequence,
        leaving: false,
        slots,
        load: 0,
        reserved: 0,
        resident: vec![ResidentModel { model: "m".to_owned(), adapters: Vec::new() }],
    }
}

fn dispatcher() -> Dispatcher {
    let sections = parse::split(DOCUMENT).expect("the document has sections");
    let bodies = sections.iter().map(|(name, body)| (name.as_str(), body.as_str()));
    let mut dispatcher = Dispatcher::new("a", 1);
    dispatcher.on_config(Arc::new(parse::read(1, bodies).expect("the document is valid")));
    dispatcher
}

fn request(ticket: u64, deadline_ms: u64) -> DispatchRequest {
    DispatchRequest {
        ticket,
        pool: PoolKey::Target(target()),
        partner: "p".to_owned(),
        priority: Priority::Standard,
        cost_tokens: 100,
        deadline_ms,
        attempt: Attempt::First,
    }
}

fn refusal_code(actions: &[Action]) -> Option<Code> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal.code),
        _ => None,
    })
}

#[test]
fn each_request_gets_one_decision() {
    let mut dispatcher = dispatcher();
    dispatcher.workers().on_view(worker_view("w", 1, 2), 0);
    let mut decisions = Vec::new();
    for ticket in 0..5 {
        decisions.extend(dispatcher.on_submit(request(ticket, 1000), 0));
    }
    decisions.extend(dispatcher.on_tick(2000));
    let mut tickets: Vec<u64> = decisions
        .iter()
        .filter_map(|action| match action {
            Action::Grant { ticket, .. } | Action::Refuse { ticket, .. } => Some(*ticket),
            Action::RequestColdStart(_) => None,
        })
        .collect();
    tickets.sort_unstable();
    assert_eq!(tickets, vec![0, 1, 2, 3, 4]);
}

#[test]
fn a_briefly_avoided_worker_does_not_cause_deadline_refusals() {
    let mut dispatcher = dispatcher();
    dispatcher.workers().on_view(worker_view("w", 1, 100), 0);
    let pool = PoolKey::Target(target());
    dispatcher.on_submit(request(0, 30_000), 0);
    dispatcher.on_done(&pool, "w", false, UpstreamOutcome::Whole { took_ms: 72, tokens: 1 }, 72);
    // After two broken connections in a row the router avoids the worker for a second.
    for ticket in 1..3 {
        dispatcher.on_submit(request(ticket, 30_000), 100);
        dispatcher.on_done(&pool, "w", false, UpstreamOutcome::Broken, 110);
    }
    for ticket in 10..60 {
        let actions = dispatcher.on_submit(request(ticket, 30_000), 120);
        assert_eq!(refusal_code(&actions), None, "ticket {ticket}");
    }
    let granted =
        dispatcher.on_tick(1200).iter().filter(|a| matches!(a, Action::Grant { .. })).count();
    assert_eq!(granted, 50);
}

#[test]
fn requests_beyond_the_queue_limit_are_refused() {
    let mut dispatcher = dispatcher();
    let mut codes = Vec::new();
    for ticket in 0..120 {
        codes.extend(refusal_code(&dispatcher.on_submit(request(ticket, 60_000), 0)));
    }
    assert_eq!(codes, vec![Code::QueueFull; 20]);
}

#[test]
fn slots_that_peers_leave_free_only_briefly_are_not_taken() {
    let mut dispatcher = dispatcher();
    dispatcher.on_instances(2);
    dispatcher.workers().on_view(WorkerView { load: 4, ..worker_view("w", 1, 8) }, 0);
    // The report falls between two requests of the other instance, which soon uses its share again.
    dispatcher.workers().on_view(WorkerView { load: 1, ..worker_view("w", 2, 8) }, 1000);
    let granted = (0..8).flat_map(|ticket| dispatcher.on_submit(request(ticket, 60_000), 1001));
    let granted = granted.filter(|action| matches!(action, Action::Grant { .. })).count();
    assert_eq!(granted, 4, "half of the slots belong to the other instance");
    // Slots that the other instance has left free for long enough are used.
    dispatcher.workers().on_view(WorkerView { load: 5, ..worker_view("w", 3, 8) }, 4000);
    let granted = dispatcher.on_tick(4001);
    let granted = granted.iter().filter(|action| matches!(action, Action::Grant { .. })).count();
    assert_eq!(granted, 3, "the other instance uses one of eight slots");
}
