//! Choice of a worker for a request, and the waits for its model and its limit.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::gateway::Gateway;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::ChosenWorker;
use crate::gateway::attempt::RETRY_AFTER_BUSY_MS;
use crate::gateway::crashes::driver::Admission;
use crate::gateway::crashes::driver::admit;
use crate::gateway::crashes::driver::wait_for_checks;
use crate::gateway::directory::Worker;
use crate::gateway::directory::choose::ChooseError;
use crate::gateway::directory::choose::Requirements;
use crate::gateway::directory::choose::blocked_until_ms;
use crate::gateway::directory::choose::choose;
use crate::gateway::directory::choose::choose_even;
use crate::gateway::directory::queueing::retry_after_ms;
use crate::gateway::eventlog::Severity;
use crate::gateway::limits;
use crate::gateway::response::Refusal;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::waits::Target;
use crate::telemetry::events;

/// Retry-After when a model was not loaded in time, in ms; a load from disk takes about that long.
const RETRY_AFTER_MODEL_WAIT_MS: u64 = 700;
/// Largest random addition to the Retry-After when a model will be loaded too late, as a share of
/// the time until then, so that callers do not all return at once.
const RETRY_AFTER_JITTER: f64 = 0.25;
/// Retry-After when no worker of the service is known or the model is not configured, in ms.
const RETRY_AFTER_UNKNOWN_MS: u64 = 800;
/// Retry-After of an instance in a partitioned domain, in ms. The load balancer fails over after
/// two probes, one second apart, so by then it sends callers elsewhere.
const RETRY_AFTER_PARTITIONED_MS: u64 = 1500;
/// Wait after which it is checked again whether the worker can serve the request, in ms.
const LIMIT_RECHECK_MS: u64 = 50;
/// Longest interval between attempts to find a worker while a request waits for a model.
const WORKER_POLL_INTERVAL: Duration = Duration::from_millis(120);

fn requirements<'a>(
    call: &'a Call,
    settings: &'a GatewaySettings,
    tried: &'a [String],
    skip_avoided: bool,
) -> Requirements<'a> {
    Requirements {
        service: &call.service,
        model: call.target.as_ref().map(|target| target.model.as_str()),
        adapter: call.target.as_ref().and_then(|target| target.adapter.as_deref()),
        domain: &settings.domain,
        tried,
        skip_avoided,
    }
}

/// Returns whether the load of the workers of `service` is kept even, see `Directory::is_evened`.
pub(super) fn is_evened(gateway: &Gateway, service: &str) -> bool {
    gateway.directory.borrow().is_evened(has_accounts(gateway), service)
}

fn has_accounts(gateway: &Gateway) -> bool {
    gateway.catalog.borrow().as_ref().is_some_and(|catalog| !catalog.accounts.is_empty())
}

/// Returns the best worker for the request, other than those that were tried and those that have too
/// many bytes of large bodies in progress.
///
/// # Errors
/// Returns why there is none.
pub(super) fn find_worker(
    gateway: &Gateway,
    call: &Call,
    tried: &[String],
    skip_avoided: bool,
) -> Result<ChosenWorker, ChooseError> {
    let full = gateway.memory.full_upstreams(call.body.len());
    if full.is_empty() {
        return find_among_all(gateway, call, tried, skip_avoided);
    }
    let excluded: Vec<String> = tried.iter().cloned().chain(full).collect();
    find_among_all(gateway, call, &excluded, skip_avoided)
}

fn find_among_all(
    gateway: &Gateway,
    call: &Call,
    tried: &[String],
    skip_avoided: bool,
) -> Result<ChosenWorker, ChooseError> {
    let now_ms = gateway.now_ms();
    let settings = gateway.settings();
    let requirements = requirements(call, &settings, tried, skip_avoided);
    if is_evened(gateway, &call.service) {
        return find_even(gateway, call, &requirements, now_ms);
    }
    let directory = gateway.directory.borrow();
    let mut worker = choose(&directory, &requirements, now_ms, rand::random::<f64>)?;
    // Workers of plain services are not chosen by their queues, since these say nothing of failures.
    if call.target.is_some()
        && directory.wait_at_ms(worker, now_ms) > call.queue_limit_ms()
        && let Some((first, _)) = directory.first_to_begin(&requirements, now_ms)
    {
        worker = first;
    }
    Ok(ChosenWorker {
        id: worker.record.id.clone(),
        addr: worker.record.addr,
        domain: worker.record.domain.clone(),
        load: worker.load_estimate(now_ms),
        load_age_ms: worker.load_age_ms(now_ms),
        wait_ms: directory.wait_at_ms(worker, now_ms),
        admitted_share: directory.admitted_share(worker, call.queue_limit_ms(), now_ms),
        relative_load: None,
    })
}

/// Returns the same for a service whose workers are kept evenly loaded.
fn find_even(
    gateway: &Gateway,
    call: &Call,
    requirements: &Requirements<'_>,
    now_ms: u64,
) -> Result<ChosenWorker, ChooseError> {
    let has_accounts = has_accounts(gateway);
    if gateway.directory.borrow_mut().on_clocks(has_accounts, now_ms, boot_ms()) {
        // The workers have probably closed them meanwhile.
        gateway.pool.borrow_mut().clear();
    }
    let directory = gateway.directory.borrow();
    let pool = gateway.pool.borrow();
    let idle_max_ms = call.idle_max_ms();
    let idle_ms = |worker: &Worker| pool.remaining_ms(&worker.record.id, idle_max_ms, now_ms);
    let choice = choose_even(&directory, requirements, now_ms, idle_ms, rand::random::<f64>)?;
    let limit_ms = call.queue_limit_ms();
    let choice = choice.within(&directory, call.target.as_ref().map(|_| limit_ms), now_ms);
    let (worker, load) = (choice.chosen.worker, choice.chosen.requests());
    Ok(ChosenWorker {
        id: worker.record.id.clone(),
        addr: worker.record.addr,
        domain: worker.record.domain.clone(),
        load,
        load_age_ms: worker.load_age_ms(now_ms),
        wait_ms: directory.wait_with_load_ms(worker, load, now_ms),
        admitted_share: directory.admitted_share_with_load(worker, load, limit_ms, now_ms),
        relative_load: Some(choice.relative_load()),
    })
}

/// Refuses a request if it would probably wait for so long at its worker that it is late: one for a model, or one
/// of a service whose workers state their pace.
///
/// # Errors
/// Returns the refusal, with the time at which a place is likely.
fn check_queue(gateway: &Gateway, call: &Call, chosen: &ChosenWorker) -> Result<(), Refusal> {
    let limit_ms = call.queue_limit_ms();
    let is_checked = call.target.is_some() || gateway.directory.borrow().states_pace(&call.service);
    if !is_checked || rand::random::<f64>() < chosen.admitted_share {
        return Ok(());
    }
    gateway.metrics.queue_refused_total.with_label_values(&[call.route.name.as_str()]).inc();
    let retry_after_ms = retry_after_ms(chosen.wait_ms, limit_ms, rand::random::<f64>());
    let line = gateway.log.line(events::QUEUE_REFUSED, Severity::Routine);
    line.text("request", call.id())
        .text("worker", &chosen.id)
        .number("load", chosen.load)
        .number("load_age_ms", chosen.load_age_ms.map_or(-1, i128::from))
        .number("wait_ms", chosen.wait_ms)
        .number("limit_ms", limit_ms)
        .emit();
    let cause = match call.target {
        Some(_) => "all workers with the model are busy",
        None => "all workers of the service are busy",
    };
    Err(Refusal::not_run(cause, retry_after_ms))
}

/// Registers a request as waiting for a model; ends when dropped, also when the caller disconnects.
struct ModelWait<'a> {
    gateway: &'a Gateway,
    target: &'a Target,
    ticket: u64,
}

impl Drop for ModelWait<'_> {
    fn drop(&mut self) {
        self.gateway.waits.borrow_mut().remove(self.target, self.ticket);
    }
}

/// Returns a worker for the request, to which it may be sent under the worker's limit.
pub(super) async fn acquire_worker(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[String],
    wait_until_ms: u64,
) -> Result<ChosenWorker, Refusal> {
    loop {
        let chosen = wait_for_worker(gateway, call, tried, wait_until_ms).await?;
        if !limits::driver::is_limited(gateway, &chosen.id) {
            return Ok(chosen);
        }
        let chosen_ms = gateway.now_ms();
        let others: Vec<String> = tried.iter().chain([&chosen.id]).cloned().collect();
        let has_other_worker = find_worker(gateway, call, &others, true).is_ok();
        let max_wait_ms = match has_other_worker {
            true => 0,
            false => wait_until_ms.saturating_sub(chosen_ms).min(limits::WAIT_MAX_MS),
        };
        let acquired = limits::driver::acquire(gateway, &chosen.id, max_wait_ms).await;
        let waited_ms = gateway.now_ms() - chosen_ms;
        if acquired && (waited_ms <= LIMIT_RECHECK_MS || is_usable(gateway, call, &chosen)) {
            return Ok(chosen);
        }
    }
}

/// Returns the Retry-After of a request that workers have rejected, in ms: the time until one of them is
/// likely to have a place, or until the first of them takes requests again if all have asked for none.
pub(super) fn retry_after_rejection_ms(gateway: &Gateway, call: &Call) -> u64 {
    if let Ok(chosen) = find_worker(gateway, call, &[], false) {
        if call.target.is_none() || chosen.wait_ms == 0 {
            return RETRY_AFTER_BUSY_MS;
        }
        let limit_ms = call.queue_limit_ms();
        let return_ms = retry_after_ms(chosen.wait_ms, limit_ms, rand::random::<f64>());
        return return_ms.max(RETRY_AFTER_BUSY_MS);
    }
    let now_ms = gateway.now_ms();
    let settings = gateway.settings();
    let directory = gateway.directory.borrow();
    let until_ms = blocked_until_ms(&directory, &requirements(call, &settings, &[], false), now_ms);
    until_ms.map_or(RETRY_AFTER_BUSY_MS, |until_ms| (until_ms - now_ms).max(RETRY_AFTER_BUSY_MS))
}

/// Returns whether a worker that was chosen earlier can still serve the request.
fn is_usable(gateway: &Gateway, call: &Call, chosen: &ChosenWorker) -> bool {
    let now_ms = gateway.now_ms();
    let directory = gateway.directory.borrow();
    let Some(worker) = directory.get(&chosen.id) else { return false };
    let holds = call
        .target
        .as_ref()
        .is_none_or(|target| worker.holds(&target.model, target.adapter.as_deref(), now_ms));
    let blocked = gateway.crashes.ledger.borrow().blocked_among(&call.fields.prompt_parts);
    holds
        && worker.accepts_new_requests(now_ms)
        && now_ms >= worker.closed_until_ms
        && (blocked.is_empty() || call.is_probe.get())
}

/// Waits while all workers for the request are at their limits or have asked for no further requests;
/// returns whether it did.
///
/// # Errors
/// Refuses the request if none of them takes it in time.
async fn wait_for_limit(
    gateway: &Gateway,
    call: &Call,
    tried: &[String],
    wait_until_ms: u64,
) -> Result<bool, Refusal> {
    let now_ms = gateway.now_ms();
    let until_ms = {
        let settings = gateway.settings();
        let directory = gateway.directory.borrow();
        blocked_until_ms(&directory, &requirements(call, &settings, tried, true), now_ms)
    };
    let Some(until_ms) = until_ms else { return Ok(false) };
    if until_ms >= wait_until_ms {
        let jitter_ms = (until_ms - now_ms) as f64 * RETRY_AFTER_JITTER * rand::random::<f64>();
        let retry_after_ms = until_ms - now_ms + jitter_ms as u64;
        return Err(Refusal::not_run("all workers are at their limits or closed", retry_after_ms));
    }
    let changed = gateway.state_changed.notified();
    let poll_interval = WORKER_POLL_INTERVAL.min(Duration::from_millis(until_ms - now_ms));
    // Search again without a change as well: another worker may become usable.
    let _ = timeout(poll_interval, changed).await;
    Ok(true)
}

/// Returns a worker for the request, after waiting for its model to be loaded if necessary.
async fn wait_for_worker(
    gateway: &Gateway,
    call: &Call,
    tried: &[String],
    wait_until_ms: u64,
) -> Result<ChosenWorker, Refusal> {
    let mut model_wait: Option<ModelWait<'_>> = None;
    wait_for_checks(gateway, tried).await;
    loop {
        let changed = gateway.state_changed.notified();
        let choice = find_worker(gateway, call, tried, true);
        let admission = admit(gateway, call, !tried.is_empty(), choice.is_ok()).await?;
        if admission == Admission::ProbeClaimed {
            continue;
        }
        let choose_error = match choice {
            Ok(chosen) => {
                if model_wait.is_some() {
                    record_cold_wait(gateway, call);
                }
                if tried.is_empty() {
                    check_queue(gateway, call, &chosen)?;
                }
                if let Some(relative_load) = chosen.relative_load {
                    let label = [call.service.as_str()];
                    gateway.metrics.relative_load.with_label_values(&label).observe(relative_load);
                }
                return Ok(chosen);
            }
            Err(choose_error) => choose_error,
        };
        let now_ms = gateway.now_ms();
        let full = gateway.memory.full_upstreams(call.body.len());
        if !full.is_empty() && find_among_all(gateway, call, tried, true).is_ok() {
            let remaining_ms = wait_until_ms.saturating_sub(now_ms);
            if remaining_ms == 0 {
                return Err(Refusal::not_run(
                    "the workers have too many bytes in progress",
                    retry_after_rejection_ms(gateway, call),
                ));
            }
            let poll_interval = WORKER_POLL_INTERVAL.min(Duration::from_millis(remaining_ms));
            let _ = timeout(poll_interval, changed).await;
            continue;
        }
        if choose_error == ChooseError::NoWorker {
            return Err(Refusal::not_run(
                "no worker of the service is known",
                RETRY_AFTER_UNKNOWN_MS,
            ));
        }
        if choose_error == ChooseError::NoneEligible
            && wait_for_limit(gateway, call, tried, wait_until_ms).await?
        {
            continue;
        }
        let Some(target) = &call.target else {
            // Plain services need no model, so waiting would not help: use any worker.
            let any_worker = find_worker(gateway, call, tried, false)
                .or_else(|_| find_worker(gateway, call, &[], false));
            return any_worker.map_err(|_| {
                Refusal::not_run("no worker is left", retry_after_rejection_ms(gateway, call))
            });
        };
        let engine = call.catalog.engine(&call.service);
        if engine.is_some_and(|engine| !engine.models.contains(target.model.as_str())) {
            return Err(Refusal::not_run("the model is not configured", RETRY_AFTER_UNKNOWN_MS));
        }
        if gateway.is_partitioned() {
            return Err(Refusal::not_run(
                "the failure domain is cut off",
                RETRY_AFTER_PARTITIONED_MS,
            ));
        }
        let load_due_ms =
            gateway.directory.borrow().unavailable_until_ms(&target.service, &target.model, now_ms);
        if let Some(load_due_ms) = load_due_ms
            .filter(|due_ms| choose_error == ChooseError::NotLoaded && *due_ms > wait_until_ms)
        {
            let until_due_ms = load_due_ms - now_ms;
            let jitter_ms =
                (until_due_ms as f64 * RETRY_AFTER_JITTER * rand::random::<f64>()) as u64;
            return Err(Refusal::not_run(
                "the model cannot be loaded in time",
                until_due_ms + jitter_ms,
            ));
        }
        if now_ms >= wait_until_ms {
            record_cold_wait(gateway, call);
            return Err(Refusal::not_run(
                "the model was not loaded in time",
                RETRY_AFTER_MODEL_WAIT_MS,
            ));
        }
        if model_wait.is_none() {
            let ticket = gateway.waits.borrow_mut().add(target, call.objective_at_ms(), tried);
            model_wait = Some(ModelWait { gateway, target, ticket });
            gateway.demand_report_due.notify_one();
        }
        let poll_interval = WORKER_POLL_INTERVAL.min(Duration::from_millis(wait_until_ms - now_ms));
        // Search again without a change as well: workers are avoided only for a limited time.
        let _ = timeout(poll_interval, changed).await;
    }
}

fn record_cold_wait(gateway: &Gateway, call: &Call) {
    let waited_ms = gateway.now_ms() - call.arrived_ms;
    let histogram = gateway.metrics.cold_wait_s.with_label_values(&[call.route.name.as_str()]);
    histogram.observe(waited_ms as f64 / 1000.0);
}
