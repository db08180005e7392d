//! Leadership of cells: claims through the log, epochs and leases.
//!
//! A cell is a part of a service's upstreams in one failure domain. Its lead is the only instance
//! that orders loads there. A claim is a record of the `cells` log stream. It is accepted if it
//! names the current epoch, and the offset of the accepted record determines the new epoch.

pub mod claimant;
pub mod lead_table;
#[cfg(test)]
mod tests;

use crate::document::Config;
use crate::document::ServiceKind;
use crate::hashing;
use crate::infra::list::ListedInstance;

/// Returns the name of a cell, `service/domain/index`.
pub fn cell_name(service: &str, domain: &str, index: u64) -> String {
    format!("{service}/{domain}/{index}")
}

/// Returns the cell of `upstream`, or `None` when its service has no engines.
///
/// The cell depends only on names and the configuration, so instances with different lists agree
/// on it.
pub fn cell_of(config: &Config, upstream: &ListedInstance) -> Option<String> {
    let service = config.services.get(&upstream.service)?;
    if service.kind != ServiceKind::Engine {
        return None;
    }
    let index = hashing::stable_hash(&["cell", &upstream.id]) % service.cells_per_domain;
    Some(cell_name(&upstream.service, &upstream.domain, index))
}

/// Returns the parts of a cell's name: service, domain, index.
pub fn cell_parts(cell: &str) -> Option<(&str, &str, u64)> {
    let (rest, index) = cell.rsplit_once('/')?;
    let (service, domain) = rest.rsplit_once('/')?;
    Some((service, domain, index.parse().ok()?))
}

/// Returns all cells of the listed upstreams' services and domains, in order of name.
pub fn cells_of(config: &Config, upstreams: &[ListedInstance]) -> Vec<String> {
    let mut domains: Vec<(&str, &str)> =
        upstreams.iter().map(|l| (l.service.as_str(), l.domain.as_str())).collect();
    domains.sort_unstable();
    domains.dedup();
    let mut cells = Vec::new();
    for (name, domain) in domains {
        let Some(service) = config.services.get(name) else { continue };
        if service.kind == ServiceKind::Engine {
            cells.extend((0..service.cells_per_domain).map(|at| cell_name(name, domain, at)));
        }
    }
    cells.sort_unstable();
    cells
}

/// Returns whether the engines of `cell` refuse orders with an old fencing number.
pub fn checks_fencing(config: &Config, cell: &str) -> bool {
    let service = cell_parts(cell).and_then(|p| config.services.get(p.0));
    service.is_some_and(|s| s.checks_fencing)
}
