//! Thread of the dispatch duty.

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

/// Events that wait for the dispatch duty.
pub const EVENT_QUEUE_CAPACITY: usize = 16_384;
/// Time between checks of deadlines, in ms.
const TICK_INTERVAL_MS: u64 = 10;
/// Time between reports of use, in ms.
const USAGE_REPORT_PERIOD_MS: u64 = 500;
/// Time between exchanges of admitted tokens, in ms.
const LIMIT_EXCHANGE_PERIOD_MS: u64 = 200;

/// What a request is told.
pub type Decision = Result<Choice, Refusal>;

/// An event for the dispatch duty.
pub enum Event {
    /// A request asks for an upstream.
    Submit {
        /// The request.
        request: DispatchRequest,
        /// Where the decision goes.
        reply: Sender<Decision>,
    },
    /// An upstream has ended a request.
    Done {
        /// What the request waited for.
        pool: PoolKey,
        /// Name of the upstream.
        upstream: String,
        /// Whether the request is interactive.
        interactive: bool,
        /// How it ended.
        outcome: UpstreamOutcome,
    },
    /// The caller of a waiting request has left.
    Cancel {
        /// Number of the request.
        ticket: u64,
    },
    /// A lead's report on a worker.
    Worker(WorkerView),
    /// The platform's list.
    Listed(Vec<ListedInstance>),
    /// The cells as this instance sees them.
    Cells {
        /// The cells.
        cells: Vec<CellView>,
        /// Number of living instances, this one included.
        instances: u64,
    },
    /// A lead's answer.
    Reply(ColdStartReply),
    /// What another instance has admitted.
    Admitted {
        /// The telling instance.
        from: String,
        /// What it tells.
        report: AdmittedReport,
    },
    /// The administration asks for the view of the workers.
    Status {
        /// Where the view goes.
        reply: Sender<DispatchStatus>,
    },
}

/// View of an instance, for the administration.
#[derive(Clone, Debug, serde::Serialize)]
pub struct DispatchStatus {
    /// Requests waiting for an upstream.
    pub waiting: usize,
    /// Requests at upstreams.
    pub in_flight: usize,
    /// Workers as last reported.
    pub workers: Vec<WorkerView>,
}

/// State of the dispatch thread.
struct Driver<'a> {
    ctx: &'a Context,
    dispatcher: Dispatcher,
    decision_senders: Table<u64, Sender<Decision>>,
    leads: Table<String, Option<Lead>>,
    config_version: u64,
    last_usage_report_ms: u64,
    last_exchange_ms: u64,
}

/// Runs the dispatch duty until the instance stops.
pub fn run(ctx: &Context, events: &Receiver<Event>) {
    let mut driver = Driver {
        ctx,
        dispatcher: Dispatcher::new(&ctx.own.domain, ctx.own.incarnation_hash()),
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
            Event::Submit { request: submit, reply } => {
                self.refresh_config();
                self.decision_senders.insert(submit.ticket, reply);
                let actions = self.dispatcher.on_submit(submit, now_ms);
                self.perform(actions);
            }
            Event::Done { pool, upstream, interactive, outcome: ended } => {
                let actions = self.dispatcher.on_done(&pool, &upstream, interactive, ended, now_ms);
                self.perform(actions);
            }
            Event::Cancel { ticket } => {
                self.dispatcher.on_cancel(ticket);
                self.decision_senders.remove(&ticket);
            }
            Event::Worker(view) => {
                self.dispatcher.replicas().on_view(view, now_ms);
                let actions = self.dispatcher.grant_all(now_ms);
                self.perform(actions);
            }
            Event::Listed(listed) => {
                self.dispatcher.replicas().on_list(&listed);
                self.dispatcher.plain_upstreams().on_list(&listed);
            }
            Event::Cells { cells: sights, instances } => {
                self.leads = sights.iter().map(|s| (s.cell.clone(), s.lead.clone())).collect();
                self.dispatcher.cells().on_cells(sights, now_ms);
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
                let workers = self.dispatcher.replicas().views().cloned().collect();
                // The administration may have given up waiting.
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
            let fill = self.ctx.dispatch.len() as i64;
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
                Action::RequestColdStart(ask) => self.send_cold_start_request(ask),
            }
        }
    }

    fn send_decision(&mut self, ticket: u64, decision: Decision) {
        if let Some(reply) = self.decision_senders.remove(&ticket) {
            // Each request waits on a ring of its own until it is told.
            let _ = reply.try_send(decision);
        }
    }

    fn send_cold_start_request(&self, ask: ColdStartRequest) {
        match self.leads.get(&ask.cell) {
            Some(Some(Lead::Own)) => {
                let from = self.ctx.own.instance_id.clone();
                self.ctx.offer_lead(LeadEvent::ColdStartRequest {
                    from,
                    reply_addr: None,
                    request: ask,
                });
            }
            Some(Some(Lead::Peer { peers_addr })) => {
                self.ctx.send(*peers_addr, Message::ColdStartRequest(ask));
            }
            _ => {}
        }
    }

    /// Tells the lead of each cell which of its targets this instance has used.
    fn report_usage(&mut self) {
        let usage = self.dispatcher.take_usage();
        if usage.is_empty() {
            return;
        }
        let views: Vec<WorkerView> = self.dispatcher.replicas().views().cloned().collect();
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
                    self.ctx.offer_lead(LeadEvent::UsageReport { from, report });
                }
                Some(Lead::Peer { peers_addr }) => {
                    self.ctx.send(*peers_addr, Message::UsageReport(report));
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
