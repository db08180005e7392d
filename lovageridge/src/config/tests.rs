//! Tests of the configuration state.

use test_case::test_case;

use crate::config::fold::ConfigState;
use crate::config::fold::Verdict;
use crate::config::record::Edit;
use crate::config::record::Record;
use crate::config::record::SectionChange;

const TOKEN: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn edit(edit_id: &str, team: &str, section: &str, base_version: u64, body: &str) -> Record {
    let change =
        SectionChange { section: section.to_owned(), base_version, body: Some(body.to_owned()) };
    Record::Edit(Edit {
        edit_id: edit_id.to_owned(),
        team: team.to_owned(),
        changes: vec![change],
        written_unix_ms: 0,
    })
}

fn state_with_ops_team() -> ConfigState {
    let mut state = ConfigState::default();
    let body = format!("token_sha256 = {TOKEN}\nsections = *\n");
    let verdict = state.apply(0, edit("found", "x", "team.ops", 0, &body));
    assert_eq!(verdict, Some(Verdict::Accepted { version: 1 }));
    state
}

fn partner_body(share: u64) -> String {
    format!("share_pct = {share}\n")
}

#[test]
fn of_two_edits_on_one_base_version_the_first_is_accepted() {
    let mut state = state_with_ops_team();
    state.apply(1, edit("a", "ops", "partner.p", 0, &partner_body(10)));
    let second = state.apply(2, edit("b", "ops", "partner.p", 0, &partner_body(20)));
    let section = "partner.p".to_owned();
    assert_eq!(second, Some(Verdict::Conflict { section, current_version: 2 }));
    assert_eq!(state.config().partners.get("p").map(|p| p.share_pct), Some(10));
}

#[test]
fn an_edit_sent_twice_is_applied_once() {
    let mut state = state_with_ops_team();
    let first = state.apply(1, edit("a", "ops", "partner.p", 0, &partner_body(10)));
    let again = state.apply(2, edit("a", "ops", "partner.p", 0, &partner_body(10)));
    assert_eq!(first, again);
    assert_eq!(state.config().version, 2);
}

#[test_case("share_pct = 0\n"; "out of range")]
#[test_case("share = 10\n"; "unknown key")]
#[test_case("[other]\n"; "opens a section")]
fn an_invalid_edit_changes_nothing(body: &str) {
    let mut state = state_with_ops_team();
    let verdict = state.apply(1, edit("a", "ops", "partner.p", 0, body));
    assert!(matches!(verdict, Some(Verdict::Invalid { .. })), "{verdict:?}");
    assert_eq!(state.config().version, 1);
}

#[test]
fn a_reader_that_missed_records_catches_up_from_a_checkpoint() {
    let mut full = state_with_ops_team();
    full.apply(1, edit("a", "ops", "partner.p", 0, &partner_body(10)));
    let checkpoint = Record::Checkpoint(full.snapshot());
    let later_edit = edit("b", "ops", "partner.p", 2, &partner_body(30));
    let mut reader = ConfigState::default();
    reader.skip_to(2);
    // The edit precedes the checkpoint that contains its base version.
    for (offset, record) in [(2, later_edit), (3, checkpoint)] {
        full.apply(offset, record.clone());
        reader.apply(offset, record);
    }
    assert!(reader.is_complete());
    assert_eq!(reader.config(), full.config());
    assert_eq!(reader.config().partners.get("p").map(|p| p.share_pct), Some(30));
}

#[test]
fn a_reader_that_missed_records_accepts_no_edit_as_the_first_one() {
    let mut reader = ConfigState::default();
    reader.skip_to(5);
    let body = format!("token_sha256 = {TOKEN}\nsections = *\n");
    assert_eq!(reader.apply(5, edit("x", "foe", "team.foe", 0, &body)), None);
    assert_eq!(reader.config().version, 0);
}

#[test]
fn an_older_snapshot_is_ignored() {
    let mut state = state_with_ops_team();
    let old = state.snapshot();
    state.apply(1, edit("a", "ops", "partner.p", 0, &partner_body(10)));
    assert!(!state.install_snapshot(old));
    assert_eq!(state.config().version, 2);
}
