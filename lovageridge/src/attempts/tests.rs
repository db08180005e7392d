//! Tests of the attempts slice.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use test_case::test_case;

use crate::attempts::claims::driver::Claim;
use crate::attempts::claims::driver::ClaimOutcome;
use crate::attempts::claims::driver::Claims;
use crate::attempts::claims::key_table::KeyTable;
use crate::attempts::claims::key_table::Record;

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

fn answered(request_id: &str) -> Record {
    Record::Answered {
        key: "k".to_owned(),
        request_id: request_id.to_owned(),
        status_code: 201,
        content_type: String::new(),
        body: Some("booked".to_owned()),
    }
}

fn holder(table: &KeyTable) -> Option<&str> {
    table.get("k").map(|state| state.request_id.as_str())
}

#[test]
fn the_first_claim_of_a_key_wins() {
    let mut table = KeyTable::default();
    table.apply(0, Record::Batch(vec![claim("r1"), claim("r2")]));
    table.apply(1, claim("r3"));
    assert_eq!(holder(&table), Some("r1"));
}

#[test]
fn a_void_frees_the_key_even_before_its_claim() {
    let mut table = KeyTable::default();
    table.apply(0, void("r1"));
    table.apply(1, claim("r1"));
    assert_eq!(holder(&table), None);
    table.apply(2, claim("r2"));
    table.apply(3, void("r2"));
    table.apply(4, claim("r3"));
    assert_eq!(holder(&table), Some("r3"));
}

#[test]
fn a_key_with_a_response_cannot_be_voided() {
    let mut table = KeyTable::default();
    table.apply(0, claim("r1"));
    table.apply(1, answered("r1"));
    table.apply(2, void("r1"));
    assert_eq!(holder(&table), Some("r1"));
    assert!(table.get("k").is_some_and(|state| state.response.is_some()));
}

#[test]
fn keys_are_dropped_with_their_records() {
    let mut table = KeyTable::default();
    table.apply(0, claim("r1"));
    table.on_first_offset(1);
    assert!(table.is_empty());
    assert_eq!(table.next_offset(), 1);
}

/// What happens to the request that holds the key while a repeated one waits.
enum Holder {
    Answered,
    Voided,
    Unfinished,
}

#[test_case(&Holder::Answered, "answered"; "the response to the first call")]
#[test_case(&Holder::Voided, "won"; "the key once the first call is voided")]
#[test_case(&Holder::Unfinished, "held"; "held if the first call does not finish")]
fn a_call_repeated_while_the_first_one_runs_gets(holder: &Holder, expected: &str) {
    let (claims, records) = Claims::new();
    claims.apply_for_test(0, claim("r1"));
    let started = Instant::now();
    let outcome = thread::scope(|scope| {
        let repeated = scope.spawn(|| {
            let second = Claim { key: "k", request_id: "r2", fingerprint: "f" };
            claims.claim(second, Duration::from_millis(2500))
        });
        thread::sleep(Duration::from_millis(50));
        match holder {
            Holder::Answered => claims.apply_for_test(1, answered("r1")),
            Holder::Voided => {
                claims.apply_for_test(1, void("r1"));
                let own_claim = records
                    .recv_timeout(Duration::from_secs(2))
                    .expect("the repeated call appends its claim");
                claims.apply_for_test(2, own_claim);
            }
            Holder::Unfinished => {}
        }
        repeated.join().expect("the claiming thread does not panic")
    });
    let name = match outcome {
        ClaimOutcome::Won => "won",
        ClaimOutcome::Completed(_) => "answered",
        ClaimOutcome::Held => "held",
        ClaimOutcome::Mismatch | ClaimOutcome::Unavailable => "refused",
    };
    assert_eq!(name, expected);
    assert!(started.elapsed() < Duration::from_millis(2000), "the outcome comes within 2 s");
}
