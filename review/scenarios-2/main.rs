//! The scenarios of the second review: each starts the project's program between stand-ins and checks one rule.
//!
//! Usage: scenarios NAME RECORD. `TROUBLE=0` leaves out the disruption. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the scenario could not run.

mod early_answer;
mod foreign_entries;
mod gateway;
mod http;
mod moved_streams;
mod preempted_streams;
mod record;
mod site;
mod store;
mod unframed_end;
mod worker;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// Result of a scenario.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// A scenario: writes to the record, with or without the disruption, and keeps its files in a folder.
type Scenario = fn(&Arc<Record>, bool, &Path) -> Verdict;

fn scenario(name: &str) -> Option<Scenario> {
    match name {
        "early-answer" => Some(early_answer::run),
        "foreign-entries" => Some(foreign_entries::run),
        "moved-streams" => Some(moved_streams::run),
        "preempted-streams" => Some(preempted_streams::run),
        "unframed-end" => Some(unframed_end::run),
        _ => None,
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: scenarios NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    record.line(&format!("scenario {name}, with the disruption: {trouble}"));
    let Some(scenario) = scenario(name) else {
        eprintln!("{name}: there is no such scenario");
        return ExitCode::from(2);
    };
    let folder = site::temporary_folder();
    let run = AssertUnwindSafe(|| scenario(&record, trouble, &folder));
    let verdict = catch_unwind(run).unwrap_or(Verdict::CouldNotRun);
    if let Err(error) = std::fs::remove_dir_all(&folder) {
        eprintln!("cannot remove the temporary folder: {error}");
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the scenario could not run", 2),
    };
    record.line(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
