//! Parses INI text and reports every fault with its section and key.
//!
//! Settings and the venture's document use the same reader, so that their error messages agree.

use std::fmt;
use std::str::FromStr;

use ini::Ini;
use ini::ParseOption;
use ini::Properties;

/// Largest edit distance at which a known name is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// One fault in an INI text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Section that contains the fault; empty if it concerns the text as a whole.
    pub section: String,
    /// Key that is at fault; empty if the fault concerns the section as a whole.
    pub key: String,
    /// Description of what is wrong and what would be accepted.
    pub message: String,
}

impl Fault {
    /// Returns a fault of `key` in `section`.
    pub fn new(section: &str, key: &str, message: impl Into<String>) -> Self {
        Self { section: section.to_owned(), key: key.to_owned(), message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.section.is_empty(), self.key.is_empty()) {
            (true, true) => write!(f, "{}", self.message),
            (true, false) => write!(f, "{}: {}", self.key, self.message),
            (false, true) => write!(f, "[{}]: {}", self.section, self.message),
            (false, false) => write!(f, "[{}] {}: {}", self.section, self.key, self.message),
        }
    }
}

/// Returns the entry of `known` that is most similar to `name`, or `None` if all differ too much.
pub fn closest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|k| (strsim::damerau_levenshtein(name, k), k))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, k)| k)
}

/// Parses `text`; escape sequences and quotes have no special meaning.
///
/// # Errors
/// Returns a fault with the number of the first line that is not valid INI.
pub fn parse(text: &str) -> Result<Ini, Fault> {
    let options = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    Ini::load_from_str_opt(text, options)
        .map_err(|e| Fault::new("", "", format!("line {}: {}", e.line + 1, e.msg)))
}

/// Reads the keys of one section, collects faults, and remembers the known keys to detect unknown ones.
pub struct SectionReader<'a> {
    name: &'a str,
    properties: &'a Properties,
    known_keys: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> SectionReader<'a> {
    /// Starts reading `props`, the section called `name`.
    pub fn new(name: &'a str, properties: &'a Properties, faults: &'a mut Vec<Fault>) -> Self {
        Self { name, properties, known_keys: Vec::new(), faults }
    }

    /// Returns the trimmed value of `key`, or `None` if it is missing or empty.
    pub fn optional(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.push(key);
        self.properties.get(key).map(str::trim).filter(|value| !value.is_empty())
    }

    /// Returns the value of `key`; if it is missing, records a fault and returns an empty text.
    pub fn required(&mut self, key: &'static str) -> &'a str {
        match self.optional(key) {
            Some(value) => value,
            None => {
                self.add_fault(key, "is missing");
                ""
            }
        }
    }

    /// Returns the value of `key` as a number, or `default` if it is missing.
    ///
    /// A value that is no number in `min..=max` is recorded as a fault.
    pub fn number(&mut self, key: &'static str, default: u64, min: u64, max: u64) -> u64 {
        let Some(text) = self.optional(key) else { return default };
        match text.parse() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                self.add_fault(key, format!("'{text}' is not a whole number from {min} to {max}"));
                default
            }
        }
    }

    /// Returns the value of `key`, `yes` or `no`, as a boolean, or `default` if it is missing.
    ///
    /// Any other value is recorded as a fault.
    pub fn yes_or_no(&mut self, key: &'static str, default: bool) -> bool {
        match self.optional(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.add_fault(key, format!("'{other}' is neither yes nor no"));
                default
            }
        }
    }

    /// Returns the value of `key` parsed as `T`, or `None` if it is missing.
    ///
    /// If parsing fails, a fault is recorded that describes the format by `expected`.
    pub fn parsed<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        let text = self.optional(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.add_fault(key, format!("'{text}' is not {expected}"));
        }
        value
    }

    /// Returns the comma-separated items of `key`, without empty ones.
    pub fn comma_separated(&mut self, key: &'static str) -> Vec<String> {
        let text = self.optional(key).unwrap_or_default();
        text.split(',').map(str::trim).filter(|w| !w.is_empty()).map(str::to_owned).collect()
    }

    /// Records a fault of `key`.
    pub fn add_fault(&mut self, key: &str, message: impl Into<String>) {
        self.faults.push(Fault::new(self.name, key, message));
    }

    /// Finishes the section and records a fault for each key that was not read, as it is unknown.
    pub fn finish(self) {
        for (key, _) in self.properties.iter() {
            if self.known_keys.contains(&key) {
                continue;
            }
            let hint = match closest_name(key, self.known_keys.iter().copied()) {
                Some(name) => format!("unknown key; did you mean '{name}'?"),
                None => format!("unknown key; known are {}", self.known_keys.join(", ")),
            };
            self.faults.push(Fault::new(self.name, key, hint));
        }
    }
}
