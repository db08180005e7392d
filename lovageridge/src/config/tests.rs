//! Tests of the configuration slice.

use test_case::test_case;

use crate::config::fold::Fold;
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

fn founded() -> Fold {
    let mut fold = Fold::default();
    let body = format!("token_sha256 = {TOKEN}\nsections = *\n");
    let verdict = fold.apply(0, edit("found", "x", "team.ops", 0, &body));
    assert_eq!(verdict, Some(Verdict::Accepted { version: 1 }));
    fold
}

fn partner(share: u64) -> String {
    format!("share_pct = {share}\n")
}

#[test]
fn the_first_edit_on_a_base_wins() {
    let mut fold = founded();
    fold.apply(1, edit("a", "ops", "partner.p", 0, &partner(10)));
    let loser = fold.apply(2, edit("b", "ops", "partner.p", 0, &partner(20)));
    let section = "partner.p".to_owned();
    assert_eq!(loser, Some(Verdict::Conflict { section, current_version: 2 }));
    assert_eq!(fold.config().partners.get("p").map(|p| p.share_pct), Some(10));
}

#[test]
fn an_edit_sent_twice_is_applied_once() {
    let mut fold = founded();
    let first = fold.apply(1, edit("a", "ops", "partner.p", 0, &partner(10)));
    let again = fold.apply(2, edit("a", "ops", "partner.p", 0, &partner(10)));
    assert_eq!(first, again);
    assert_eq!(fold.config().version, 2);
}

#[test_case("share_pct = 0\n"; "out of range")]
#[test_case("share = 10\n"; "unknown key")]
#[test_case("[other]\n"; "opens a section")]
fn an_invalid_edit_changes_nothing(body: &str) {
    let mut fold = founded();
    let verdict = fold.apply(1, edit("a", "ops", "partner.p", 0, body));
    assert!(matches!(verdict, Some(Verdict::Invalid { .. })), "{verdict:?}");
    assert_eq!(fold.config().version, 1);
}

#[test]
fn a_reader_from_the_middle_waits_for_a_checkpoint_and_then_agrees() {
    let mut full = founded();
    full.apply(1, edit("a", "ops", "partner.p", 0, &partner(10)));
    let checkpoint = Record::Checkpoint(full.snapshot());
    let late = edit("b", "ops", "partner.p", 2, &partner(30));
    let mut reader = Fold::default();
    reader.skip_to(2);
    // The edit stands in the log before the checkpoint that its base rests on.
    for (offset, record) in [(2, late), (3, checkpoint)] {
        full.apply(offset, record.clone());
        reader.apply(offset, record);
    }
    assert!(reader.is_complete());
    assert_eq!(reader.config(), full.config());
    assert_eq!(reader.config().partners.get("p").map(|p| p.share_pct), Some(30));
}

#[test]
fn a_reader_from_the_middle_takes_no_edit_for_the_founding_one() {
    let mut reader = Fold::default();
    reader.skip_to(5);
    let body = format!("token_sha256 = {TOKEN}\nsections = *\n");
    assert_eq!(reader.apply(5, edit("x", "foe", "team.foe", 0, &body)), None);
    assert_eq!(reader.config().version, 0);
}

#[test]
fn an_older_snapshot_never_wins() {
    let mut fold = founded();
    let old = fold.snapshot();
    fold.apply(1, edit("a", "ops", "partner.p", 0, &partner(10)));
    assert!(!fold.adopt(old));
    assert_eq!(fold.config().version, 2);
}
