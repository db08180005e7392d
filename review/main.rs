//! Scripts of the independent review. Each runs the project's own program as separate processes against
//! stand-ins on loopback addresses, and exits with 1 if a rule was broken, 0 if it held, 2 if it could not run.

mod batch_crash;
mod cut_stream;
mod extra_answer;
mod http;
mod newline_flood;
mod replaced_names;
mod site;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::site::EXIT_CANNOT_RUN;
use crate::site::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, ..] = arguments.as_slice() else {
        println!("usage: review-harness CASE FOLDER");
        return ExitCode::from(EXIT_CANNOT_RUN as u8);
    };
    if case == "crash-worker" {
        batch_crash::run_worker(&arguments[2..]);
        return ExitCode::SUCCESS;
    }
    if case == "stream-worker" {
        // A worker of the case `cut-stream`, which that starts with an id in place of a folder.
        cut_stream::run_worker(folder);
        return ExitCode::SUCCESS;
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::start(&PathBuf::from(folder));
    record
        .tell(format!("case {case}, {} disruption", if has_trouble { "with" } else { "without" }));
    let broken = match case.as_str() {
        "batch-crash" => batch_crash::run(&record, has_trouble),
        "cut-stream" => cut_stream::run(&record, has_trouble),
        "newline-flood" => newline_flood::run(&record, has_trouble),
        "extra-answer" => extra_answer::run(&record, has_trouble),
        "replaced-names" => replaced_names::run(&record, has_trouble),
        _ => {
            println!("cannot run: unknown case {case}");
            return ExitCode::from(EXIT_CANNOT_RUN as u8);
        }
    };
    record.tell(if broken { "RESULT: the rule was broken" } else { "RESULT: the rule held" });
    ExitCode::from(u8::from(broken))
}
