//! The I/O driver of placement: claims cells, runs their planners and makes the calls to workers.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use log::info;

use crate::context::Context;
use crate::context::lock;
use crate::dispatch::cells::CellView;
use crate::dispatch::cells::Lead;
use crate::dispatch::driver::Event as DispatchEvent;
use crate::document::Config;
use crate::infra::list::ListedInstance;
use crate::leadership::cell_of;
use crate::leadership::cells_of;
use crate::leadership::checks_fencing;
use crate::leadership::claimant::CandidateView;
use crate::leadership::claimant::Claimant;
use crate::leadership::claimant::ClaimantIdentity;
use crate::leadership::claimant::HeldEpoch;
use crate::leadership::claimant::OrderPermission;
use crate::leadership::claimant::order_permission;
use crate::leadership::lead_table;
use crate::leadership::lead_table::LeadTable;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::core::Action;
use crate::placement::core::CellPlanner;
use crate::placement::core::TickInput;
use crate::placement::core::Totals;
use crate::placement::event::Event;
use crate::placement::jobs;
use crate::placement::jobs::LogJob;
use crate::placement::publish::Publisher;
use crate::placement::record;
use crate::placement::record::LoadDecision;
use crate::placement::status;
use crate::placement::status::CellStatus;
use crate::sorted::Table;
use crate::telemetry::events;
use crate::wire::ColdStartReply;
use crate::wire::ColdStartRequest;
use crate::wire::LedCell;
use crate::wire::Message;
use crate::wire::Progress;
use crate::wire::StoreUsage;

/// Capacity of the queue of events for the placement driver.
pub const EVENT_QUEUE_CAPACITY: usize = 8192;
/// Capacity of the queue of worker calls.
const CALL_QUEUE_CAPACITY: usize = 512;
/// Capacity of the queue of log jobs.
const LOG_QUEUE_CAPACITY: usize = 4096;
/// Number of threads that call workers.
const CALLER_THREADS: usize = 8;
/// Number of threads that append to the log; several, so that a slow append does not delay others.
const LOG_THREADS: usize = 4;
/// Time between ticks of the planners, in ms.
const TICK_MS: u64 = 20;
/// Time between updates of the cell views, in ms.
const CELL_VIEW_PERIOD_MS: u64 = 100;

/// State of a cell for which this instance is a candidate or the lead.
struct CellState {
    claimant: Claimant,
    planner: Option<CellPlanner>,
    publisher: Publisher,
    /// Whether a read of the earlier leads' unsettled decisions is in progress.
    reading_unsettled: bool,
    /// Totals that the metrics already include.
    reported_totals: Totals,
}

/// State of the placement driver thread.
struct Driver<'a> {
    ctx: &'a Context,
    own: ClaimantIdentity,
    cells: Table<String, CellState>,
    lead_table: LeadTable,
    /// Start time of the last complete read of the claims, which renews the leases.
    lease_renewed_ms: Option<u64>,
    calls: Sender<(String, u64, Call)>,
    log_jobs: Sender<LogJob>,
    last_view_ms: u64,
    idle_counted_ms: u64,
    releasing: bool,
}

/// Runs the placement driver until the instance stops.
pub fn run(ctx: &Context, events: &Receiver<Event>) {
    let (calls, call_queue) = flume::bounded(CALL_QUEUE_CAPACITY);
    let (log_jobs, log_job_queue) = flume::bounded(LOG_QUEUE_CAPACITY);
    std::thread::scope(|scope| {
        for _ in 0..CALLER_THREADS {
            scope.spawn(|| jobs::run_worker_calls(ctx, &call_queue));
        }
        for _ in 0..LOG_THREADS {
            scope.spawn(|| jobs::run_log_jobs(ctx, &log_job_queue));
        }
        scope.spawn(|| jobs::run_claim_reader(ctx));
        let timing = &ctx.settings.timing;
        let own = ClaimantIdentity {
            instance_id: ctx.own.instance_id.clone(),
            incarnation: ctx.own.incarnation,
            lease_ms: timing.lease_ms,
            successor_margin_ms: timing.lease_margin_ms,
        };
        let mut driver = Driver {
            ctx,
            own,
            cells: Table::new(),
            lead_table: LeadTable::default(),
            lease_renewed_ms: None,
            calls,
            log_jobs,
            last_view_ms: 0,
            idle_counted_ms: 0,
            releasing: false,
        };
        driver.run(events);
    });
}

impl Driver<'_> {
    fn run(&mut self, events: &Receiver<Event>) {
        let mut next_tick_ms = 0;
        while !self.ctx.is_stopped() {
            let now_ms = self.ctx.clock.now_ms();
            if now_ms >= next_tick_ms {
                self.tick(now_ms);
                next_tick_ms = self.ctx.clock.now_ms() + TICK_MS;
            }
            let wait_ms = next_tick_ms.saturating_sub(self.ctx.clock.now_ms());
            match events.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(event) => self.on_event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        let now_ms = self.ctx.clock.now_ms();
        match event {
            Event::ColdStartRequest { from, reply_addr, request } => {
                self.on_cold_start_request(&from, reply_addr, &request, now_ms)
            }
            Event::UsageReport { from, report } => {
                if let Some(planner) = self.planner(&report.cell) {
                    planner.on_usage_report(&from, &report, now_ms);
                }
            }
            Event::CallResult { cell, result } => self.on_call_result(&cell, result, now_ms),
            Event::LeadTableRead { lead_table, started_ms } => {
                self.on_lead_table(*lead_table, started_ms, now_ms)
            }
            Event::DecisionLogged { cell, epoch, sequence } => {
                if let Some(planner) =
                    self.planner(&cell).filter(|planner| planner.epoch() == epoch)
                {
                    planner.on_logged(sequence);
                }
            }
            Event::UnsettledRead { cell, epoch, decisions } => {
                self.on_unsettled(&cell, epoch, &decisions)
            }
            Event::Release { done } => self.release_cells(done),
            Event::Status { reply } => {
                // The admin request may have timed out.
                let _ = reply.try_send(self.status(now_ms));
            }
        }
    }

    fn planner(&mut self, cell: &str) -> Option<&mut CellPlanner> {
        self.cells.get_mut(cell)?.planner.as_mut()
    }

    fn on_cold_start_request(
        &mut self,
        from: &str,
        reply_addr: Option<SocketAddr>,
        request: &ColdStartRequest,
        now_ms: u64,
    ) {
        let config = self.ctx.config.current();
        let progress = match self.planner(&request.cell) {
            Some(planner) => planner.on_cold_start_request(&config, from, request, now_ms),
            None => Progress::NotLead,
        };
        let reply =
            ColdStartReply { cell: request.cell.clone(), target: request.target.clone(), progress };
        match reply_addr {
            Some(to) => self.ctx.send_message(to, Message::ColdStartReply(reply)),
            None => self.ctx.offer_dispatch_event(DispatchEvent::Reply(reply)),
        }
    }

    fn on_call_result(&mut self, cell: &str, result: CallResult, now_ms: u64) {
        if let Err(failure) = result.result {
            let detail =
                format!("worker={} purpose={:?} {failure:?}", result.worker, result.purpose);
            log::debug!("{}", events::WORKER_FAILED.text(&self.ctx.own.instance_id, &detail));
        }
        let config = self.ctx.config.current();
        let Some(planner) = self.planner(cell) else { return };
        let records = planner.on_call_result(&config, result, now_ms);
        for record in records {
            self.append(cell, record, None);
        }
    }

    fn append(
        &self,
        cell: &str,
        record: record::Record,
        notify_logged: Option<(String, u64, u64)>,
    ) {
        let job = LogJob::Append { stream: record::stream_name(cell), record, notify_logged };
        if self.log_jobs.try_send(job).is_err() {
            self.ctx.metrics.ring_drops.with_label_values(&["appends"]).inc();
        }
    }

    fn on_lead_table(&mut self, lead_table: LeadTable, started_ms: u64, now_ms: u64) {
        self.lease_renewed_ms = Some(started_ms);
        self.lead_table = lead_table;
        for (cell, state) in self.cells.iter_mut() {
            let before = state.claimant.held_epoch();
            let gained = state.claimant.on_lead_table(&self.own, &self.lead_table, now_ms);
            if state.claimant.held_epoch().map(|h| h.epoch) != before.map(|h| h.epoch) {
                state.planner = None;
                state.reading_unsettled = false;
            }
            let id = &self.own.instance_id;
            if gained {
                info!("{}", events::CELL_LED.text(id, &format!("cell={cell}")));
            } else if before.is_some() && state.claimant.held_epoch().is_none() {
                info!("{}", events::CELL_LOST.text(id, &format!("cell={cell}")));
                self.ctx.metrics.cell_epoch.with_label_values(&[cell]).set(0);
            }
        }
    }

    fn on_unsettled(&mut self, cell: &str, epoch: u64, decisions: &[LoadDecision]) {
        let checks_fencing = checks_fencing(&self.ctx.config.current(), cell);
        let Some(state) = self.cells.get_mut(cell) else { return };
        state.reading_unsettled = false;
        let Some(held) = state.claimant.held_epoch().filter(|held| held.epoch == epoch) else {
            return;
        };
        state.planner = Some(CellPlanner::new(cell, held, checks_fencing, decisions));
        state.publisher = Publisher::default();
        state.reported_totals = Totals::default();
        self.ctx.metrics.cell_epoch.with_label_values(&[cell]).set(epoch as i64);
    }

    fn release_cells(&mut self, done: Sender<()>) {
        self.releasing = true;
        let mut records = Vec::new();
        for (cell, state) in self.cells.iter_mut() {
            state.planner = None;
            if let Some(epoch) = state.claimant.release() {
                records.push(lead_table::Record::Release { cell: cell.clone(), epoch });
            }
        }
        lock(&self.ctx.led_cells).clear();
        *lock(&self.ctx.store_usage) = StoreUsage::default();
        if self.log_jobs.try_send(LogJob::Release { records, done }).is_err() {
            self.ctx.metrics.ring_drops.with_label_values(&["appends"]).inc();
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let config = self.ctx.config.current();
        let upstreams = self.ctx.members().upstreams().to_vec();
        if now_ms >= self.last_view_ms + CELL_VIEW_PERIOD_MS {
            self.last_view_ms = now_ms;
            self.update_cells(&config, &upstreams, now_ms);
            self.publish_cells(&config, &upstreams, now_ms);
        }
        if self.releasing {
            return;
        }
        self.start_planners(&config, now_ms);
        self.tick_planners(&config, now_ms);
        self.count_idle_time(now_ms);
    }

    /// Updates each cell for which this instance is a candidate, and claims those without a lead.
    fn update_cells(&mut self, config: &Config, upstreams: &[ListedInstance], now_ms: u64) {
        for cell in cells_of(config, upstreams) {
            let view = self.candidate_view(&cell, now_ms);
            if view.own_rank.is_none() && !self.cells.contains(&cell) {
                continue;
            }
            let own = &self.own;
            let lead_table = &self.lead_table;
            let state = self.cells.get_or_insert_with(cell.clone(), || CellState {
                claimant: Claimant::new(cell.clone()),
                planner: None,
                publisher: Publisher::default(),
                reading_unsettled: false,
                reported_totals: Totals::default(),
            });
            if let Some(planner) = &mut state.planner {
                let listed =
                    upstreams.iter().filter(|l| cell_of(config, l).as_ref() == Some(&cell));
                planner.on_list(listed, now_ms);
            }
            let may_claim =
                !self.releasing && !self.ctx.is_leaving() && self.lease_renewed_ms.is_some();
            if !may_claim {
                continue;
            }
            if let Some(claim) = state.claimant.next_claim(own, lead_table, view, now_ms) {
                let detail = format!("cell={cell} prior_epoch={}", claim.prior_epoch);
                info!("{}", events::CELL_CLAIMED.text(&own.instance_id, &detail));
                if self.log_jobs.try_send(LogJob::Claim(lead_table::Record::Claim(claim))).is_err()
                {
                    self.ctx.metrics.ring_drops.with_label_values(&["appends"]).inc();
                }
            }
        }
    }

    fn candidate_view(&self, cell: &str, now_ms: u64) -> CandidateView {
        let members = self.ctx.members();
        let domain = crate::leadership::cell_parts(cell).map_or("", |parts| parts.1);
        let lead = self.lead_table.lead(cell);
        let lead_id = lead.map_or("", |lead| lead.instance_id.as_str());
        let member = members.all().find(|(id, _)| *id == lead_id);
        CandidateView {
            own_rank: members.own_rank(cell, domain, now_ms),
            lead_alive: members.is_alive(lead_id, now_ms),
            lead_incarnation: member.map_or(0, |(_, m)| m.incarnation),
        }
    }

    fn publish_cells(&self, config: &Config, upstreams: &[ListedInstance], now_ms: u64) {
        let cells: Vec<CellView> = cells_of(config, upstreams)
            .into_iter()
            .filter_map(|cell| self.view_of_cell(config, upstreams, cell, now_ms))
            .collect();
        let instances = self.ctx.members().alive(now_ms).count() as u64 + 1;
        self.ctx.offer_dispatch_event(DispatchEvent::Cells { cells, instances });
    }

    fn view_of_cell(
        &self,
        config: &Config,
        upstreams: &[ListedInstance],
        cell: String,
        now_ms: u64,
    ) -> Option<CellView> {
        let (service, domain, _) = crate::leadership::cell_parts(&cell)?;
        let members = self.ctx.members();
        let leads_here = self.cells.get(&cell).is_some_and(|state| state.planner.is_some());
        let lead = if leads_here {
            Some(Lead::Own)
        } else {
            members.lead_of(&cell, now_ms).map(|(_, peers_addr, _)| Lead::Peer { peers_addr })
        };
        let reachable = *domain == self.ctx.own.domain
            || members.alive(now_ms).any(|(_, m)| m.domain == *domain);
        let in_cell =
            |l: &&ListedInstance| cell_of(config, l).as_ref() == Some(&cell) && !l.leaving;
        Some(CellView {
            service: service.to_owned(),
            domain: domain.to_owned(),
            lead,
            reachable,
            workers: upstreams.iter().filter(in_cell).count(),
            cell,
        })
    }

    /// Starts the planner of each held cell whose earlier lead can no longer send orders.
    fn start_planners(&mut self, config: &Config, now_ms: u64) {
        let mut ready = Vec::new();
        for (cell, state) in self.cells.iter_mut() {
            let Some(held) = state.claimant.held_epoch() else { continue };
            if state.planner.is_some() || state.reading_unsettled {
                continue;
            }
            if checks_fencing(config, cell) {
                ready.push((cell.clone(), held));
            } else if now_ms >= held.prior_lease_end_ms {
                // Decisions are read only now, since the earlier lead may have logged more until
                // its lease ended.
                let job = LogJob::ReadUnsettled { cell: cell.clone(), epoch: held.epoch };
                state.reading_unsettled = self.log_jobs.try_send(job).is_ok();
            }
        }
        for (cell, held) in ready {
            self.on_unsettled(&cell, held.epoch, &[]);
        }
    }

    fn permission(&self, checks: bool, held: HeldEpoch, now_ms: u64) -> OrderPermission {
        order_permission(checks, held, self.lease_renewed_ms, self.own.lease_ms, now_ms)
    }

    fn tick_planners(&mut self, config: &Config, now_ms: u64) {
        let member_usage = self.ctx.members().store_usages(now_ms);
        let own_usage: Vec<(String, StoreUsage)> = self
            .cells
            .iter()
            .filter_map(|(cell, state)| Some((cell.clone(), state.planner.as_ref()?.store_usage())))
            .collect();
        let mut leads = Vec::new();
        let cells: Vec<String> = own_usage.iter().map(|(cell, _)| cell.clone()).collect();
        for cell in cells {
            let mut other_usage = member_usage.clone();
            other_usage.extend(own_usage.iter().filter(|(name, _)| *name != cell).map(|(_, u)| *u));
            let Some(planner) = self.cells.get(&cell).and_then(|state| state.planner.as_ref())
            else {
                continue;
            };
            let permission =
                self.permission(planner.checks_fencing(), planner.held_epoch(), now_ms);
            leads.push(LedCell { cell: cell.clone(), epoch: planner.epoch() });
            let input = TickInput { config, other_usage: &other_usage, permission, now_ms };
            let Some(planner) = self.planner(&cell) else { continue };
            let actions = planner.tick(&input);
            for action in actions {
                self.perform(&cell, action);
            }
            self.publish_workers(&cell, now_ms);
            self.report_totals(&cell);
        }
        *lock(&self.ctx.led_cells) = leads;
        *lock(&self.ctx.store_usage) = total_usage(own_usage.iter().map(|(_, store)| *store));
    }

    fn perform(&mut self, cell: &str, action: Action) {
        let id = &self.ctx.own.instance_id;
        let Some(planner) = self.cells.get(cell).and_then(|state| state.planner.as_ref()) else {
            return;
        };
        let (epoch, checks) = (planner.epoch(), planner.checks_fencing());
        match action {
            Action::Call(call) => {
                // Each worker has at most one call outstanding, so the queue only fills up with
                // more than `CALL_QUEUE_CAPACITY` workers.
                if self.calls.try_send((cell.to_owned(), epoch, call)).is_err() {
                    self.ctx.metrics.ring_drops.with_label_values(&["calls"]).inc();
                }
            }
            Action::Append(record) => {
                let mut notify_logged = None;
                if let record::Record::Unload { worker, target, .. } = &record {
                    let detail = format!("cell={cell} worker={worker} {target:?}");
                    info!("{}", events::UNLOAD_ORDERED.text(id, &detail));
                }
                if let record::Record::Load(load) = &record {
                    let detail = format!("cell={cell} worker={} {:?}", load.worker, load.target);
                    info!("{}", events::LOAD_DECIDED.text(id, &detail));
                    if !checks {
                        notify_logged = Some((cell.to_owned(), epoch, load.sequence));
                    }
                }
                self.append(cell, record, notify_logged);
            }
        }
    }

    fn publish_workers(&mut self, cell: &str, now_ms: u64) {
        let Some(state) = self.cells.get_mut(cell) else { return };
        let Some(planner) = &state.planner else { return };
        let due = state.publisher.due_reports(planner, now_ms);
        if due.is_empty() {
            return;
        }
        let targets: Vec<SocketAddr> =
            self.ctx.members().alive(now_ms).map(|(_, m)| m.peers_addr).collect();
        for view in due {
            let bytes =
                crate::wire::encode(&self.ctx.own.instance_id, Message::Worker(view.clone()));
            for to in &targets {
                self.ctx.send_bytes(*to, &bytes);
            }
            self.ctx.offer_dispatch_event(DispatchEvent::Worker(view));
        }
    }

    fn report_totals(&mut self, cell: &str) {
        let Some(state) = self.cells.get_mut(cell) else { return };
        let Some(planner) = &state.planner else { return };
        let (now, reported) = (planner.totals(), state.reported_totals);
        let metrics = &self.ctx.metrics;
        metrics.loads_decided_total.inc_by(now.loads_decided - reported.loads_decided);
        metrics.loads_finished_total.inc_by(now.loads_finished - reported.loads_finished);
        metrics.evictions_total.inc_by(now.evictions - reported.evictions);
        metrics.idle_unloads_total.inc_by(now.idle_unloads - reported.idle_unloads);
        state.reported_totals = now;
    }

    /// Adds up the accelerator time of idle models and updates the ledger metrics, once per second.
    fn count_idle_time(&mut self, now_ms: u64) {
        if now_ms < self.idle_counted_ms + 1000 {
            return;
        }
        let seconds = (now_ms - self.idle_counted_ms) / 1000;
        self.idle_counted_ms += seconds * 1000;
        for state in self.cells.values() {
            let Some(planner) = &state.planner else { continue };
            let idle = planner.idle_accelerators(now_ms);
            self.ctx.metrics.idle_accelerator_seconds_total.inc_by(idle * seconds);
            for worker in planner.workers() {
                let count = worker.state.accelerators_mb.len() as u32;
                let held: u64 = (0..count).map(|a| worker.held_mb(a)).sum();
                let free: u64 = (0..count).map(|a| worker.free_mb(a)).sum();
                let total: u64 = worker.state.accelerators_mb.iter().sum();
                let ledger = &self.ctx.metrics.ledger_mb;
                ledger.with_label_values(&[worker.id.as_str(), "held"]).set(held as i64);
                let reserved = total.saturating_sub(held + free);
                ledger.with_label_values(&[worker.id.as_str(), "reserved"]).set(reserved as i64);
            }
        }
    }

    fn status(&self, now_ms: u64) -> Vec<CellStatus> {
        let mut cells = Vec::new();
        for state in self.cells.values() {
            let Some(planner) = &state.planner else { continue };
            let permission =
                self.permission(planner.checks_fencing(), planner.held_epoch(), now_ms);
            let may_order = permission != OrderPermission::Wait;
            cells.push(status::cell_status(planner, may_order));
        }
        cells
    }
}

fn total_usage(usages: impl Iterator<Item = StoreUsage>) -> StoreUsage {
    usages.fold(StoreUsage::default(), |total, store| StoreUsage {
        loads_in_flight: total.loads_in_flight + store.loads_in_flight,
        loads_waiting: total.loads_waiting + store.loads_waiting,
        adapters_in_flight: total.adapters_in_flight + store.adapters_in_flight,
    })
}
