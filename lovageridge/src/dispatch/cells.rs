//! Choice of the cell in which a cold target is loaded.
//!
//! All routers use the same order of a service's cells for a target, so a burst at many routers
//! goes to one lead. A cell without capacity, or in an unreachable failure domain, is skipped.

use std::net::SocketAddr;

use crate::document::Target;
use crate::hashing;
use crate::sorted::Table;

/// Time for which a cell is skipped for a target after its lead reported no capacity, in ms.
const NO_CAPACITY_RETRY_MS: u64 = 1000;
/// Time for which a cell without a known lead stays eligible, in ms.
const LEAD_WAIT_MS: u64 = 2500;

/// An instance's view of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellView {
    /// Name of the cell.
    pub cell: String,
    /// Service that the cell's workers belong to.
    pub service: String,
    /// Failure domain of the cell.
    pub domain: String,
    /// Lead of the cell; `None` when no lead is known.
    pub lead: Option<Lead>,
    /// Whether any instance of the failure domain is considered alive.
    pub reachable: bool,
    /// Number of workers, without those that are shutting down.
    pub workers: usize,
}

/// The instance that leads a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lead {
    /// This instance.
    Own,
    /// Another instance of the venture.
    Peer {
        /// Address of its port for messages between instances.
        peers_addr: SocketAddr,
    },
}

/// Cells of all services, and which of them are skipped for now.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    own_domain: String,
    cells: Vec<CellView>,
    /// Time since which no lead of a cell has been known.
    leaderless_since_ms: Table<String, u64>,
    /// Time until which a cell is skipped for a target.
    no_capacity_until_ms: Table<(String, Target), u64>,
}

impl Cells {
    /// Creates an empty table for an instance in `own_domain`.
    pub fn new(own_domain: impl Into<String>) -> Self {
        Self { own_domain: own_domain.into(), ..Self::default() }
    }

    /// Replaces the view of the cells.
    pub fn on_cells(&mut self, cells: Vec<CellView>, now_ms: u64) {
        let has_lead = |name: &String| cells.iter().any(|c| c.cell == *name && c.lead.is_some());
        self.leaderless_since_ms.retain(|name, _| !has_lead(name));
        for cell in cells.iter().filter(|c| c.lead.is_none()) {
            self.leaderless_since_ms.get_or_insert_with(cell.cell.clone(), || now_ms);
        }
        self.cells = cells;
        self.no_capacity_until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Records that the lead of `cell` reported no capacity for `target`.
    pub fn on_no_capacity(&mut self, cell: &str, target: &Target, now_ms: u64) {
        self.no_capacity_until_ms
            .insert((cell.to_owned(), target.clone()), now_ms + NO_CAPACITY_RETRY_MS);
    }

    /// Returns the cell in which to load `target`; `None` when no cell of the service is eligible.
    ///
    /// When all eligible cells lack capacity, the first in order is returned.
    pub fn preferred_cell(&self, service: &str, target: &Target, now_ms: u64) -> Option<&CellView> {
        let mut candidates: Vec<&CellView> = self
            .cells
            .iter()
            .filter(|c| c.service == service && c.workers > 0 && self.is_eligible(c, now_ms))
            .collect();
        hashing::rendezvous_order(&target.model, &mut candidates, |c| &c.cell);
        let has_capacity =
            |c: &&CellView| !self.no_capacity_until_ms.contains(&(c.cell.clone(), target.clone()));
        candidates.iter().copied().find(|c| has_capacity(c)).or(candidates.first().copied())
    }

    /// Returns all cells.
    pub fn iter(&self) -> impl Iterator<Item = &CellView> {
        self.cells.iter()
    }

    fn is_eligible(&self, cell: &CellView, now_ms: u64) -> bool {
        if cell.domain != self.own_domain && !cell.reachable {
            return false;
        }
        let since_ms = self.leaderless_since_ms.get(&cell.cell);
        since_ms.is_none_or(|since_ms| now_ms < since_ms + LEAD_WAIT_MS)
    }
}
