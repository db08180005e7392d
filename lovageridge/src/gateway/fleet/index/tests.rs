//! Tests of the sums that the planner looks up.

use crate::gateway::directory::tests::record;
use crate::gateway::fleet::Fleet;
use crate::gateway::peers::Demand;
use crate::gateway::peers::RunningRequests;

fn demand(rows: &[(&str, &str, u32)]) -> Demand {
    let to_row = |(worker, model, count): &(&str, &str, u32)| RunningRequests {
        worker: (*worker).to_owned(),
        model: (*model).to_owned(),
        count: *count,
    };
    Demand { running: rows.iter().map(to_row).collect(), ..Demand::default() }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(1);
    fleet.on_worker_record(&record("w1", "a", &["m1", "m2"]), 1000);
    fleet.on_worker_record(&record("w2", "b", &["m1"]), 1000);
    fleet
}

fn running(fleet: &Fleet, model: &str) -> u32 {
    fleet.index.model_named("engine", model).map_or(0, |entry| entry.running)
}

fn replicas(fleet: &Fleet, model: &str) -> usize {
    fleet.index.model_named("engine", model).map_or(0, |entry| entry.replicas.len())
}

#[test]
fn a_report_replaces_the_earlier_one_of_its_instance() {
    let mut fleet = fleet();
    fleet.on_demand("n1", demand(&[("w1", "m1", 3), ("w1", "m2", 1)]), 1000);
    fleet.on_demand("n2", demand(&[("w1", "m1", 2), ("w2", "m1", 4)]), 1000);
    assert_eq!(running(&fleet, "m1"), 9);
    fleet.on_demand("n1", demand(&[("w1", "m1", 1)]), 1100);
    assert_eq!((running(&fleet, "m1"), running(&fleet, "m2")), (7, 0));
    let m1 = fleet.index.model_number("engine", "m1").expect("known");
    assert_eq!((fleet.index.running_at("w1", m1), fleet.index.running_at("w2", m1)), (3, 4));
}

#[test]
fn old_reports_and_reports_on_unknown_workers_do_not_count() {
    let mut fleet = fleet();
    fleet.on_demand("n1", demand(&[("w1", "m1", 3), ("w9", "m1", 5)]), 1000);
    fleet.on_demand("n2", demand(&[("w1", "m1", 2)]), 2000);
    assert_eq!(running(&fleet, "m1"), 5);
    fleet.expire_reports(2501);
    fleet.expire_reports(2502);
    assert_eq!(running(&fleet, "m1"), 2);
}

#[test]
fn replicas_follow_the_workers() {
    let mut fleet = fleet();
    assert_eq!((replicas(&fleet, "m1"), replicas(&fleet, "m2")), (2, 1));
    let mut leaving = record("w2", "b", &["m1"]);
    leaving.leaving = true;
    fleet.on_worker_record(&leaving, 1100);
    assert_eq!(replicas(&fleet, "m1"), 1);
    fleet.on_worker_removed("w1");
    assert_eq!((replicas(&fleet, "m1"), replicas(&fleet, "m2")), (0, 0));
    fleet.on_worker_record(&record("w1", "a", &["m2"]), 1200);
    assert_eq!(replicas(&fleet, "m2"), 1);
}

/// Callers may name any model.
#[test]
fn the_number_of_model_names_is_bounded() {
    let mut fleet = fleet();
    for number in 0..super::MAX_MODELS + 10 {
        fleet.index.number_of_model("engine", &format!("m{number:06}"));
    }
    assert_eq!(fleet.index.models().len(), super::MAX_MODELS);
    assert_eq!(replicas(&fleet, "m1"), 2);
}
