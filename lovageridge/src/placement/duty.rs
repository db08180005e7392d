//! Threads of the placement duty: claims, leads and the calls to workers.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use log::info;

use crate::context::Context;
use crate::context::lock;
use crate::dispatch::cells::CellSight;
use crate::dispatch::cells::Lead;
use crate::dispatch::duty::Event as DispatchEvent;
use crate::document::Config;
use crate::infra::list::Listed;
use crate::leadership::cell_of;
use crate::leadership::cells_of;
use crate::leadership::checks_fencing;
use crate::leadership::claimant::Claimant;
use crate::leadership::claimant::Held;
use crate::leadership::claimant::Own;
use crate::leadership::claimant::Permission;
use crate::leadership::claimant::Sight;
use crate::leadership::claimant::permission;
use crate::leadership::fold;
use crate::leadership::fold::Fold;
use crate::placement::call::Call;
use crate::placement::call::CallResult;
use crate::placement::core::Action;
use crate::placement::core::Core;
use crate::placement::core::Surroundings;
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
use crate::wire::ColdAsk;
use crate::wire::ColdReply;
use crate::wire::LeadOf;
use crate::wire::Message;
use crate::wire::Progress;
use crate::wire::StoreUse;

/// Events that wait for the placement duty.
pub const RING_EVENTS: usize = 8192;
/// Calls that wait for a caller thread.
const RING_CALLS: usize = 512;
/// Appends that wait for the log.
const RING_APPENDS: usize = 4096;
/// Threads that call workers.
const CALLER_THREADS: usize = 8;
/// Threads that append to the log; a slow append does not hold up the others.
const LOG_THREADS: usize = 4;
/// Time between decisions, in ms.
const TICK_MS: u64 = 20;
/// Time between views of the cells, in ms.
const SIGHT_PERIOD_MS: u64 = 100;

/// A cell as this instance takes part in it.
struct Seat {
    claimant: Claimant,
    core: Option<Core>,
    publisher: Publisher,
    reading_undone: bool,
    told: Totals,
}

/// State of the placement thread.
struct Duty<'a> {
    ctx: &'a Context,
    own: Own,
    seats: Table<String, Seat>,
    fold: Fold,
    proof_ms: Option<u64>,
    calls: Sender<(String, u64, Call)>,
    jobs: Sender<LogJob>,
    sight_ms: u64,
    idle_since_ms: u64,
    releasing: bool,
}

/// Runs the placement duty until the instance stops.
pub fn run(ctx: &Context, events: &Receiver<Event>) {
    let (calls, call_ring) = flume::bounded(RING_CALLS);
    let (jobs, job_ring) = flume::bounded(RING_APPENDS);
    std::thread::scope(|scope| {
        for _ in 0..CALLER_THREADS {
            scope.spawn(|| jobs::run_caller(ctx, &call_ring));
        }
        for _ in 0..LOG_THREADS {
            scope.spawn(|| jobs::run_log_jobs(ctx, &job_ring));
        }
        scope.spawn(|| jobs::run_claims(ctx));
        let timing = &ctx.settings.timing;
        let own = Own {
            instance_id: ctx.own.instance_id.clone(),
            incarnation: ctx.own.incarnation,
            lease_ms: timing.lease_ms,
            margin_ms: timing.lease_margin_ms,
        };
        let mut duty = Duty {
            ctx,
            own,
            seats: Table::new(),
            fold: Fold::default(),
            proof_ms: None,
            calls,
            jobs,
            sight_ms: 0,
            idle_since_ms: 0,
            releasing: false,
        };
        duty.run(events);
    });
}

impl Duty<'_> {
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
            Event::Ask { from, from_addr, ask } => self.on_ask(&from, from_addr, &ask, now_ms),
            Event::Use { from, report } => {
                if let Some(core) = self.core(&report.cell) {
                    core.on_use(&from, &report, now_ms);
                }
            }
            Event::Result { cell, result } => self.on_result(&cell, result, now_ms),
            Event::Claims { fold, begun_ms } => self.on_claims(*fold, begun_ms, now_ms),
            Event::Logged { cell, epoch, sequence } => {
                if let Some(core) = self.core(&cell).filter(|core| core.epoch() == epoch) {
                    core.on_logged(sequence);
                }
            }
            Event::Undone { cell, epoch, decisions } => self.on_undone(&cell, epoch, &decisions),
            Event::Release { done } => self.release(done),
            Event::Status { reply } => {
                // The administration may have given up waiting.
                let _ = reply.try_send(self.status(now_ms));
            }
        }
    }

    fn core(&mut self, cell: &str) -> Option<&mut Core> {
        self.seats.get_mut(cell)?.core.as_mut()
    }

    fn on_ask(&mut self, from: &str, from_addr: Option<SocketAddr>, ask: &ColdAsk, now_ms: u64) {
        let config = self.ctx.config.current();
        let progress = match self.core(&ask.cell) {
            Some(core) => core.on_ask(&config, from, ask, now_ms),
            None => Progress::NotLead,
        };
        let reply = ColdReply { cell: ask.cell.clone(), target: ask.target.clone(), progress };
        match from_addr {
            Some(to) => self.ctx.send(to, Message::ColdReply(reply)),
            None => self.ctx.offer_dispatch(DispatchEvent::Reply(reply)),
        }
    }

    fn on_result(&mut self, cell: &str, result: CallResult, now_ms: u64) {
        if let Err(failure) = result.result {
            let detail =
                format!("worker={} purpose={:?} {failure:?}", result.worker, result.purpose);
            log::debug!("{}", events::WORKER_FAILED.text(&self.ctx.own.instance_id, &detail));
        }
        let config = self.ctx.config.current();
        let Some(core) = self.core(cell) else { return };
        let records = core.on_result(&config, result, now_ms);
        for record in records {
            self.append(cell, record, None);
        }
    }

    fn append(&self, cell: &str, record: record::Record, logged: Option<(String, u64, u64)>) {
        let job = LogJob::Append { stream: record::stream(cell), record, logged };
        if self.jobs.try_send(job).is_err() {
            self.ctx.metrics.ring_drops.with_label_values(&["appends"]).inc();
        }
    }

    fn on_claims(&mut self, fold: Fold, begun_ms: u64, now_ms: u64) {
        self.proof_ms = Some(begun_ms);
        self.fold = fold;
        for (cell, seat) in self.seats.iter_mut() {
            let before = seat.claimant.held();
            let gained = seat.claimant.on_fold(&self.own, &self.fold, now_ms);
            if seat.claimant.held().map(|h| h.epoch) != before.map(|h| h.epoch) {
                seat.core = None;
                seat.reading_undone = false;
            }
            let id = &self.own.instance_id;
            if gained {
                info!("{}", events::CELL_LED.text(id, &format!("cell={cell}")));
            } else if before.is_some() && seat.claimant.held().is_none() {
                info!("{}", events::CELL_LOST.text(id, &format!("cell={cell}")));
                self.ctx.metrics.cell_epoch.with_label_values(&[cell]).set(0);
            }
        }
    }

    fn on_undone(&mut self, cell: &str, epoch: u64, decisions: &[LoadDecision]) {
        let checks_fencing = checks_fencing(&self.ctx.config.current(), cell);
        let Some(seat) = self.seats.get_mut(cell) else { return };
        seat.reading_undone = false;
        let Some(held) = seat.claimant.held().filter(|held| held.epoch == epoch) else { return };
        seat.core = Some(Core::new(cell, held, checks_fencing, decisions));
        seat.publisher = Publisher::default();
        seat.told = Totals::default();
        self.ctx.metrics.cell_epoch.with_label_values(&[cell]).set(epoch as i64);
    }

    fn release(&mut self, done: Sender<()>) {
        self.releasing = true;
        let mut records = Vec::new();
        for (cell, seat) in self.seats.iter_mut() {
            seat.core = None;
            if let Some(epoch) = seat.claimant.give_up() {
                records.push(fold::Record::Release { cell: cell.clone(), epoch });
            }
        }
        lock(&self.ctx.leads).clear();
        *lock(&self.ctx.store_use) = StoreUse::default();
        if self.jobs.try_send(LogJob::Release { records, done }).is_err() {
            self.ctx.metrics.ring_drops.with_label_values(&["appends"]).inc();
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let config = self.ctx.config.current();
        let upstreams = self.ctx.members().upstreams().to_vec();
        if now_ms >= self.sight_ms + SIGHT_PERIOD_MS {
            self.sight_ms = now_ms;
            self.update_seats(&config, &upstreams, now_ms);
            self.publish_sights(&config, &upstreams, now_ms);
        }
        if self.releasing {
            return;
        }
        self.start_cores(&config, now_ms);
        self.tick_cores(&config, now_ms);
        self.count_idle(now_ms);
    }

    /// Takes a seat in each cell of which this instance is a candidate, and claims what is vacant.
    fn update_seats(&mut self, config: &Config, upstreams: &[Listed], now_ms: u64) {
        for cell in cells_of(config, upstreams) {
            let sight = self.sight(&cell, now_ms);
            if sight.own_rank.is_none() && !self.seats.contains(&cell) {
                continue;
            }
            let own = &self.own;
            let fold = &self.fold;
            let seat = self.seats.get_or_insert_with(cell.clone(), || Seat {
                claimant: Claimant::new(cell.clone()),
                core: None,
                publisher: Publisher::default(),
                reading_undone: false,
                told: Totals::default(),
            });
            if let Some(core) = &mut seat.core {
                let listed =
                    upstreams.iter().filter(|l| cell_of(config, l).as_ref() == Some(&cell));
                core.on_list(listed, now_ms);
            }
            let may_claim = !self.releasing && !self.ctx.is_leaving() && self.proof_ms.is_some();
            if !may_claim {
                continue;
            }
            if let Some(claim) = seat.claimant.claim_due(own, fold, sight, now_ms) {
                let detail = format!("cell={cell} prior_epoch={}", claim.prior_epoch);
                info!("{}", events::CELL_CLAIMED.text(&own.instance_id, &detail));
                if self.jobs.try_send(LogJob::Claim(fold::Record::Claim(claim))).is_err() {
                    self.ctx.metrics.ring_drops.with_label_values(&["appends"]).inc();
                }
            }
        }
    }

    fn sight(&self, cell: &str, now_ms: u64) -> Sight {
        let members = self.ctx.members();
        let domain = crate::leadership::cell_parts(cell).map_or("", |parts| parts.1);
        let lead = self.fold.lead(cell);
        let lead_id = lead.map_or("", |lead| lead.instance_id.as_str());
        let member = members.all().find(|(id, _)| *id == lead_id);
        Sight {
            own_rank: members.own_rank(cell, domain, now_ms),
            lead_alive: members.is_alive(lead_id, now_ms),
            lead_incarnation: member.map_or(0, |(_, m)| m.incarnation),
        }
    }

    fn publish_sights(&self, config: &Config, upstreams: &[Listed], now_ms: u64) {
        let sights: Vec<CellSight> = cells_of(config, upstreams)
            .into_iter()
            .filter_map(|cell| self.cell_sight(config, upstreams, cell, now_ms))
            .collect();
        let instances = self.ctx.members().alive(now_ms).count() as u64 + 1;
        self.ctx.offer_dispatch(DispatchEvent::Cells { sights, instances });
    }

    fn cell_sight(
        &self,
        config: &Config,
        upstreams: &[Listed],
        cell: String,
        now_ms: u64,
    ) -> Option<CellSight> {
        let (service, domain, _) = crate::leadership::cell_parts(&cell)?;
        let members = self.ctx.members();
        let own_core = self.seats.get(&cell).is_some_and(|seat| seat.core.is_some());
        let lead = if own_core {
            Some(Lead::Own)
        } else {
            members.lead_of(&cell, now_ms).map(|(_, peers_addr, _)| Lead::Peer { peers_addr })
        };
        let reachable = *domain == self.ctx.own.domain
            || members.alive(now_ms).any(|(_, m)| m.domain == *domain);
        let in_cell = |l: &&Listed| cell_of(config, l).as_ref() == Some(&cell) && !l.leaving;
        Some(CellSight {
            service: service.to_owned(),
            domain: domain.to_owned(),
            lead,
            reachable,
            workers: upstreams.iter().filter(in_cell).count(),
            cell,
        })
    }

    /// Starts the lead of each cell whose earlier lead can order no more.
    fn start_cores(&mut self, config: &Config, now_ms: u64) {
        let mut started = Vec::new();
        for (cell, seat) in self.seats.iter_mut() {
            let Some(held) = seat.claimant.held() else { continue };
            if seat.core.is_some() || seat.reading_undone {
                continue;
            }
            if checks_fencing(config, cell) {
                started.push((cell.clone(), held));
            } else if now_ms >= held.prior_lease_over_ms {
                // Decisions are read only now: a predecessor may have logged more until here.
                let job = LogJob::ReadUndone { cell: cell.clone(), epoch: held.epoch };
                seat.reading_undone = self.jobs.try_send(job).is_ok();
            }
        }
        for (cell, held) in started {
            self.on_undone(&cell, held.epoch, &[]);
        }
    }

    fn permission(&self, checks: bool, held: Held, now_ms: u64) -> Permission {
        permission(checks, held, self.proof_ms, self.own.lease_ms, now_ms)
    }

    fn tick_cores(&mut self, config: &Config, now_ms: u64) {
        let members_use = self.ctx.members().store_uses(now_ms);
        let own_uses: Vec<(String, StoreUse)> = self
            .seats
            .iter()
            .filter_map(|(cell, seat)| Some((cell.clone(), seat.core.as_ref()?.store_use())))
            .collect();
        let mut leads = Vec::new();
        let cells: Vec<String> = own_uses.iter().map(|(cell, _)| cell.clone()).collect();
        for cell in cells {
            let mut others = members_use.clone();
            others.extend(own_uses.iter().filter(|(name, _)| *name != cell).map(|(_, u)| *u));
            let Some(core) = self.seats.get(&cell).and_then(|seat| seat.core.as_ref()) else {
                continue;
            };
            let permission = self.permission(core.checks_fencing(), core.held(), now_ms);
            leads.push(LeadOf { cell: cell.clone(), epoch: core.epoch() });
            let around = Surroundings { config, others: &others, permission, now_ms };
            let Some(core) = self.core(&cell) else { continue };
            let actions = core.tick(&around);
            for action in actions {
                self.perform(&cell, action);
            }
            self.publish_workers(&cell, now_ms);
            self.tell_totals(&cell);
        }
        *lock(&self.ctx.leads) = leads;
        *lock(&self.ctx.store_use) = sum(own_uses.iter().map(|(_, store)| *store));
    }

    fn perform(&mut self, cell: &str, action: Action) {
        let id = &self.ctx.own.instance_id;
        let Some(core) = self.seats.get(cell).and_then(|seat| seat.core.as_ref()) else { return };
        let (epoch, checks) = (core.epoch(), core.checks_fencing());
        match action {
            Action::Call(call) => {
                // Each worker has one call outstanding, so the ring holds more than all workers.
                if self.calls.try_send((cell.to_owned(), epoch, call)).is_err() {
                    self.ctx.metrics.ring_drops.with_label_values(&["calls"]).inc();
                }
            }
            Action::Append(record) => {
                let mut logged = None;
                if let record::Record::Unload { worker, target, .. } = &record {
                    let detail = format!("cell={cell} worker={worker} {target:?}");
                    info!("{}", events::UNLOAD_ORDERED.text(id, &detail));
                }
                if let record::Record::Load(load) = &record {
                    let detail = format!("cell={cell} worker={} {:?}", load.worker, load.target);
                    info!("{}", events::LOAD_DECIDED.text(id, &detail));
                    if !checks {
                        logged = Some((cell.to_owned(), epoch, load.sequence));
                    }
                }
                self.append(cell, record, logged);
            }
        }
    }

    fn publish_workers(&mut self, cell: &str, now_ms: u64) {
        let Some(seat) = self.seats.get_mut(cell) else { return };
        let Some(core) = &seat.core else { return };
        let due = seat.publisher.due(core, now_ms);
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
            self.ctx.offer_dispatch(DispatchEvent::Worker(view));
        }
    }

    fn tell_totals(&mut self, cell: &str) {
        let Some(seat) = self.seats.get_mut(cell) else { return };
        let Some(core) = &seat.core else { return };
        let (now, told) = (core.totals(), seat.told);
        let metrics = &self.ctx.metrics;
        metrics.loads_decided_total.inc_by(now.loads_decided - told.loads_decided);
        metrics.loads_finished_total.inc_by(now.loads_finished - told.loads_finished);
        metrics.evictions_total.inc_by(now.evictions - told.evictions);
        metrics.idle_unloads_total.inc_by(now.idle_unloads - told.idle_unloads);
        seat.told = now;
    }

    /// Counts the accelerator time of targets that nobody uses, once a second.
    fn count_idle(&mut self, now_ms: u64) {
        if now_ms < self.idle_since_ms + 1000 {
            return;
        }
        let seconds = (now_ms - self.idle_since_ms) / 1000;
        self.idle_since_ms += seconds * 1000;
        for seat in self.seats.values() {
            let Some(core) = &seat.core else { continue };
            let idle = core.idle_accelerators(now_ms);
            self.ctx.metrics.idle_accelerator_seconds_total.inc_by(idle * seconds);
            for worker in core.workers() {
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
        for seat in self.seats.values() {
            let Some(core) = &seat.core else { continue };
            let permission = self.permission(core.checks_fencing(), core.held(), now_ms);
            let may_order = permission != Permission::Wait;
            cells.push(status::of(core, may_order));
        }
        cells
    }
}

fn sum(uses: impl Iterator<Item = StoreUse>) -> StoreUse {
    uses.fold(StoreUse::default(), |total, store| StoreUse {
        loads_in_flight: total.loads_in_flight + store.loads_in_flight,
        loads_waiting: total.loads_waiting + store.loads_waiting,
        adapters_in_flight: total.adapters_in_flight + store.adapters_in_flight,
    })
}
