//! Status of an instance, as shown by its administration port.

use std::time::Duration;

use serde::Serialize;

use crate::context::Context;
use crate::dispatch::driver::DispatchStatus;
use crate::dispatch::driver::Event as DispatchEvent;
use crate::placement::event::Event as LeadEvent;
use crate::placement::status::CellStatus;

/// Longest wait for the response of an I/O driver.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Status of an instance, written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance_id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Whether the instance takes requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Time since the list of instances was last read, in ms; `None` before the first read.
    pub list_age_ms: Option<u64>,
    /// Other instances.
    pub members: Vec<MemberStatus>,
    /// Cells that the instance leads.
    pub cells: Vec<CellStatus>,
    /// Queues and the known state of the workers; `None` when the driver did not respond in time.
    pub dispatch: Option<DispatchStatus>,
}

/// Another instance as this one sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Name of the instance.
    pub instance_id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Whether it is considered alive.
    pub alive: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Version of the configuration that it reports.
    pub config_version: u64,
    /// Cells that it leads, with their epochs.
    pub leads: Vec<String>,
}

/// Returns whether the instance takes requests.
pub fn is_ready(ctx: &Context) -> bool {
    !ctx.is_leaving() && ctx.config.current().version > 0
}

/// Collects the status of the instance.
pub fn collect(ctx: &Context) -> Status {
    let now_ms = ctx.clock.now_ms();
    let (members, list_age_ms) = {
        let view = ctx.members();
        let members = view
            .all()
            .map(|(id, member)| MemberStatus {
                instance_id: id.clone(),
                domain: member.domain.clone(),
                alive: view.is_alive(id, now_ms),
                leaving: member.leaving,
                config_version: member.config_version,
                leads: member.leads.iter().map(|l| format!("{} {}", l.cell, l.epoch)).collect(),
            })
            .collect();
        (members, view.list_read_ms().map(|at| now_ms - at.min(now_ms)))
    };
    Status {
        instance_id: ctx.own.instance_id.clone(),
        domain: ctx.own.domain.clone(),
        config_version: ctx.config.current().version,
        ready: is_ready(ctx),
        leaving: ctx.is_leaving(),
        list_age_ms,
        members,
        cells: cells(ctx),
        dispatch: dispatch(ctx),
    }
}

/// Returns the cells that the instance leads; none when the driver does not respond in time.
pub fn cells(ctx: &Context) -> Vec<CellStatus> {
    let (reply, response) = flume::bounded(1);
    ctx.offer_placement_event(LeadEvent::Status { reply });
    response.recv_timeout(DRIVER_TIMEOUT).unwrap_or_default()
}

/// Returns the queues and the known state of the workers, `None` when the driver does not respond
/// in time.
pub fn dispatch(ctx: &Context) -> Option<DispatchStatus> {
    let (reply, response) = flume::bounded(1);
    ctx.offer_dispatch_event(DispatchEvent::Status { reply });
    response.recv_timeout(DRIVER_TIMEOUT).ok()
}
