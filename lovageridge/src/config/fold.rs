//! Applies the records of the `config` stream, which gives the configuration in force.
//!
//! Every instance applies the same rules in offset order, so all accept the same edits. The log
//! has no conditional append. An edit therefore names the section versions that it is based on,
//! and of several edits based on one version only the first in the log is accepted.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::config::record::Edit;
use crate::config::record::Record;
use crate::config::record::SectionState;
use crate::config::record::Snapshot;
use crate::document::Config;
use crate::document::parse;
use crate::sorted::Table;

/// Verdicts kept, so that an edit that is sent again gets the verdict on the first one.
const MAX_VERDICTS: usize = 512;
/// Edits kept while the state that they are based on is unknown.
const MAX_PENDING_EDITS: usize = 4096;

/// Whether an edit was accepted, or why it was rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The edit is in force from this version on.
    Accepted {
        /// Version of the document that holds the edit.
        version: u64,
    },
    /// A section has changed since the author read it.
    Conflict {
        /// Section that has changed.
        section: String,
        /// Current version of the section.
        current_version: u64,
    },
    /// The team does not own the section, or is unknown.
    Forbidden {
        /// Section that the team may not edit.
        section: String,
    },
    /// The document would not be valid.
    Invalid {
        /// Description of each fault.
        faults: Vec<String>,
    },
}

#[derive(Clone, Debug)]
struct Section {
    version: u64,
    body: String,
}

/// State of the configuration after the records that were applied so far.
#[derive(Debug)]
pub struct ConfigState {
    config: Arc<Config>,
    sections: Table<String, Section>,
    verdicts: VecDeque<(String, Verdict)>,
    next_offset: u64,
    /// Offset before which records are missing; `None` when none are.
    gap_end: Option<u64>,
    pending: VecDeque<(u64, Edit)>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            config: Arc::new(Config::empty()),
            sections: Table::new(),
            verdicts: VecDeque::new(),
            next_offset: 0,
            gap_end: None,
            pending: VecDeque::new(),
        }
    }
}

impl ConfigState {
    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the offset after the last record that was applied.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether the state includes every record of the stream up to `next_offset`.
    pub fn is_complete(&self) -> bool {
        self.gap_end.is_none()
    }

    /// Returns the verdict on an edit, `None` when it is unknown or no longer kept.
    pub fn verdict(&self, edit_id: &str) -> Option<&Verdict> {
        self.verdicts.iter().rev().find(|(id, _)| id == edit_id).map(|(_, verdict)| verdict)
    }

    /// Returns the name, version and body of each section in order of name.
    pub fn sections(&self) -> impl Iterator<Item = (&str, u64, &str)> {
        self.sections.iter().map(|(name, s)| (name.as_str(), s.version, s.body.as_str()))
    }

    /// Records that the log no longer holds the records before `first_offset`.
    ///
    /// When some of them were not applied, the state is kept, but no edit is accepted until a
    /// snapshot includes the missing records.
    pub fn skip_to(&mut self, first_offset: u64) {
        if first_offset > self.next_offset {
            self.gap_end = Some(first_offset);
            self.next_offset = first_offset;
            self.pending.clear();
        }
    }

    /// Applies the record at `offset`; a record that was applied before is ignored.
    ///
    /// Returns the verdict when the record is an edit and the state is complete.
    pub fn apply(&mut self, offset: u64, record: Record) -> Option<Verdict> {
        if offset < self.next_offset {
            return None;
        }
        self.skip_to(offset);
        self.next_offset = offset + 1;
        match record {
            Record::Edit(edit) if self.is_complete() => Some(self.evaluate(offset, edit)),
            Record::Edit(edit) => {
                self.defer_edit(offset, edit);
                None
            }
            Record::Checkpoint(snapshot) => {
                self.install_snapshot(snapshot);
                None
            }
        }
    }

    /// Installs `snapshot` when it is newer than the state, or of the same version and includes the
    /// missing records.
    ///
    /// When no records are missing any more, the pending edits that follow the snapshot are
    /// evaluated. Returns whether the snapshot was installed.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let closes_gap = self.gap_end.is_some_and(|end| snapshot.next_offset >= end);
        let newer = snapshot.version > self.config.version;
        let completes = closes_gap && snapshot.version == self.config.version;
        if !newer && !completes {
            return false;
        }
        let Ok(config) = parse_snapshot(&snapshot) else { return false };
        self.replace_state(config, &snapshot);
        if self.is_complete() || closes_gap {
            self.next_offset = self.next_offset.max(snapshot.next_offset);
        }
        if closes_gap {
            self.gap_end = None;
            self.evaluate_pending(snapshot.next_offset);
        }
        true
    }

    /// Returns the state in the form in which other instances install it.
    pub fn snapshot(&self) -> Snapshot {
        let state = |(name, s): (&String, &Section)| SectionState {
            section: name.clone(),
            version: s.version,
            body: s.body.clone(),
        };
        Snapshot {
            version: self.config.version,
            next_offset: if self.is_complete() { self.next_offset } else { self.config.version },
            sections: self.sections.iter().map(state).collect(),
            verdicts: self.verdicts.iter().cloned().collect(),
        }
    }

    fn replace_state(&mut self, config: Config, snapshot: &Snapshot) {
        self.config = Arc::new(config);
        self.sections = snapshot
            .sections
            .iter()
            .map(|s| (s.section.clone(), Section { version: s.version, body: s.body.clone() }))
            .collect();
        self.verdicts = snapshot.verdicts.iter().cloned().collect();
    }

    fn defer_edit(&mut self, offset: u64, edit: Edit) {
        if self.pending.len() == MAX_PENDING_EDITS
            && let Some((dropped_offset, _)) = self.pending.pop_front()
        {
            self.gap_end = Some(dropped_offset + 1);
        }
        self.pending.push_back((offset, edit));
    }

    fn evaluate_pending(&mut self, from_offset: u64) {
        for (offset, edit) in std::mem::take(&mut self.pending) {
            if offset >= from_offset {
                self.evaluate(offset, edit);
            }
        }
    }

    fn evaluate(&mut self, offset: u64, edit: Edit) -> Verdict {
        if let Some(verdict) = self.verdict(&edit.edit_id) {
            return verdict.clone();
        }
        let verdict = match self.check(&edit) {
            Err(verdict) => verdict,
            Ok(()) => self.apply_edit(offset + 1, &edit),
        };
        if self.verdicts.len() == MAX_VERDICTS {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((edit.edit_id, verdict.clone()));
        verdict
    }

    /// Checks base versions and ownership. Without teams there is no ownership to check, so that
    /// the first edit can create them.
    fn check(&self, edit: &Edit) -> Result<(), Verdict> {
        let no_teams = self.config.teams.is_empty();
        for change in &edit.changes {
            let author = self.config.teams.get(&edit.team);
            if !no_teams && !author.is_some_and(|team| team.owns(&change.section)) {
                return Err(Verdict::Forbidden { section: change.section.clone() });
            }
            let current_version = self.sections.get(&change.section).map_or(0, |s| s.version);
            if current_version != change.base_version {
                let section = change.section.clone();
                return Err(Verdict::Conflict { section, current_version });
            }
        }
        Ok(())
    }

    fn apply_edit(&mut self, version: u64, edit: &Edit) -> Verdict {
        let mut sections = self.sections.clone();
        for change in &edit.changes {
            match &change.body {
                Some(body) => {
                    sections
                        .insert(change.section.clone(), Section { version, body: body.clone() });
                }
                None => drop(sections.remove(&change.section)),
            }
        }
        let bodies = sections.iter().map(|(name, s)| (name.as_str(), s.body.as_str()));
        let mut result = parse::read(version, bodies);
        if let Ok(config) = &result
            && config.teams.is_empty()
        {
            result = Err(vec![crate::ini::Fault::new("", "", "at least one team must remain")]);
        }
        match result {
            Ok(config) => {
                self.config = Arc::new(config);
                self.sections = sections;
                Verdict::Accepted { version }
            }
            Err(faults) => {
                Verdict::Invalid { faults: faults.iter().map(ToString::to_string).collect() }
            }
        }
    }
}

fn parse_snapshot(snapshot: &Snapshot) -> Result<Config, Vec<crate::ini::Fault>> {
    let bodies = snapshot.sections.iter().map(|s| (s.section.as_str(), s.body.as_str()));
    parse::read(snapshot.version, bodies)
}
