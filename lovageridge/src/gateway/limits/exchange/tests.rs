//! Tests of repeated requests for sends.

use super::*;

fn requester(number: u64) -> Requester {
    Requester { addr: SocketAddr::from(([127, 0, 0, 2], 7000)), incarnation: 1000, number }
}

#[test]
fn a_repeated_request_gets_the_answer_of_the_first_one() {
    let mut received = ReceivedRequests::default();
    assert_eq!(received.on_request(requester(1)), Receipt::New);
    assert_eq!(received.on_request(requester(1)), Receipt::InProgress);
    received.on_answer(requester(1), Grant::After(30));
    assert_eq!(received.on_request(requester(1)), Receipt::Answered(Grant::After(30)));
    assert_eq!(received.on_request(requester(2)), Receipt::New);
}

/// Guards against answers to the requests of a process that was restarted and numbers them from 1 again.
#[test]
fn a_restarted_requester_is_not_given_answers_of_its_former_process() {
    let mut received = ReceivedRequests::default();
    received.on_request(requester(1));
    received.on_answer(requester(1), Grant::After(0));
    let restarted = Requester { incarnation: 2000, ..requester(1) };
    assert_eq!(received.on_request(restarted), Receipt::New);
}

/// Guards against requests that stay unanswered because the instance that they were passed on to did not
/// answer once.
#[test]
fn a_request_without_an_answer_is_passed_on_again() {
    let mut received = ReceivedRequests::default();
    received.on_request(requester(1));
    received.on_no_answer(requester(1));
    assert_eq!(received.on_request(requester(1)), Receipt::New);
}

#[test]
fn a_bounded_number_of_requests_is_remembered() {
    let mut received = ReceivedRequests::default();
    for number in 0..10_000 {
        received.on_request(requester(number));
    }
    assert_eq!(received.requests.len(), RECEIVED_MAX);
    assert_eq!(received.on_request(requester(9_999)), Receipt::InProgress);
    received.on_answer(requester(0), Grant::After(0));
    assert_eq!(received.on_request(requester(0)), Receipt::Answered(Grant::After(0)));
    assert_eq!(received.requests.len(), RECEIVED_MAX);
}
