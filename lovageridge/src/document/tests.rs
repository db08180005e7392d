//! Tests of parsing documents and settings.

use test_case::test_case;

use crate::document::parse;
use crate::settings::Settings;

fn faults(text: &str) -> String {
    let sections = match parse::split(text) {
        Ok(sections) => sections,
        Err(faults) => return format!("{faults:?}"),
    };
    let bodies = sections.iter().map(|(name, body)| (name.as_str(), body.as_str()));
    match parse::read(1, bodies) {
        Ok(_) => String::new(),
        Err(faults) => faults.iter().map(|f| format!("{f}\n")).collect(),
    }
}

#[test_case("[model.m]\nservice = s\nsize_mb = 1\n", "'s' is no service of engines")]
#[test_case("[servce.s]\nkind = engine\n", "did you mean 'service'?")]
#[test_case("[service.s]\nkind = engine\nchecks_fencng = yes\n", "did you mean 'checks_fencing'?")]
#[test_case("[partner.p]\nshare_pct = 101\n", "from 1 to 100")]
#[test_case("[partner.p]\nkeys_sha256 = abc\n", "64 hexadecimal digits")]
#[test_case("[service.b]\nkind = plain\npath = /v1/x\n", "must not start with /v1")]
#[test_case("[adapter.a]\nmodel = none\n", "'none' is no model")]
fn a_fault_says_what_would_be_accepted(text: &str, expected: &str) {
    let found = faults(text);
    assert!(found.contains(expected), "{found}");
}

#[test]
fn all_faults_are_reported_at_once() {
    let found = faults("[partner.p]\nshare_pct = 0\nqueue_max = x\n[team.t]\n");
    assert_eq!(found.lines().count(), 3, "{found}");
}

#[test]
fn two_services_cannot_have_the_same_path() {
    let text = "[service.a]\nkind = plain\npath = /x\n[service.b]\nkind = plain\npath = /x\n";
    assert!(faults(text).contains("has the same path"));
}

#[test]
fn every_missing_key_of_the_settings_is_reported() {
    let found = Settings::parse("[instance]\nid = a\n[listn]\n").expect_err("keys are missing");
    let text: String = found.iter().map(|f| format!("{f}\n")).collect();
    assert!(text.contains("did you mean [listen]?"), "{text}");
    assert!(text.contains("[instance] domain: is missing"), "{text}");
    assert!(text.contains("[platform] log: is missing"), "{text}");
}
