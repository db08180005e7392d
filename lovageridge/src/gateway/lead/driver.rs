//! I/O driver of the election: reads and appends records of the lead's log in the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;

use crate::clock::boot_ms;
use crate::gateway::Gateway;
use crate::gateway::allotments;
use crate::gateway::codec;
use crate::gateway::connection::HttpClient;
use crate::gateway::eventlog::Severity;
use crate::gateway::fleet::Fleet;
use crate::gateway::lead::LeadRecord;
use crate::gateway::lead::Step;
use crate::gateway::peers::Payload;
use crate::gateway::peers::driver::send_to_all;
use crate::gateway::sync;
use crate::platform::store;
use crate::telemetry::events;

/// Interval at which the election is checked for its next step.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call to the store; two calls fit into the time for which a renewal is valid.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Takes part in the election until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let mut client = HttpClient::new(gateway.settings().store_addr);
    loop {
        let now_ms = gateway.now_ms();
        let eligible = gateway.is_ready();
        let settings = gateway.settings();
        client.set_addr(settings.store_addr);
        let own_id = settings.instance_id.as_str();
        let lead_seen_ms = gateway
            .lead
            .borrow()
            .as_ref()
            .and_then(|lead| (lead.instance_id != own_id).then_some(lead.received_at_ms));
        let step = gateway.election.borrow_mut().step(eligible, lead_seen_ms, now_ms);
        match step {
            Step::Idle => {}
            Step::Read { from_offset } => read(&gateway, &mut client, from_offset).await,
            Step::Append { record, at_offset } => {
                append(&gateway, &mut client, &record, at_offset).await;
            }
        }
        give_up_unrenewed(&gateway);
        update_fleet(&gateway);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Ends the lead of this instance if it can no longer prove it although accounts' limits need that, and tells the
/// others. They would otherwise hear it for as long as only its path to the store is cut, and not replace it.
fn give_up_unrenewed(gateway: &Gateway) {
    if !allotments::driver::has_limits(gateway) {
        return;
    }
    let given_up = gateway.election.borrow_mut().give_up_unrenewed(gateway.now_ms());
    if let Some(fence) = given_up {
        *gateway.lead.borrow_mut() = None;
        send_to_all(gateway, Payload::LeadGivenUp { fence });
    }
}

/// Notes that the lead with `fence` has given up.
pub fn on_given_up(gateway: &Gateway, fence: u64) {
    let mut lead = gateway.lead.borrow_mut();
    if lead.as_ref().is_some_and(|lead| lead.fence == fence) {
        *lead = None;
    }
}

async fn read(gateway: &Gateway, client: &mut HttpClient, from_offset: u64) {
    let path = store::read_path(store::LEAD_TOPIC, from_offset, 0);
    let era = gateway.store.borrow().progress.era;
    let call = client.call(Method::GET, &path, HeaderMap::new(), Bytes::new(), CALL_TIMEOUT);
    let response = match call.await {
        Ok(response) => response,
        Err(error) => return record_failure(gateway, "claims", "no_answer", &error.to_string()),
    };
    let checked = sync::check_era(gateway, &response);
    if let Err(reason) = checked.and_then(|()| sync::check_era_since(gateway, era)) {
        return record_failure(gateway, "claims", "other_era", &reason);
    }
    let now_ms = gateway.now_ms();
    let mut election = gateway.election.borrow_mut();
    match response.status_code {
        200 => match store::parse_tail(&response.body, from_offset) {
            Ok(tail) => {
                let decoded = tail.records.iter().filter_map(|row| decode(gateway, row));
                let records: Vec<(u64, LeadRecord)> = decoded.collect();
                election.on_read(tail.end_offset, &records, now_ms);
                count_call(gateway, "claims", "ok");
            }
            Err(error) => record_failure(gateway, "claims", "malformed", &error.to_string()),
        },
        // The store creates the topic with its first record.
        404 => election.on_read(0, &[], now_ms),
        410 => match store::parse_first_offset(&response.body) {
            Ok(first) => {
                election.on_expired(first);
                count_call(gateway, "claims", "expired");
            }
            Err(error) => record_failure(gateway, "claims", "malformed", &error.to_string()),
        },
        status => record_failure(gateway, "claims", "refused", &format!("status {status}")),
    }
}

fn decode(gateway: &Gateway, (offset, bytes): &(u64, Vec<u8>)) -> Option<(u64, LeadRecord)> {
    match postcard::from_bytes(bytes) {
        Ok(record) => Some((*offset, record)),
        Err(error) => {
            let line = gateway.log.line(events::RECORD_SKIPPED, Severity::Routine);
            line.text("topic", store::LEAD_TOPIC)
                .number("offset", *offset)
                .text("reason", error)
                .emit();
            None
        }
    }
}

async fn append(gateway: &Gateway, client: &mut HttpClient, record: &LeadRecord, at_offset: u64) {
    let started_ms = gateway.now_ms();
    let started_boot_ms = boot_ms();
    let era = gateway.store.borrow().progress.era;
    let path = store::append_path(store::LEAD_TOPIC, Some(at_offset));
    let Some(bytes) = codec::encode(gateway, "claim", record) else { return };
    let body = store::frame(&bytes);
    let call = client.call(Method::POST, &path, HeaderMap::new(), Bytes::from(body), CALL_TIMEOUT);
    let response = call.await;
    let now_ms = gateway.now_ms();
    if let Ok(response) = &response
        && let Err(reason) =
            sync::check_era(gateway, response).and_then(|()| sync::check_era_since(gateway, era))
    {
        if response.status_code == 200 {
            gateway.election.borrow_mut().on_appended_in_other_era(now_ms);
        }
        return record_failure(gateway, "claim", "other_era", &reason);
    }
    let mut election = gateway.election.borrow_mut();
    match response {
        Ok(response) if response.status_code == 200 => {
            match store::parse_appended(&response.body) {
                Ok((offset, _)) => {
                    election.on_appended(record, offset, started_ms, now_ms);
                    election.on_proved(started_boot_ms);
                    count_call(gateway, "claim", "ok");
                }
                Err(error) => {
                    election.on_append_unknown();
                    record_failure(gateway, "claim", "malformed", &error.to_string());
                }
            }
        }
        Ok(response) if response.status_code == 412 => {
            election.on_condition_failed(now_ms);
            count_call(gateway, "claim", "condition");
        }
        // A refused append has had no effect.
        Ok(response) => {
            record_failure(
                gateway,
                "claim",
                "refused",
                &format!("status {}", response.status_code),
            );
        }
        // After a restore the condition was that of a log which no longer exists.
        Err(error) if sync::check_era_since(gateway, era).is_err() => {
            election.on_appended_in_other_era(now_ms);
            record_failure(gateway, "claim", "other_era", &error.to_string());
        }
        Err(error) => {
            election.on_append_unknown();
            record_failure(gateway, "claim", "no_answer", &error.to_string());
        }
    }
}

fn count_call(gateway: &Gateway, call: &str, result: &str) {
    gateway.metrics.store_calls_total.with_label_values(&[call, result]).inc();
}

fn record_failure(gateway: &Gateway, call: &str, result: &str, reason: &str) {
    count_call(gateway, call, result);
    let line = gateway.log.line(events::STORE_CALL_FAILED, Severity::Routine);
    line.text("call", call).text("result", result).text("reason", reason).emit();
}

/// Creates the state of the model workers when this instance becomes the lead, and drops it when
/// the lead is lost.
fn update_fleet(gateway: &Gateway) {
    let fence = gateway.election.borrow().fence();
    let current_fence = gateway.fleet.borrow().as_ref().map(Fleet::fence);
    if fence == current_fence {
        return;
    }
    let line = match fence {
        Some(fence) => {
            gateway.log.line(events::LEAD_GAINED, Severity::Notable).number("fence", fence)
        }
        None => gateway.log.line(events::LEAD_LOST, Severity::Notable),
    };
    line.emit();
    gateway.metrics.leads.set(i64::from(fence.is_some()));
    *gateway.fleet.borrow_mut() = fence.map(|fence| new_fleet(gateway, fence));
    gateway.planning_due.notify_one();
    gateway.demand_report_due.notify_one();
}

fn new_fleet(gateway: &Gateway, fence: u64) -> Fleet {
    let mut fleet = Fleet::new(fence);
    let now_ms = gateway.now_ms();
    let Some(catalog) = gateway.catalog() else { return fleet };
    for worker in gateway.directory.borrow().iter() {
        if catalog.engine(&worker.record.service).is_some() {
            fleet.on_worker_record(&worker.record, now_ms);
        }
    }
    fleet
}

/// Releases the lead, so that another instance need not wait until the last renewal expires.
pub async fn release(gateway: &Gateway) {
    let released = gateway.election.borrow_mut().release();
    update_fleet(gateway);
    if let Some((record, at_offset)) = released {
        let mut client = HttpClient::new(gateway.settings().store_addr);
        append(gateway, &mut client, &record, at_offset).await;
    }
}
