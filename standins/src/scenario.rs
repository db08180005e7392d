//! Runs scenarios: `rhai` scripts, one a file, that bring about failures and check the truth.
//!
//! `docs/SCENARIOS.md` lists the functions that scripts may call.

pub mod load;
pub mod verbs;

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use anyhow::Context as _;
use anyhow::anyhow;
use lovageridge::context::lock;
use rhai::Dynamic;
use rhai::Engine;
use rhai::Scope;

use crate::world::World;

/// Length of the log's outage unless `LOVAGERIDGE_OUTAGE_MS` names another one, in ms.
const DEFAULT_OUTAGE_MS: u64 = 2500;
/// Most operations of a script.
const MAX_OPERATIONS: u64 = 10_000_000;

/// The venture of a running scenario, as scripts hold it.
#[derive(Clone)]
pub struct Handle {
    pub(crate) world: Arc<Mutex<Option<World>>>,
    pub(crate) report: Arc<Mutex<Report>>,
}

/// What a scenario has checked and measured.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Checks that held.
    pub passed: Vec<String>,
    /// Checks that did not hold.
    pub failed: Vec<String>,
    /// Figures.
    pub figures: Vec<String>,
}

/// Runs the script in `file` against `binary`; `variant` is the constant `FENCING` in the script.
///
/// # Errors
/// Returns the failed checks, or why the script ended early, with the logs of the entries.
pub fn run(binary: &Path, file: &Path, fencing: bool) -> Result<Report, anyhow::Error> {
    let text =
        std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    let handle = Handle { world: Arc::default(), report: Arc::default() };
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_expr_depths(128, 64);
    verbs::register(&mut engine, &handle, PathBuf::from(binary));
    let mut scope = Scope::new();
    scope.push_constant("FENCING", fencing);
    scope.push_constant("OUTAGE_MS", outage_ms() as i64);
    let result = engine.run_with_scope(&mut scope, &text);
    let world = lock(&handle.world).take();
    let report = lock(&handle.report).clone();
    let logs = world.as_ref().map(World::entry_logs).unwrap_or_default();
    let closed = world.map_or(Ok(()), World::close);
    let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    if let Err(error) = result {
        return Err(anyhow!("{name} (fencing {fencing}): {error}\n{report:#?}\n{logs}"));
    }
    if !report.failed.is_empty() {
        return Err(anyhow!("{name} (fencing {fencing}): {:#?}\n{logs}", report));
    }
    closed.with_context(|| format!("{name} (fencing {fencing})\n{logs}"))?;
    if report.passed.is_empty() {
        return Err(anyhow!("{name} checks nothing"));
    }
    Ok(report)
}

/// Returns the length of the log's outage that scripts bring about, in ms.
fn outage_ms() -> u64 {
    let text = std::env::var("LOVAGERIDGE_OUTAGE_MS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_OUTAGE_MS)
}

/// Returns a number that a script gave under `key`, or `default`.
pub(crate) fn number(map: &rhai::Map, key: &str, default: u64) -> u64 {
    map.get(key).and_then(|v| v.as_int().ok()).map_or(default, |v| v.max(0) as u64)
}

/// Returns a text that a script gave under `key`, or `default`.
pub(crate) fn text(map: &rhai::Map, key: &str, default: &str) -> String {
    let found = map.get(key).and_then(|v| v.clone().into_string().ok());
    found.unwrap_or_else(|| default.to_owned())
}

/// Returns a truth value that a script gave under `key`, or `default`.
pub(crate) fn flag(map: &rhai::Map, key: &str, default: bool) -> bool {
    map.get(key).and_then(|v| v.as_bool().ok()).unwrap_or(default)
}

/// Returns a number for a script.
pub(crate) fn int(value: u64) -> Dynamic {
    Dynamic::from_int(value as i64)
}
