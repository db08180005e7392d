//! The I/O driver of dispatch: one thread that carries out the dispatcher's decisions.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

use crate::attempts::outcome::Refusal;
use crate::context::Context;
use crate::dispatch::cells::CellView;
use crate::dispatch::cells::Lead;
use crate::dispatch::core::Action;
use crate::dispatch::core::DispatchRequest;
use crate::dispatch::core::Dispatcher;
use crate::dispatch::core::PoolKey;
use crate::dispatch::core::UpstreamOutcome;
use crate::infra::list::ListedInstance;
use crate::placement::event::Event as LeadEvent;
use crate::routing::Choice;
use crate::sorted::Table;
use crate::wire::AdmittedReport;
use crate::wire::ColdStartReply;
use crate::wire::ColdStartRequest;
use crate::wire::Message;
use crate::wire::UsageReport;
use crate::wire::WorkerView;

/// Capacity of the event queue of the dispatch thread.
pub const EVENT_QUEUE_CAPACITY: usize = 16_384;
/// Time between checks of deadlines, in ms.
const TICK_INTERVAL_MS: u64 = 10;
/// Time between usage reports, in ms.
const USAGE_REPORT_PERIOD_MS: u64 = 500;
/// Time between exchanges of admitted tokens, in ms.
const LIMIT_EXCHANGE_PERIOD_MS: u64 = 200;

/// Decision on a request: the upstream to use, or a refusal.
pub type Decision = Result<Choice, Refusal>;

/// An event for the dispatch thread.
pub enum Event {
    /// A request needs an upstream.
    Submit {
        /// The request.
        request: DispatchRequest,
        /// Channel for the decision.
        reply: Sender<Decision>,
    },
    /// A request has ended at its upstream.
    Done {
        /// Pool that the request belongs to.
        pool: PoolKey,
        /// Name of the upstream.
        upstream: String,
        /// Whether the request is interactive.
        interactive: bool,
        /// How it ended.
        outcome: UpstreamOutcome,
    },
    /// A request no longer waits for its decision.
    Cancel {
        /// Ticket of the request.
        ticket: u64,
    },
    /// A lead's report on a worker.
    Worker(WorkerView),
    /// The platform's list of instances.
    Listed(Vec<ListedInstance>),
    /// This instance's view of the cells.
    Cells {
        /// All cells.
        cells: Vec<CellView>,
        /// Number of instances that are alive, including this one.
        instances: u64,
    },
    /// A lead's reply to a cold-start request.
    Reply(ColdStartReply),
    /// Another instance's report of admitted tokens.
    Admitted {
        /// Name of the sender.
        from: String,
        /// The report.
        report: AdmittedReport,
    },
    /// The admin API requests the status.
    Status {
        /// Channel for the status.
        reply: Sender<DispatchStatus>,
    },
}

/// Status of dispatch, for the admin API.
#[derive(Clone, Debug, serde::Serialize)]
pub struct DispatchStatus {
    /// Requests waiting for an upstream.
    pub waiting: usize,
    /// Requests at upstreams.
    pub in_flight: usize,
    /// Workers as last reported.
    pub workers: Vec<WorkerView>,
}

/// State of the I/O driver.
struct Driver<'a> {
    ctx: &'a Context,
    dispatcher: Dispatcher,
    decision_senders: Table<u64, Sender<Decision>>,
    /// Lead of each cell.
    leads: Table<String, Option<Lead>>,
    config_version: u64,
    last_usage_report_ms: u64,
    last_exchange_ms: u64,
}

/// Runs the I/O driver until the instance stops.
pub fn run(ctx: &Context, events: &Receiver<Event>) {
    let mut driver = Driver {
        ctx,
        dispatcher: Dispatcher::new(&ctx.own.domain, ctx.own.stagger_hash()),
        decision_senders: Table::new(),
        leads: Table::new(),
        config_version: 0,
        last_usage_report_ms: 0,
        last_exchange_ms: 0,
    };
    let mut next_tick_ms = 0;
    while !ctx.is_stopped() {
        let now_ms = ctx.clock.now_ms();
        if now_ms >= next_tick_ms {
            driver.tick(now_ms);
            next_tick_ms = now_ms + TICK_INTERVAL_MS;
        }
        let wait_ms = next_tick_ms.saturating_sub(ctx.clock.now_ms());
        match events.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(event) => driver.on_event(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

impl Driver<'_> {
    fn on_event(&mut self, event: Event) {
        let now_ms = self.ctx.clock.now_ms();
        match event {
            Event::Submit { request, reply } => {
                self.refresh_config();
                self.decision_senders.insert(request.ticket, reply);
                let actions = self.dispatcher.on_submit(request, now_ms);
                self.perform(actions);
            }
            Event::Done { pool, upstream, interactive, outcome } => {
                let actions =
                    self.dispatcher.on_done(&pool, &upstream, interactive, outcome, now_ms);
                self.perform(actions);
            }
            Event::Cancel { ticket } => {
                self.dispatcher.on_cancel(ticket);
                self.decision_senders.remove(&ticket);
            }
            Event::Worker(view) => {
                self.dispatcher.workers().on_view(view, now_ms);
                let actions = self.dispatcher.grant_all(now_ms);
                self.perform(actions);
            }
            Event::Listed(listed) => {
                self.dispatcher.workers().on_list(&listed);
                self.dispatcher.plain_upstreams().on_list(&listed);
            }
            Event::Cells { cells, instances } => {
                self.leads = cells.iter().map(|c| (c.cell.clone(), c.lead.clone())).collect();
                self.dispatcher.cells().on_cells(cells, now_ms);
                self.dispatcher.on_instances(instances);
            }
            Event::Reply(reply) => {
                self.dispatcher.on_progress(&reply.cell, &reply.target, reply.progress, now_ms);
            }
            Event::Admitted { from, report } => {
                let totals = &report.totals;
                self.dispatcher.on_admitted(&from, report.incarnation, totals, now_ms);
            }
            Event::Status { reply } => {
                let (waiting, in_flight) = self.dispatcher.counts();
                let workers = self.dispatcher.workers().views().cloned().collect();
                // The admin API may have timed out.
                let _ = reply.try_send(DispatchStatus { waiting, in_flight, workers });
            }
        }
    }

    fn refresh_config(&mut self) {
        let config = self.ctx.config.current();
        if config.version != self.config_version {
            self.config_version = config.version;
            self.dispatcher.on_config(config);
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.refresh_config();
        let actions = self.dispatcher.on_tick(now_ms);
        self.perform(actions);
        if now_ms >= self.last_usage_report_ms + USAGE_REPORT_PERIOD_MS {
            self.last_usage_report_ms = now_ms;
            self.report_usage();
        }
        if now_ms >= self.last_exchange_ms + LIMIT_EXCHANGE_PERIOD_MS {
            self.last_exchange_ms = now_ms;
            self.exchange_limits(now_ms);
            let (waiting, _) = self.dispatcher.counts();
            self.ctx.metrics.requests_waiting.set(waiting as i64);
            let fill = self.ctx.dispatch_queue.len() as i64;
            self.ctx.metrics.ring_fill.with_label_values(&["dispatch"]).set(fill);
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant { ticket, choice, cold_wait_ms } => {
                    if let Some(wait_ms) = cold_wait_ms {
                        let seconds = wait_ms as f64 / 1000.0;
                        self.ctx.metrics.cold_wait_seconds.observe(seconds);
                    }
                    self.send_decision(ticket, Ok(choice));
                }
                Action::Refuse { ticket, refusal } => self.send_decision(ticket, Err(refusal)),
                Action::RequestColdStart(request) => self.send_cold_start_request(request),
            }
        }
    }

    fn send_decision(&mut self, ticket: u64, decision: Decision) {
        if let Some(reply) = self.decision_senders.remove(&ticket) {
            // Each request has its own channel with room for one decision.
            let _ = reply.try_send(decision);
        }
    }

    fn send_cold_start_request(&self, request: ColdStartRequest) {
        match self.leads.get(&request.cell) {
            Some(Some(Lead::Own)) => {
                let from = self.ctx.own.instance_id.clone();
                self.ctx.offer_placement_event(LeadEvent::ColdStartRequest {
                    from,
                    reply_addr: None,
                    request,
                });
            }
            Some(Some(Lead::Peer { peers_addr })) => {
                self.ctx.send_message(*peers_addr, Message::ColdStartRequest(request));
            }
            _ => {}
        }
    }

    /// Reports to the lead of each cell which of its targets this instance has used.
    fn report_usage(&mut self) {
        let usage = self.dispatcher.take_usage();
        if usage.is_empty() {
            return;
        }
        let views: Vec<WorkerView> = self.dispatcher.workers().views().cloned().collect();
        for (cell, lead) in self.leads.iter() {
            let cell_holds = |model: &String| {
                views.iter().filter(|v| v.cell == *cell).any(|v| holds_model(v, model))
            };
            let cell_usage: Vec<_> =
                usage.iter().filter(|u| cell_holds(&u.target.model)).cloned().collect();
            if cell_usage.is_empty() {
                continue;
            }
            let report = UsageReport { cell: cell.clone(), usage: cell_usage };
            match lead {
                Some(Lead::Own) => {
                    let from = self.ctx.own.instance_id.clone();
                    self.ctx.offer_placement_event(LeadEvent::UsageReport { from, report });
                }
                Some(Lead::Peer { peers_addr }) => {
                    self.ctx.send_message(*peers_addr, Message::UsageReport(report));
                }
                None => {}
            }
        }
    }

    fn exchange_limits(&mut self, now_ms: u64) {
        let totals = self.dispatcher.exchange_limits(now_ms);
        if totals.is_empty() {
            return;
        }
        let report = AdmittedReport { incarnation: self.ctx.own.incarnation, totals };
        let bytes = crate::wire::encode(&self.ctx.own.instance_id, Message::Admitted(report));
        let targets: Vec<SocketAddr> =
            self.ctx.members().alive(now_ms).map(|(_, m)| m.peers_addr).collect();
        for to in targets {
            self.ctx.send_bytes(to, &bytes);
        }
    }
}

fn holds_model(view: &WorkerView, model: &String) -> bool {
    view.resident.binary_search_by(|r| r.model.cmp(model)).is_ok()
}
