//! Which cell a cold target is loaded in.
//!
//! All routers order the cells of a service alike for one target, so a burst at many routers asks
//! one lead. A cell that has no room, or whose failure domain is cut off, is passed over.

use std::net::SocketAddr;

use crate::document::Target;
use crate::hashing;
use crate::sorted::Table;

/// Time for which a cell without room is passed over, in ms.
const NO_CAPACITY_RETRY_MS: u64 = 1000;
/// Time for which a cell without a known lead is waited for, in ms.
const LEAD_WAIT_MS: u64 = 2500;

/// A cell as an instance sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellView {
    /// Name of the cell.
    pub cell: String,
    /// Service of the cell.
    pub service: String,
    /// Failure domain of the cell.
    pub domain: String,
    /// Lead of the cell.
    pub lead: Option<Lead>,
    /// Whether some instance of the failure domain is taken to live.
    pub reachable: bool,
    /// Number of workers that are not leaving.
    pub workers: usize,
}

/// Lead of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lead {
    /// This instance.
    Own,
    /// Another instance.
    Peer {
        /// Address of its peers port.
        peers_addr: SocketAddr,
    },
}

/// Cells of all services.
#[derive(Clone, Debug, Default)]
pub struct Cells {
    own_domain: String,
    cells: Vec<CellView>,
    leaderless_since_ms: Table<String, u64>,
    no_capacity_until_ms: Table<(String, Target), u64>,
}

impl Cells {
    /// Returns an empty view of an instance in `own_domain`.
    pub fn new(own_domain: impl Into<String>) -> Self {
        Self { own_domain: own_domain.into(), ..Self::default() }
    }

    /// Takes over a new view of the cells.
    pub fn on_cells(&mut self, cells: Vec<CellView>, now_ms: u64) {
        let has_lead = |name: &String| cells.iter().any(|c| c.cell == *name && c.lead.is_some());
        self.leaderless_since_ms.retain(|name, _| !has_lead(name));
        for cell in cells.iter().filter(|c| c.lead.is_none()) {
            self.leaderless_since_ms.get_or_insert_with(cell.cell.clone(), || now_ms);
        }
        self.cells = cells;
        self.no_capacity_until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Notes that `cell` has no room for `target`.
    pub fn on_no_capacity(&mut self, cell: &str, target: &Target, now_ms: u64) {
        self.no_capacity_until_ms
            .insert((cell.to_owned(), target.clone()), now_ms + NO_CAPACITY_RETRY_MS);
    }

    /// Returns the cell to ask for `target`, or `None` when no cell of the service can be asked.
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
        let since = self.leaderless_since_ms.get(&cell.cell);
        since.is_none_or(|since_ms| now_ms < since_ms + LEAD_WAIT_MS)
    }
}
