//! `lovageridge check --configuration`: prints the faults of an operator's configuration, and what differs from
//! the version in force.

use anyhow::Context as _;

use crate::cli::EXIT_FAILED;
use crate::cli::EXIT_WARNINGS;
use crate::cli::Exit;
use crate::gateway::draft::Draft;
use crate::gateway::draft::Finding;
use crate::gateway::draft::Level;
use crate::gateway::draft::check::check;
use crate::gateway::draft::differences::check_version;
use crate::gateway::draft::differences::differences;
use crate::platform::config::draft;

/// Checks the configuration in `file`, and compares it with the one in `against`.
///
/// # Errors
/// Returns the number of errors, or with `is_strict` of warnings; they are printed.
pub fn run(file: &str, against: Option<&str>, is_strict: bool) -> Result<(), Exit> {
    let (draft, mut findings) = read(file)?;
    findings.extend(check(&draft));
    let mut lines = Vec::new();
    if let Some(against) = against {
        let (in_force, faults) = read(against)?;
        if let Some(fault) = faults.first() {
            let message = format!("{against}: {}: {}", fault.path, fault.text);
            return Err(Exit::new(EXIT_FAILED, message));
        }
        findings.extend(check_version(&draft, &in_force));
        lines = differences(&draft, &in_force);
    }
    findings.sort_by_key(|finding| finding.level);
    print(&findings, &lines);
    let count = |level| findings.iter().filter(|finding| finding.level == level).count();
    let (errors, warnings) = (count(Level::Error), count(Level::Warning));
    let message = format!("{errors} errors, {warnings} warnings");
    match (errors, warnings) {
        (1.., _) => Err(Exit::new(EXIT_FAILED, message)),
        (0, 1..) if is_strict => Err(Exit::new(EXIT_WARNINGS, message)),
        _ => Ok(()),
    }
}

fn read(file: &str) -> Result<(Draft, Vec<Finding>), anyhow::Error> {
    let bytes = std::fs::read(file).with_context(|| format!("cannot read {file}"))?;
    Ok(draft::read(&bytes))
}

fn print(findings: &[Finding], lines: &[String]) {
    for finding in findings {
        let level = match finding.level {
            Level::Error => "error",
            Level::Warning => "warning",
        };
        println!("{level}: {}: {}", finding.path, finding.text);
    }
    for line in lines {
        println!("{line}");
    }
    if findings.is_empty() {
        println!("no faults");
    }
}
