//! Tests of loads from the weight store.

use crate::gateway::fleet::residency::max_delayed_models;
use crate::gateway::fleet::tests::RECORD_INTERVAL_MS;
use crate::gateway::fleet::tests::STORE_LOAD_MS;
use crate::gateway::fleet::tests::Simulation;
use crate::gateway::peers::tag;

/// Returns a simulation of six workers, and the models m10 to m15, which are only in the weight
/// store.
fn simulation_with_uncached_models(store_concurrency: usize) -> (Simulation, Vec<String>) {
    let mut sim = Simulation::new(6, 16);
    sim.store_concurrency = store_concurrency;
    let is_cached = |name: &String| name.as_str() < "m10";
    for (_, worker) in sim.workers.iter_mut() {
        worker.on_disk.retain(is_cached);
    }
    for record in sim.records() {
        sim.fleet.on_worker_record(&record, sim.now_ms);
    }
    sim.run_for_ms(6000);
    (sim, (10..16).map(|index| format!("m{index}")).collect())
}

/// Requests each uncached model twice a second for 40 s; returns the number of these models that
/// are loaded after each second. Requests time out after `timeout_ms`.
fn uncached_models_loaded_over_time(store_concurrency: usize, timeout_ms: u64) -> Vec<usize> {
    let (mut sim, uncached) = simulation_with_uncached_models(store_concurrency);
    let mut loaded = Vec::new();
    for round in 0..80 {
        let now_ms = sim.now_ms;
        sim.waiting.retain(|request| now_ms < request.arrived_ms + timeout_ms);
        for model in &uncached {
            sim.add_request(model, None, 3000);
        }
        sim.run_for_ms(500);
        if round % 2 == 1 {
            loaded.push(uncached.iter().filter(|model| sim.replica_count(model) > 0).count());
        }
    }
    loaded
}

/// The workers with the only copies of many models are gone, and the weight store serves one load
/// at a time at full speed. Concurrent loads would all finish at the same time, and late.
#[test]
fn uncached_models_are_loaded_one_at_a_time_from_a_slow_store() {
    for timeout_ms in [8000, 100] {
        let loaded = uncached_models_loaded_over_time(1, timeout_ms);
        for (index, min_loaded) in [(12, 1), (21, 2), (30, 3)] {
            assert!(
                loaded[index] >= min_loaded,
                "{} loaded after {} s: {loaded:?}",
                loaded[index],
                index + 1
            );
        }
    }
}

/// The same with a store that serves four concurrent loads at full speed.
#[test]
fn uncached_models_are_loaded_concurrently_from_a_fast_store() {
    let loaded = uncached_models_loaded_over_time(4, 8000);
    assert!(loaded[35] >= 6, "{loaded:?}");
}

/// Callers request models that cannot be loaded before their requests time out.
#[test]
fn uncached_models_are_reported_with_their_remaining_load_time() {
    let (mut sim, uncached) = simulation_with_uncached_models(1);
    for model in uncached.iter().chain(["m01".to_owned()].iter()) {
        sim.add_request(model, None, 3000);
    }
    sim.run_for_ms(1000);
    let delayed = |sim: &Simulation| sim.fleet.delayed_models(&sim.catalog, 16, sim.now_ms);
    let usable_in_ms = |sim: &Simulation, model: &str| {
        let key = tag(&["engine", model]);
        let found = delayed(sim).into_iter().find(|delayed| delayed.model == key);
        found.map(|delayed| u64::from(delayed.usable_in_ms))
    };
    for model in &uncached {
        // One is being loaded, and the others are queued behind it.
        assert!(usable_in_ms(&sim, model).is_some_and(|ms| ms >= STORE_LOAD_MS - 1000), "{model}");
    }
    let longest_ms = uncached.iter().filter_map(|model| usable_in_ms(&sim, model)).max();
    // The last one waits for five other loads.
    assert!(longest_ms.is_some_and(|ms| ms >= 5 * STORE_LOAD_MS), "{longest_ms:?}");
    assert_eq!(usable_in_ms(&sim, "m01"), None);
    assert_eq!(usable_in_ms(&sim, "m09"), None, "it was not requested");
    sim.run_for_ms(STORE_LOAD_MS + 2 * RECORD_INTERVAL_MS);
    let loaded = uncached.iter().find(|model| sim.replica_count(model) > 0).expect("the first one");
    assert_eq!(usable_in_ms(&sim, loaded), None);
}

/// Demand moves to a model of which only two workers have a copy. Its requests fill both, and further
/// replicas can only come from the weight store.
#[test]
fn a_model_that_fills_all_workers_with_a_copy_is_loaded_from_the_weight_store() {
    let mut sim = Simulation::new(6, 16);
    for (id, worker) in sim.workers.iter_mut() {
        worker.on_disk.retain(|name| name != "m00" || id == "w0" || id == "w1");
    }
    for record in sim.records() {
        sim.fleet.on_worker_record(&record, sim.now_ms);
    }
    sim.run_for_ms(2000);
    assert_eq!(sim.replica_count("m00"), 2);
    sim.request_duration_ms = 20_000;
    for _ in 0..130 {
        sim.add_request("m00", None, 400);
        sim.run_for_ms(20);
    }
    sim.run_for_ms(STORE_LOAD_MS + 2 * RECORD_INTERVAL_MS);
    assert!(sim.replica_count("m00") >= 3, "{} replicas", sim.replica_count("m00"));
}

/// A model with room at its workers gets no load from the weight store, which is needed for others.
#[test]
fn a_model_with_free_slots_is_not_loaded_from_the_weight_store() {
    let mut sim = Simulation::new(6, 16);
    for (id, worker) in sim.workers.iter_mut() {
        worker.on_disk.retain(|name| name != "m00" || id == "w0" || id == "w1");
    }
    for record in sim.records() {
        sim.fleet.on_worker_record(&record, sim.now_ms);
    }
    for _ in 0..200 {
        sim.add_request("m00", None, 400);
        sim.run_for_ms(50);
    }
    assert_eq!(sim.replica_count("m00"), 2);
}

/// A busy model that no worker has a copy of is loaded before a further replica of another one: without it
/// all its callers are refused. The weight store serves one load at a time.
#[test]
fn a_busy_model_without_a_copy_comes_before_a_further_replica() {
    let mut sim = Simulation::new(8, 16);
    sim.store_concurrency = 1;
    for (id, worker) in sim.workers.iter_mut() {
        worker.on_disk.retain(|name| name != "m15" && (name != "m00" || id == "w0" || id == "w1"));
    }
    for record in sim.records() {
        sim.fleet.on_worker_record(&record, sim.now_ms);
    }
    sim.run_for_ms(2000);
    sim.request_duration_ms = 90_000;
    for _ in 0..400 {
        sim.add_request("m00", None, 400);
    }
    // The first load is for the model whose requests are there first.
    for _ in 0..(2 * STORE_LOAD_MS + 3 * RECORD_INTERVAL_MS) / 20 {
        for _ in 0..3 {
            sim.add_request("m15", None, 400);
        }
        sim.run_for_ms(20);
        sim.waiting.retain(|request| request.model != "m15");
    }
    assert!(sim.replica_count("m15") >= 1, "the model without a copy was not loaded");
}

/// Many models that only the weight store has are in demand at once, in a deployment of 240 workers. Callers of
/// those that are not told as delayed wait for a load that does not come, and are refused then.
#[test]
fn many_models_are_told_as_delayed_in_a_large_deployment() {
    let mut sim = Simulation::new(240, 300);
    for (_, worker) in sim.workers.iter_mut() {
        worker.on_disk.retain(|name| name.len() == 3);
    }
    for record in sim.records() {
        sim.fleet.on_worker_record(&record, sim.now_ms);
    }
    for model in 250..290 {
        sim.add_request(&format!("m{model}"), None, 3000);
    }
    sim.run_for_ms(500);
    let most = max_delayed_models(sim.fleet.worker_count());
    let delayed = sim.fleet.delayed_models(&sim.catalog, most, sim.now_ms);
    assert_eq!(delayed.len(), 40, "all of them");
}
