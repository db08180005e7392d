//! Stand-in for a model engine: memory, loads, batching slots, token streams, fencing.

pub mod generate;
pub mod memory;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use lovageridge::context::lock;
use lovageridge::upstream::engine::EngineState;
use lovageridge::upstream::engine::FencedOrder;
use lovageridge::upstream::engine::Order;
use lovageridge::upstream::engine::STATUS_FENCED;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::engine::memory::LoadStart;
use crate::engine::memory::Memory;
use crate::engine::memory::Truth;
use crate::http;
use crate::http::HttpServer;
use crate::store::Store;

/// Time for which a silent engine holds a connection.
const SILENT_HOLD: Duration = Duration::from_millis(6000);

/// What an engine is made of.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the worker.
    pub id: String,
    /// Memory for weights of each accelerator, in MB.
    pub accelerators_mb: Vec<u64>,
    /// Sequences batched at once.
    pub slots: usize,
    /// Time of one token, in ms.
    pub token_ms: u64,
    /// Host memory for copies of checkpoints, in MB.
    pub host_mb: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFaults {
    /// Orders take effect, but this many are not answered.
    pub lose_order_answers: u64,
    /// Orders take effect this much later, in ms.
    pub delay_orders_ms: u64,
    /// This many streams break after their third token.
    pub break_streams: u64,
    /// Streams stop without closing.
    pub silent_streams: bool,
    /// Loads fail.
    pub fail_loads: bool,
}

/// State shared by the handlers of an engine.
pub(crate) struct Shared {
    pub(crate) options: EngineOptions,
    pub(crate) memory: Mutex<Memory>,
    pub(crate) freed: Condvar,
    pub(crate) faults: Mutex<EngineFaults>,
    store: Arc<Store>,
}

/// A running engine.
pub struct Engine {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine that holds nothing.
    ///
    /// # Errors
    /// Returns why its port cannot be had.
    pub fn start(options: EngineOptions, store: Arc<Store>) -> Result<Self, anyhow::Error> {
        let memory = Memory::new(&options.accelerators_mb, options.host_mb);
        let shared = Arc::new(Shared {
            options,
            memory: Mutex::new(memory),
            freed: Condvar::new(),
            faults: Mutex::default(),
            store,
        });
        let for_handler = Arc::clone(&shared);
        let server = HttpServer::start(move |request| handle(&for_handler, request))?;
        Ok(Self { server, shared })
    }

    /// Returns the name of the worker.
    pub fn id(&self) -> &str {
        &self.shared.options.id
    }

    /// Returns the address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns what really happened.
    pub fn truth(&self) -> Truth {
        lock(&self.shared.memory).truth.clone()
    }

    /// Returns the state as a query would.
    pub fn state(&self) -> EngineState {
        state(&self.shared)
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Makes the engine tell that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.shared.memory).leaving = leaving;
    }

    /// Restarts the engine: everything held is gone, the fencing number too.
    pub fn restart(&self) {
        lock(&self.shared.memory).restart();
        self.shared.freed.notify_all();
    }

    /// Stops the engine.
    pub fn close(self) {
        self.server.close();
    }
}

fn handle(shared: &Arc<Shared>, request: Request) {
    let path = http::path(&request).to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/state") => http::json(request, 200, &state(shared)),
        (Method::Get, "/truth") => {
            let truth = lock(&shared.memory).truth.clone();
            http::json(request, 200, &truth);
        }
        (Method::Post, "/orders") => order(shared, request),
        (Method::Post, "/generate") => generate::handle(shared, request),
        _ => http::json(request, 404, &json!({ "error": "no such path" })),
    }
}

fn state(shared: &Shared) -> EngineState {
    let memory = lock(&shared.memory);
    EngineState {
        fence: memory.fence,
        leaving: memory.leaving,
        accelerators_mb: shared.options.accelerators_mb.clone(),
        held: memory.held(),
        slots: shared.options.slots as u64,
        load: memory.load(),
        cached: memory.cached(),
    }
}

fn order(shared: &Arc<Shared>, mut request: Request) {
    let text = http::body_text(&mut request);
    let Ok(order) = serde_json::from_str::<FencedOrder>(&text) else {
        return http::json(request, 400, &json!({ "error": "malformed order" }));
    };
    let (delay_ms, lose) = {
        let mut faults = lock(&shared.faults);
        let lose = faults.lose_order_answers > 0 && order.order != Order::Fence;
        if lose {
            faults.lose_order_answers -= 1;
        }
        (faults.delay_orders_ms, lose)
    };
    thread::sleep(Duration::from_millis(delay_ms));
    let status_code = carry_out(shared, &order);
    if lose {
        return http::hold(request, SILENT_HOLD);
    }
    http::json(request, status_code, &state(shared));
}

fn carry_out(shared: &Arc<Shared>, order: &FencedOrder) -> u16 {
    let mut memory = lock(&shared.memory);
    if shared.options.checks_fencing && order.fence < memory.fence {
        memory.truth.fenced_orders += 1;
        return STATUS_FENCED;
    }
    memory.fence = memory.fence.max(order.fence);
    match &order.order {
        Order::Fence => 200,
        Order::Load { model, size_mb, accelerators } => {
            let started = memory.start_load(model, None, *size_mb, accelerators);
            start(shared, started, model.clone(), None, *size_mb)
        }
        Order::LoadAdapter { adapter, model, size_mb } => {
            let accelerators = memory.accelerators_of(model);
            let started = memory.start_load(model, Some(adapter), *size_mb, &accelerators);
            start(shared, started, model.clone(), Some(adapter.clone()), *size_mb)
        }
        Order::Unload { model } => memory.start_unload(model, None),
        Order::UnloadAdapter { adapter } => {
            let model = memory.model_of(adapter);
            memory.start_unload(&model, Some(adapter))
        }
    }
}

fn start(
    shared: &Arc<Shared>,
    started: LoadStart,
    model: String,
    adapter: Option<String>,
    size_mb: u64,
) -> u16 {
    let (generation, local) = match started {
        LoadStart::Started { generation, local } => (generation, local),
        LoadStart::Held => return 200,
        LoadStart::Refused => return 409,
    };
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        let gone = || lock(&shared.memory).generation != generation;
        let finished = match &adapter {
            None if local => {
                shared.store.reload(size_mb);
                true
            }
            None => shared.store.load(size_mb, gone),
            Some(_) => {
                shared.store.load_adapter();
                true
            }
        };
        let failed = !finished || lock(&shared.faults).fail_loads;
        let mut memory = lock(&shared.memory);
        if memory.generation == generation {
            memory.end_load(&model, adapter.as_deref(), failed);
        }
        drop(memory);
        shared.freed.notify_all();
    });
    200
}
