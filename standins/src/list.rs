//! Stand-in for the platform's lagging list of instances.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use lovageridge::context::lock;
use lovageridge::infra::list::ListedInstance;
use serde_json::json;

use crate::http;
use crate::http::HttpServer;

/// Time for which an outage holds a connection without an answer.
const OUTAGE_HOLD: Duration = Duration::from_millis(3000);

#[derive(Debug, Default)]
struct State {
    /// Lists with the times since which they hold, the oldest first.
    versions: Vec<(Instant, Vec<ListedInstance>)>,
    lag: Duration,
    down: bool,
}

/// A running list.
pub struct List {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl List {
    /// Starts an empty list whose changes show after `lag`.
    ///
    /// # Errors
    /// Returns why its port cannot be had.
    pub fn start(lag: Duration) -> Result<Self, anyhow::Error> {
        let state = Arc::new(Mutex::new(State { lag, ..State::default() }));
        let for_handler = Arc::clone(&state);
        let server = HttpServer::start(move |request| {
            if lock(&for_handler).down {
                return http::hold(request, OUTAGE_HOLD);
            }
            match http::path(&request) {
                "/instances" => {
                    let shown = shown(&lock(&for_handler));
                    http::json(request, 200, &shown);
                }
                _ => http::json(request, 404, &json!({ "error": "no such path" })),
            }
        })?;
        Ok(Self { server, state })
    }

    /// Returns the address of the list.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    /// Changes the list; readers see it after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut state = lock(&self.state);
        let mut newest = state.versions.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut newest);
        state.versions.push((Instant::now(), newest));
    }

    /// Makes the list stop answering, or answer again.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Stops the list.
    pub fn close(self) {
        self.server.close();
    }
}

fn shown(state: &State) -> Vec<ListedInstance> {
    let visible = state.versions.iter().rev().find(|(since, _)| since.elapsed() >= state.lag);
    visible.map(|(_, list)| list.clone()).unwrap_or_default()
}
