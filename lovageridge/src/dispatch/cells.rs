//! Which cell a cold target is loaded in.
//!
//! All routers order the cells of a service alike for one target, so a burst at many routers asks
//! one lead. A cell that has no room, or whose failure domain is cut off, is passed over.

use std::net::SocketAddr;

use crate::document::Target;
use crate::hashing;
use crate::sorted::Table;

/// Time for which a cell without room is passed over, in ms.
const NO_ROOM_MS: u64 = 1000;
/// Time for which a cell without a known lead is waited for, in ms.
const LEADERLESS_MS: u64 = 2500;

/// A cell as an instance sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellSight {
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
    cells: Vec<CellSight>,
    leaderless_since: Table<String, u64>,
    no_room_until: Table<(String, Target), u64>,
}

impl Cells {
    /// Returns an empty view of an instance in `own_domain`.
    pub fn new(own_domain: impl Into<String>) -> Self {
        Self { own_domain: own_domain.into(), ..Self::default() }
    }

    /// Takes over a new view of the cells.
    pub fn on_cells(&mut self, cells: Vec<CellSight>, now_ms: u64) {
        let led = |name: &String| cells.iter().any(|c| c.cell == *name && c.lead.is_some());
        self.leaderless_since.retain(|name, _| !led(name));
        for cell in cells.iter().filter(|c| c.lead.is_none()) {
            self.leaderless_since.get_or_insert_with(cell.cell.clone(), || now_ms);
        }
        self.cells = cells;
        self.no_room_until.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Notes that `cell` has no room for `target`.
    pub fn on_no_room(&mut self, cell: &str, target: &Target, now_ms: u64) {
        self.no_room_until.insert((cell.to_owned(), target.clone()), now_ms + NO_ROOM_MS);
    }

    /// Returns the cell to ask for `target`, or `None` when no cell of the service can be asked.
    pub fn home(&self, service: &str, target: &Target, now_ms: u64) -> Option<&CellSight> {
        let mut cells: Vec<&CellSight> = self
            .cells
            .iter()
            .filter(|c| c.service == service && c.workers > 0 && self.may_ask(c, now_ms))
            .collect();
        hashing::rendezvous_order(&target.model, &mut cells, |c| &c.cell);
        let roomy =
            |c: &&CellSight| !self.no_room_until.contains(&(c.cell.clone(), target.clone()));
        cells.iter().copied().find(|c| roomy(c)).or(cells.first().copied())
    }

    /// Returns all cells.
    pub fn iter(&self) -> impl Iterator<Item = &CellSight> {
        self.cells.iter()
    }

    fn may_ask(&self, cell: &CellSight, now_ms: u64) -> bool {
        if cell.domain != self.own_domain && !cell.reachable {
            return false;
        }
        let since = self.leaderless_since.get(&cell.cell);
        since.is_none_or(|since_ms| now_ms < since_ms + LEADERLESS_MS)
    }
}
