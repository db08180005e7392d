//! Tests of the attempts slice.

use crate::attempts::claims::fold::Fold;
use crate::attempts::claims::fold::Record;

fn claim(request_id: &str) -> Record {
    Record::Claim {
        key: "k".to_owned(),
        request_id: request_id.to_owned(),
        fingerprint: "f".to_owned(),
    }
}

fn void(request_id: &str) -> Record {
    Record::Void { key: "k".to_owned(), request_id: request_id.to_owned() }
}

fn holder(fold: &Fold) -> Option<&str> {
    fold.key("k").map(|state| state.request_id.as_str())
}

#[test]
fn the_first_claim_of_a_key_wins() {
    let mut fold = Fold::default();
    fold.apply(0, Record::Batch(vec![claim("r1"), claim("r2")]));
    fold.apply(1, claim("r3"));
    assert_eq!(holder(&fold), Some("r1"));
}

#[test]
fn a_voided_claim_frees_the_key_even_when_it_comes_late() {
    let mut fold = Fold::default();
    fold.apply(0, void("r1"));
    fold.apply(1, claim("r1"));
    assert_eq!(holder(&fold), None);
    fold.apply(2, claim("r2"));
    fold.apply(3, void("r2"));
    fold.apply(4, claim("r3"));
    assert_eq!(holder(&fold), Some("r3"));
}

#[test]
fn an_answered_key_cannot_be_voided() {
    let mut fold = Fold::default();
    fold.apply(0, claim("r1"));
    let answered = Record::Answered {
        key: "k".to_owned(),
        request_id: "r1".to_owned(),
        status_code: 201,
        content_type: String::new(),
        body: Some("booked".to_owned()),
    };
    fold.apply(1, answered);
    fold.apply(2, void("r1"));
    assert_eq!(holder(&fold), Some("r1"));
    assert!(fold.key("k").is_some_and(|state| state.answer.is_some()));
}

#[test]
fn keys_are_dropped_with_their_records() {
    let mut fold = Fold::default();
    fold.apply(0, claim("r1"));
    fold.on_first_offset(1);
    assert!(fold.is_empty());
    assert_eq!(fold.next_offset(), 1);
}
