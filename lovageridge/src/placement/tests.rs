//! Tests of placement.

use crate::document::Config;
use crate::document::Target;
use crate::document::parse;
use crate::infra::list::ListedInstance;
use crate::leadership::claimant::HeldEpoch;
use crate::leadership::claimant::OrderPermission;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::call::Failure;
use crate::placement::call::Purpose;
use crate::placement::call::fencing_number;
use crate::placement::core::Action;
use crate::placement::core::CellPlanner;
use crate::placement::core::TickInput;
use crate::placement::record::LoadDecision;
use crate::placement::record::Record;
use crate::placement::record::unsettled;
use crate::upstream::engine::EngineState;
use crate::upstream::engine::HeldWeights;
use crate::upstream::engine::Phase;
use crate::wire::ColdStartRequest;

const CELL: &str = "lm/a/0";
const EPOCH: u64 = 7;

fn config() -> Config {
    let mut text = "[service.lm]\nkind = engine\nchecks_fencing = yes\n".to_owned();
    for at in 0..6 {
        text += &format!("[model.m{at}]\nservice = lm\nsize_mb = 30\nload_ms = 100\n");
    }
    let sections = parse::split(&text).expect("a document");
    let bodies = sections.iter().map(|(name, body)| (name.as_str(), body.as_str()));
    parse::read(1, bodies).expect("a valid document")
}

fn target(model: &str) -> Target {
    Target { model: model.to_owned(), adapter: None }
}

/// Returns the state of a worker of 100 MB that holds `models`.
fn state(models: &[&str]) -> EngineState {
    let held = models.iter().map(|model| HeldWeights {
        model: (*model).to_owned(),
        adapter: None,
        phase: Phase::Resident,
        size_mb: 30,
        accelerators: vec![0],
    });
    EngineState {
        fence: fencing_number(EPOCH, 1),
        leaving: false,
        accelerators_mb: vec![100],
        held: held.collect(),
        slots: 4,
        load: 0,
        cached: Vec::new(),
    }
}

/// A lead with one worker, and its configuration.
struct Lead {
    config: Config,
    planner: CellPlanner,
}

impl Lead {
    /// Returns a lead that has fenced the worker `w`, which holds m0, m1 and m2.
    fn with_fenced_worker() -> Self {
        let held = HeldEpoch { epoch: EPOCH, prior_lease_end_ms: 0 };
        let mut lead = Self { config: config(), planner: CellPlanner::new(CELL, held, true, &[]) };
        let listed = ListedInstance {
            id: "w".to_owned(),
            service: "lm".to_owned(),
            domain: "a".to_owned(),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            peers_addr: None,
            leaving: false,
        };
        lead.planner.on_list(&[listed], 0);
        assert_eq!(lead.next_call(0).map(|c| c.purpose), Some(Purpose::Fence));
        lead.respond(Purpose::Fence, 1, Ok(state(&["m0", "m1", "m2"])));
        lead
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let permission = OrderPermission::Until { until_ms: u64::MAX };
        self.planner.tick(&TickInput { config: &self.config, other_usage: &[], permission, now_ms })
    }

    /// Returns the call that a tick starts.
    fn next_call(&mut self, now_ms: u64) -> Option<Call> {
        self.tick(now_ms).into_iter().find_map(|action| match action {
            Action::Call(call) => Some(call),
            Action::Append(_) => None,
        })
    }

    fn respond(&mut self, purpose: Purpose, now_ms: u64, result: Result<EngineState, Failure>) {
        let worker = "w".to_owned();
        let result = CallResult { worker, purpose, epoch: EPOCH, started_ms: now_ms, result };
        self.planner.on_call_result(&self.config, result, now_ms);
    }

    /// Responds to a state read of the worker, which holds `models`, so that orders may follow.
    fn report_state(&mut self, models: &[&str], now_ms: u64) {
        self.respond(Purpose::Poll, now_ms, Ok(state(models)));
    }

    fn request_load(&mut self, model: &str, now_ms: u64) {
        let request = ColdStartRequest {
            cell: CELL.to_owned(),
            target: target(model),
            waiting: 1,
            deadline_in_ms: 60_000,
            cold: true,
        };
        self.planner.on_cold_start_request(&self.config, "caller", &request, now_ms);
    }

    fn reservation_count(&self) -> usize {
        self.planner.workers().map(|worker| worker.reservations.len()).sum()
    }
}

#[test]
fn memory_of_a_pending_unload_is_reserved_once() {
    let mut lead = Lead::with_fenced_worker();
    for model in ["m3", "m4", "m5"] {
        lead.request_load(model, 2000);
    }
    let actions = lead.tick(2000);
    let loads = actions.iter().filter(|a| matches!(a, Action::Append(Record::Load(_)))).count();
    // Three idle replicas can be evicted; a fourth load would need memory that is already reserved.
    assert_eq!((loads, lead.planner.totals().evictions), (3, 3), "{actions:?}");
    lead.request_load("m0", 2001);
    lead.tick(2001);
    assert_eq!(
        lead.reservation_count(),
        3,
        "no load is planned on memory that is reserved for others"
    );
}

#[test]
fn an_unload_without_response_is_retried() {
    let mut lead = Lead::with_fenced_worker();
    lead.request_load("m3", 2000);
    lead.report_state(&["m0", "m1", "m2"], 2000);
    let first = lead.next_call(2001).expect("a call");
    assert!(matches!(first.purpose, Purpose::Unload { .. }), "{first:?}");
    lead.respond(first.purpose.clone(), 2002, Err(Failure::NoAnswer));
    lead.report_state(&["m0", "m1", "m2"], 2500);
    let again = lead.next_call(2501).expect("a call");
    assert_eq!(again.purpose, first.purpose);
    // A refused unload is not ordered again: the worker no longer holds the replica.
    lead.respond(again.purpose, 2502, Err(Failure::Refused));
    lead.report_state(&["m0", "m1", "m2"], 2510);
    let next = lead.next_call(2511).map(|c| c.purpose);
    assert!(!matches!(next, Some(Purpose::Unload { .. })), "{next:?}");
}

#[test]
fn a_decision_without_memory_is_cancelled() {
    let mut lead = Lead::with_fenced_worker();
    lead.request_load("m3", 2000);
    lead.tick(2000);
    assert_eq!(lead.reservation_count(), 1);
    // The worker refuses the unload, so the load never fits.
    lead.report_state(&["m0", "m1", "m2"], 2010);
    let unload = lead.next_call(2011).expect("a call");
    lead.respond(unload.purpose, 2012, Err(Failure::Refused));
    let settled = lead
        .tick(7100)
        .into_iter()
        .any(|action| matches!(action, Action::Append(Record::Settled { .. })));
    assert!(settled, "the log records that the decision was cancelled");
    assert_eq!(lead.reservation_count(), 0);
}

#[test]
fn a_duplicate_decision_stays_settled() {
    let load = LoadDecision {
        epoch: EPOCH,
        sequence: 1,
        worker: "w".to_owned(),
        target: target("m0"),
        size_mb: 30,
        accelerators: vec![0],
    };
    let settled = Record::Settled { epoch: EPOCH, sequence: 1 };
    assert_eq!(unsettled([Record::Load(load.clone())]), vec![load.clone()]);
    let repeated = [Record::Load(load.clone()), settled, Record::Load(load)];
    assert!(unsettled(repeated).is_empty());
}
