//! Folds the records of the `config` stream into the configuration in force.
//!
//! Every instance applies the same rules in offset order, so all accept the same edits. The log
//! has no conditional append: an edit names the section versions it is based on, and the first
//! edit on a base wins.

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

/// Verdicts kept for authors who ask again.
const MAX_VERDICTS: usize = 512;
/// Edits kept while the state that they rest on is not known.
const MAX_PENDING_EDITS: usize = 4096;

/// What became of an edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The edit is in force since this version.
    Accepted {
        /// Version of the document that holds the edit.
        version: u64,
    },
    /// A section has changed since the author read it.
    Conflict {
        /// Section that has changed.
        section: String,
        /// Its present version.
        current_version: u64,
    },
    /// The team does not own the section, or is unknown.
    Forbidden {
        /// Section that the team may not edit.
        section: String,
    },
    /// The document would not be valid.
    Invalid {
        /// Each fault as text.
        faults: Vec<String>,
    },
}

#[derive(Clone, Debug)]
struct Section {
    version: u64,
    body: String,
}

/// State of the configuration after a prefix of the stream.
#[derive(Debug)]
pub struct ConfigState {
    config: Arc<Config>,
    sections: Table<String, Section>,
    verdicts: VecDeque<(String, Verdict)>,
    next_offset: u64,
    /// Records before this offset were never read; `None` when there is no gap.
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

    /// Returns the first offset that has not been folded.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Tells whether the state rests on every record since the first one.
    pub fn is_complete(&self) -> bool {
        self.gap_end.is_none()
    }

    /// Returns the verdict on a recent edit.
    pub fn verdict(&self, edit_id: &str) -> Option<&Verdict> {
        self.verdicts.iter().rev().find(|(id, _)| id == edit_id).map(|(_, verdict)| verdict)
    }

    /// Returns the body and version of each section in order of name.
    pub fn sections(&self) -> impl Iterator<Item = (&str, u64, &str)> {
        self.sections.iter().map(|(name, s)| (name.as_str(), s.version, s.body.as_str()))
    }

    /// Notes that the log no longer holds the records before `first_offset`.
    ///
    /// A fold that had not read them keeps its state, but accepts no edit until a snapshot
    /// covers the gap.
    pub fn skip_to(&mut self, first_offset: u64) {
        if first_offset > self.next_offset {
            self.gap_end = Some(first_offset);
            self.next_offset = first_offset;
            self.pending.clear();
        }
    }

    /// Folds the record at `offset`; records already folded are passed over.
    ///
    /// Returns the verdict when the record is an edit that could be judged now.
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

    /// Takes over `snapshot` when it is newer than the own state, and judges what came after it.
    ///
    /// Returns whether the snapshot was taken over.
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

    /// Returns the state as a snapshot.
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

    /// Checks base versions and ownership; a document without teams takes its first edit as is.
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
