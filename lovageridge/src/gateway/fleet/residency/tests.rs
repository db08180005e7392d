//! Tests of what the lead publishes in deployments with many workers and instances.

use serde::Serialize;

use crate::gateway::directory::LoadedModel;
use crate::gateway::directory::WorkerView;
use crate::gateway::fleet::residency::DueUpdate;
use crate::gateway::fleet::residency::HEARTBEAT_MS;
use crate::gateway::fleet::residency::ResidencyPublisher;
use crate::gateway::fleet::residency::max_delayed_models;
use crate::gateway::fleet::residency::max_worker_loads;
use crate::gateway::peers::DelayedModel;
use crate::gateway::peers::FleetStatus;
use crate::gateway::peers::WorkerLoad;
use crate::gateway::peers::tag;

/// Share of a machine's link that the lead's updates may use.
const LINK_SHARE: f64 = 0.5;
/// Slowest link of a machine in known deployments, in bytes per second.
const LINK_BYTES_PER_S: f64 = 10e6 / 8.0;
/// Age at which instances discard a view that the lead has not sent again, in ms.
const VIEW_EXPIRY_MS: u64 = 3000;
const PEERS: usize = 89;

fn view(at: usize, model: usize) -> WorkerView {
    let loaded = |number: usize| LoadedModel {
        model: format!("daka5{number:05}"),
        adapters: (1..=3).map(|adapter| format!("a{adapter}")).collect(),
    };
    WorkerView {
        id: format!("i-{at:010}"),
        start_unix_ms: 1_774_640_177_125,
        models: vec![loaded(model), loaded(model + 1), loaded(model + 2)],
    }
}

fn views(count: usize) -> Vec<WorkerView> {
    (0..count).map(|at| view(at, at)).collect()
}

/// Returns the next update of `publisher` for these views.
fn update_for(
    publisher: &mut ResidencyPublisher,
    fence: u64,
    views: &[WorkerView],
    now_ms: u64,
) -> Option<DueUpdate> {
    let views: Vec<&WorkerView> = views.iter().collect();
    publisher.next_update(fence, &views, now_ms)
}

fn status() -> FleetStatus {
    let load = |at| WorkerLoad { worker: tag(&[&format!("i-{at:010}")]), running: 200 };
    let delayed =
        |at| DelayedModel { model: tag(&[&format!("daka5{at:05}")]), usable_in_ms: 30_000 };
    FleetStatus {
        loads: (0..max_worker_loads(90)).map(load).collect(),
        delayed_models: (0..max_delayed_models(90)).map(delayed).collect(),
    }
}

fn encoded_len(rows: &impl Serialize) -> usize {
    postcard::to_stdvec(rows).expect("views can be encoded").len()
}

/// 90 workers and 90 instances, and the lead has a link of 10 Mbit/s. Sending all workers to each
/// instance in each heartbeat needed more than twice that bandwidth, so most datagrams were lost.
#[test]
fn residency_updates_fit_into_a_narrow_link() {
    let mut publisher = ResidencyPublisher::default();
    update_for(&mut publisher, 7, &views(90), 0);
    let seconds = 10;
    let mut bytes = 0;
    for now_ms in (15..seconds * 1000).step_by(15) {
        let mut current = views(90);
        // Four workers change each second.
        current[(now_ms / 250 % 90) as usize] = view((now_ms / 250 % 90) as usize, 500);
        let update = update_for(&mut publisher, 7, &current, now_ms);
        let Some(update) = update else { continue };
        let status = if update.is_heartbeat { encoded_len(&status()) } else { 0 };
        bytes += (encoded_len(&update.views) + status) * PEERS;
    }
    let share = bytes as f64 / seconds as f64 / LINK_BYTES_PER_S;
    assert!(share <= LINK_SHARE, "updates use {share:.2} of the link");
}

#[test]
fn every_worker_is_sent_again_before_its_view_expires() {
    let mut publisher = ResidencyPublisher::default();
    update_for(&mut publisher, 7, &views(90), 0);
    let mut sent_ms = vec![0; 90];
    for now_ms in (HEARTBEAT_MS..30_000).step_by(HEARTBEAT_MS as usize) {
        for view in update_for(&mut publisher, 7, &views(90), now_ms).expect("a heartbeat").views {
            let at: usize = view.id[2..].parse().expect("a number");
            sent_ms[at] = now_ms;
        }
        let oldest_ms = sent_ms.iter().min().expect("workers");
        assert!(
            now_ms - oldest_ms < VIEW_EXPIRY_MS,
            "at {now_ms} ms, the oldest view was sent at {oldest_ms} ms"
        );
    }
}

#[test]
fn a_change_is_sent_at_once_and_repeated_twice() {
    let mut publisher = ResidencyPublisher::default();
    for now_ms in (0..=900).step_by(300) {
        update_for(&mut publisher, 7, &views(40), now_ms);
    }
    let mut changed = views(40);
    changed[30] = view(30, 900);
    let update = update_for(&mut publisher, 7, &changed, 915).expect("the change");
    assert_eq!(update, DueUpdate { views: vec![changed[30].clone()], is_heartbeat: false });
    assert_eq!(update_for(&mut publisher, 7, &changed, 930), None);
    for now_ms in [1200, 1500] {
        let update = update_for(&mut publisher, 7, &changed, now_ms).expect("a heartbeat");
        assert!(update.views.contains(&changed[30]), "change not repeated at {now_ms} ms");
    }
}

#[test]
fn each_heartbeat_covers_all_workers_of_a_small_deployment() {
    let mut publisher = ResidencyPublisher::default();
    update_for(&mut publisher, 7, &views(12), 0);
    for now_ms in [900, 1200, 1500] {
        assert_eq!(
            update_for(&mut publisher, 7, &views(12), now_ms).map(|update| update.views.len()),
            Some(12)
        );
    }
}

#[test]
fn new_peers_get_all_views_once_per_lead() {
    let mut publisher = ResidencyPublisher::default();
    update_for(&mut publisher, 7, &views(40), 0);
    let names: Vec<String> = vec!["n1".to_owned(), "n2".to_owned()];
    assert_eq!(publisher.take_new_peers(names.iter()), names);
    assert!(publisher.take_new_peers(names.iter()).is_empty());
    assert_eq!(publisher.all_views().len(), 40);
    update_for(&mut publisher, 8, &views(39), 100);
    assert_eq!(publisher.take_new_peers(names.iter()), names);
    assert_eq!(publisher.all_views().len(), 39);
}

#[test]
fn removed_workers_are_no_longer_sent() {
    let mut publisher = ResidencyPublisher::default();
    update_for(&mut publisher, 7, &views(30), 0);
    update_for(&mut publisher, 7, &views(3), 300);
    assert_eq!(publisher.all_views().len(), 3);
    assert_eq!(
        update_for(&mut publisher, 7, &views(3), 1200).map(|update| update.views.len()),
        Some(3)
    );
}

/// Guards against turns that follow the number of messages: with three messages in each update, the same one
/// of three instances would pass all of them on.
#[test]
fn each_update_is_counted_once_however_large_it_is() {
    let mut publisher = ResidencyPublisher::default();
    update_for(&mut publisher, 7, &views(240), 0);
    let after_first = publisher.update_count();
    for now_ms in [300, 600] {
        update_for(&mut publisher, 7, &views(240), now_ms);
    }
    assert_eq!((after_first, publisher.update_count()), (1, 3));
    assert!(update_for(&mut publisher, 7, &views(240), 615).is_none());
    assert_eq!(publisher.update_count(), 3, "nothing was sent");
}
