//! Reading and editing of sections.

use std::time::Duration;

use log::info;

use crate::admin::api::EditReply;
use crate::admin::api::EditRequest;
use crate::admin::api::HistoryEntry;
use crate::admin::api::SectionView;
use crate::admin::api::Sections;
use crate::clock::unix_ms;
use crate::config::record::Edit;
use crate::config::record::Record;
use crate::config::record::STREAM;
use crate::context::Context;
use crate::infra;
use crate::telemetry::events;

/// Longest wait for the verdict on an edit.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(5000);
/// Maximum length of an edit's identifier, in bytes.
const EDIT_ID_MAX_BYTES: usize = 128;
/// Maximum number of sections that one edit changes.
const CHANGES_MAX: usize = 20_000;

/// Returns the sections whose names start with `prefix`.
pub fn sections(ctx: &Context, prefix: &str) -> Sections {
    let state = ctx.config.lock();
    let sections = state
        .sections()
        .filter(|(name, ..)| name.starts_with(prefix))
        .map(|(name, version, body)| SectionView {
            section: name.to_owned(),
            version,
            body: body.to_owned(),
        })
        .collect();
    Sections { version: state.config().version, sections }
}

/// Returns the section called `name`.
pub fn section(ctx: &Context, name: &str) -> Option<SectionView> {
    sections(ctx, name).sections.into_iter().find(|s| s.section == name)
}

/// Checks the length of the identifier and the number of changes.
///
/// # Errors
/// Returns a message for the client that names the exceeded limit.
pub fn check_limits(edit: &EditRequest) -> Result<(), String> {
    if edit.edit_id.is_empty() || edit.edit_id.len() > EDIT_ID_MAX_BYTES {
        return Err(format!("edit_id must have 1 to {EDIT_ID_MAX_BYTES} bytes"));
    }
    if edit.changes.is_empty() || edit.changes.len() > CHANGES_MAX {
        return Err(format!("an edit must have 1 to {CHANGES_MAX} changes"));
    }
    Ok(())
}

/// Appends an edit of `team` to the log and waits for the verdict.
///
/// When the log's response to the append is lost, the edit may still be in the log; the verdict
/// shows whether it took effect.
pub fn submit(ctx: &Context, team: &str, request: EditRequest) -> EditReply {
    let edit_id = request.edit_id.clone();
    if let Some(verdict) = ctx.config.lock().verdict(&edit_id) {
        return verdict.clone().into();
    }
    let edit = Edit {
        edit_id: request.edit_id,
        team: team.to_owned(),
        changes: request.changes.into_iter().map(Into::into).collect(),
        written_unix_ms: unix_ms(),
    };
    let appended = ctx.log.append(STREAM, &Record::Edit(edit));
    let label = if appended.is_ok() { "ok" } else { "failed" };
    ctx.metrics.log_appends_total.with_label_values(&[STREAM, label]).inc();
    let detail = format!("team={team} edit={edit_id} appended={label}");
    info!("{}", events::EDIT_APPENDED.text(&ctx.own.instance_id, &detail));
    if matches!(appended, Err(infra::Error::Status { .. })) {
        return EditReply::Unconfirmed;
    }
    match ctx.config.wait_for_verdict(&edit_id, VERDICT_TIMEOUT) {
        Some(verdict) => verdict.into(),
        None => EditReply::Unconfirmed,
    }
}

/// Returns the edits still in the log that change a section whose name starts with `prefix`.
///
/// Each carries its verdict as long as that is kept.
///
/// # Errors
/// Returns why the log could not be read.
pub fn history(ctx: &Context, prefix: &str) -> Result<Vec<HistoryEntry>, infra::Error> {
    let page = ctx.log.read(STREAM, 0, 0)?;
    let state = ctx.config.lock();
    let entries = page.records.iter().filter_map(|entry| {
        let Record::Edit(edit) = entry.decode()? else { return None };
        let matches_prefix = edit.changes.iter().any(|c| c.section.starts_with(prefix));
        matches_prefix.then(|| HistoryEntry {
            offset: entry.offset,
            result: state.verdict(&edit.edit_id).cloned().map(Into::into),
            edit_id: edit.edit_id,
            team: edit.team,
            written_unix_ms: edit.written_unix_ms,
            changes: edit.changes.into_iter().map(Into::into).collect(),
        })
    });
    Ok(entries.collect())
}
