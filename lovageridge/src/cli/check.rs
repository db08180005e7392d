//! `lovageridge check`: prints every fault of settings or of a document.

use anyhow::Context as _;

use crate::cli::EXIT_INVALID;
use crate::cli::EXIT_USAGE;
use crate::cli::Exit;
use crate::cli::configuration;
use crate::cli::options::CheckOptions;
use crate::document::parse;
use crate::ini::Fault;
use crate::platform;
use crate::settings::Settings;

/// Checks the files that the arguments name.
///
/// # Errors
/// Returns the number of faults; the faults themselves are printed.
pub fn run(options: &CheckOptions) -> Result<(), Exit> {
    let files = [&options.settings, &options.document, &options.platform_settings];
    if let Some(file) = &options.configuration {
        if files.iter().any(|file| file.is_some()) || options.json {
            let message = "--configuration goes only with --against and --strict";
            return Err(Exit::new(EXIT_USAGE, message));
        }
        return configuration::run(file, options.against.as_deref(), options.strict);
    }
    if options.against.is_some() || options.strict {
        return Err(Exit::new(EXIT_USAGE, "--against and --strict need --configuration"));
    }
    if files.iter().all(|file| file.is_none()) {
        let message = "name --settings, --document, --platform-settings or --configuration";
        return Err(Exit::new(EXIT_USAGE, message));
    }
    let mut faults: Vec<(String, Fault)> = Vec::new();
    if let Some(file) = &options.settings {
        let result = Settings::parse(&read(file)?).map(drop);
        add_faults(&mut faults, file, result);
    }
    if let Some(file) = &options.document {
        add_faults(&mut faults, file, check_document(&read(file)?));
    }
    if let Some(file) = &options.platform_settings {
        let result = platform::settings::parse(&read(file)?).map(drop);
        let result = result.map_err(|fault| vec![platform_fault(&fault)]);
        add_faults(&mut faults, file, result);
    }
    print(&faults, options.json);
    if faults.is_empty() {
        return Ok(());
    }
    Err(Exit::new(EXIT_INVALID, format!("{} faults", faults.len())))
}

/// Converts an error of the platform's settings, which have no sections.
fn platform_fault(fault: &platform::Error) -> Fault {
    match fault {
        platform::Error::Field { field, reason } => Fault::new("", field, reason.clone()),
        platform::Error::Json(error) => Fault::new("", "", error.to_string()),
    }
}

/// Checks the text of a whole document.
///
/// # Errors
/// Returns every fault.
pub fn check_document(text: &str) -> Result<(), Vec<Fault>> {
    let sections = parse::split(text)?;
    let bodies = sections.iter().map(|(name, body)| (name.as_str(), body.as_str()));
    parse::read(1, bodies).map(drop)
}

fn read(file: &str) -> Result<String, anyhow::Error> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))
}

fn add_faults(into: &mut Vec<(String, Fault)>, file: &str, result: Result<(), Vec<Fault>>) {
    let faults = result.err().unwrap_or_default();
    into.extend(faults.into_iter().map(|fault| (file.to_owned(), fault)));
}

fn print(faults: &[(String, Fault)], json: bool) {
    if json {
        let rows: Vec<serde_json::Value> = faults
            .iter()
            .map(|(file, f)| {
                serde_json::json!({
                    "file": file, "section": f.section, "key": f.key, "message": f.message
                })
            })
            .collect();
        println!("{}", serde_json::Value::Array(rows));
        return;
    }
    for (file, fault) in faults {
        println!("{file}: {fault}");
    }
    if faults.is_empty() {
        println!("no faults");
    }
}
