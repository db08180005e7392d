//! How old an instance's knowledge is that its configuration is the newest one in the store.
//!
//! The knowledge is a moment: no configuration that was written before it is newer than the one in force. It
//! stays true when a newer configuration comes into force, and a restore of the store does not change what was
//! written before the moment. All times are boot times, since knowledge ages while a process is suspended.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::sync::delta::DocumentId;

#[cfg(test)]
mod tests;

/// Time before the limit at which knowledge no longer counts, in ms: differences between the clocks of two
/// machines over a few seconds and times that are cut to whole ms are far below it.
const MARGIN_MS: u64 = 50;
/// Time between questions to the instance whose reads this one relies on, in ms. With reads that wait for
/// 700 ms, knowledge is renewed before half of a limit of 5000 ms has passed.
const READER_PERIOD_MS: u64 = 900;
/// Time between questions to several peers while knowledge is not renewed, in ms.
const PEERS_PERIOD_MS: u64 = 250;
/// Most questions of which the time of sending is kept; those of 5 s at the highest rate fit.
const QUESTIONS_MAX: usize = 32;

/// The configuration in force at an instance, and the era of the store that it knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InForce {
    /// Number of times that the store has been restored from a copy.
    pub era: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the configuration. After a restore, another document may have the same version.
    pub document: DocumentId,
}

/// Message about the freshness of configurations.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FreshnessMessage {
    /// Asks for the receiver's knowledge.
    Question {
        /// Number of the question, unique among those of the sender's process.
        number: u64,
    },
    /// Answers a question.
    Answer(Answer),
}

/// Answer to a question.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Number of the question.
    pub number: u64,
    /// Configuration in force at the sender.
    pub in_force: InForce,
    /// Age of the sender's knowledge, in ms.
    pub age_ms: u64,
}

/// Where knowledge comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Own read of the store.
    Store,
    /// Answer of a peer.
    Peer,
}

impl Source {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// What an answer has led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerResult {
    /// The knowledge is renewed.
    Renewed,
    /// The knowledge of the sender is not newer than the own one.
    NotNewer,
    /// It answers no question that is known here.
    Unmatched,
    /// The sender knows of another era of the store.
    OtherEra,
    /// The sender has a newer configuration, or another one of the same version.
    OtherConfig,
}

impl AnswerResult {
    /// Returns the value of the metric's label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Renewed => "renewed",
            Self::NotNewer => "not_newer",
            Self::Unmatched => "unmatched",
            Self::OtherEra => "other_era",
            Self::OtherConfig => "other_config",
        }
    }
}

/// Whom to ask now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Nobody.
    Nobody,
    /// The instance whose reads this one relies on.
    Reader,
    /// That instance and several other peers.
    Peers,
}

/// Knowledge that the configuration in force is the newest one, and the questions by which it is renewed.
#[derive(Clone, Debug)]
pub struct Freshness {
    known: Option<(u64, Source)>,
    next_number: u64,
    // Numbers of the last questions and when they were sent, in order.
    questions: Vec<(u64, u64)>,
    asked_ms: Option<u64>,
    // Another configuration was found at a peer, so that the next question is due once it is in force.
    awaits_config: bool,
    ask_at_once: bool,
}

impl Freshness {
    /// Returns the state of an instance that knows nothing. `first_number` is a random number, so that answers
    /// to an earlier process at the same address match no question.
    pub fn new(first_number: u64) -> Self {
        Self {
            known: None,
            next_number: first_number,
            questions: Vec::new(),
            asked_ms: None,
            awaits_config: false,
            ask_at_once: false,
        }
    }

    /// Records a read of the store by this instance, sent at `sent_ms`, that returned nothing beyond what is
    /// applied here. The read may have waited for records, so it is only known to be newer than its start.
    pub fn on_read(&mut self, sent_ms: u64) {
        self.renew(sent_ms, Source::Store);
    }

    fn renew(&mut self, from_ms: u64, source: Source) -> bool {
        let is_newer = self.known.is_none_or(|(known_ms, _)| known_ms < from_ms);
        if is_newer {
            self.known = Some((from_ms, source));
        }
        is_newer
    }

    /// Returns the number of a question that is sent now.
    pub fn question(&mut self, now_ms: u64) -> u64 {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        if self.questions.len() >= QUESTIONS_MAX {
            self.questions.remove(0);
        }
        self.questions.push((number, now_ms));
        self.asked_ms = Some(now_ms);
        self.ask_at_once = false;
        number
    }

    /// Takes an answer to a question of this instance; `own` is what is in force here. The sender knew what it
    /// states at some moment after the question was sent, however late the answer arrives.
    pub fn on_answer(&mut self, answer: &Answer, own: &InForce) -> AnswerResult {
        let asked = self.questions.iter().find(|(number, _)| *number == answer.number);
        let Some((_, sent_ms)) = asked.copied() else { return AnswerResult::Unmatched };
        let theirs = &answer.in_force;
        if theirs.era != own.era {
            return AnswerResult::OtherEra;
        }
        let is_other = theirs.version == own.version && theirs.document != own.document;
        if theirs.version > own.version || is_other {
            self.awaits_config = true;
            return AnswerResult::OtherConfig;
        }
        let from_ms = sent_ms.checked_sub(answer.age_ms);
        match from_ms.is_some_and(|from_ms| self.renew(from_ms, Source::Peer)) {
            true => AnswerResult::Renewed,
            false => AnswerResult::NotNewer,
        }
    }

    /// Returns the answer to the question `number` of a peer; `None` if the own knowledge is too old.
    pub fn answer(
        &self,
        number: u64,
        in_force: InForce,
        revoke_ms: u64,
        now_ms: u64,
    ) -> Option<Answer> {
        let age_ms = self.age_ms(now_ms)?;
        self.is_valid(revoke_ms, now_ms).then_some(Answer { number, in_force, age_ms })
    }

    /// Records that another configuration has come into force; if one was found at a peer before, the next
    /// question is due at once.
    pub fn on_config(&mut self) {
        self.ask_at_once |= std::mem::take(&mut self.awaits_config);
    }

    /// Returns the age of the knowledge, in ms; `None` if there is none.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        // A moment in the future comes from a clock that could not be read; nothing is known then.
        self.known.and_then(|(from_ms, _)| now_ms.checked_sub(from_ms))
    }

    /// Returns where the knowledge comes from.
    pub fn source(&self) -> Option<Source> {
        self.known.map(|(_, source)| source)
    }

    /// Returns whether the configuration in force was the newest one at most `revoke_ms` ago.
    pub fn is_valid(&self, revoke_ms: u64, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms.saturating_add(MARGIN_MS) <= revoke_ms)
    }

    /// Returns whether half of `revoke_ms` has passed without renewal.
    pub fn is_overdue(&self, revoke_ms: u64, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= revoke_ms / 2)
    }

    /// Returns whom to ask now; `has_reader` tells whether this instance relies on the reads of another one.
    pub fn due(&self, revoke_ms: u64, has_reader: bool, now_ms: u64) -> Due {
        let is_overdue = self.is_overdue(revoke_ms, now_ms);
        let (whom, period_ms) = match (is_overdue, has_reader) {
            (true, _) => (Due::Peers, PEERS_PERIOD_MS),
            (false, true) => (Due::Reader, READER_PERIOD_MS.min(revoke_ms / 5)),
            (false, false) => return Due::Nobody,
        };
        let is_due = self.asked_ms.is_none_or(|asked_ms| now_ms >= asked_ms + period_ms);
        if is_due || self.ask_at_once { whom } else { Due::Nobody }
    }
}
