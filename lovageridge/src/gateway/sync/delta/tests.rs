//! Tests of documents in compressed form.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::gateway::sync::delta::Delta;
use crate::gateway::sync::delta::Error;

/// Most bytes that a change of one route may take between instances.
const ONE_ROUTE_MAX_BYTES: usize = 1000;
/// Most bytes of a datagram.
const DATAGRAM_MAX_BYTES: usize = 48 << 10;

fn document(version: u64, routes: usize) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(7);
    let lines = (0..routes).map(|_| {
        format!(
            "{{\"Name\":\"r-{:x}\",\"Host\":\"site.example\",\"PathPrefix\":\"/{:x}/{:x}/\",\
             \"RouteType\":\"idempotent\",\"TimeoutMs\":2500,\"TargetLatencyMs\":1000,\"Priority\":1,\
             \"Service\":\"plain\",\"MaxAttempts\":2,\"Sticky\":false,\"Resumable\":false}}",
            rng.random::<u32>(),
            rng.random::<u16>(),
            rng.random::<u32>(),
        )
    });
    let lines: Vec<String> = lines.collect();
    format!("{{\"Version\":{version},\"Routes\":[{}]}}", lines.join(",")).into_bytes()
}

/// Guards against a change of one route that costs as much as the whole document (CONFIG).
#[test]
fn a_small_change_of_a_large_document_is_small() {
    let (old, new) = (document(16, 4250), document(17, 4250));
    let delta = Delta::new(Some(&old), &new).expect("a delta");
    assert!(delta.len() < ONE_ROUTE_MAX_BYTES, "{} bytes", delta.len());
    assert_eq!(delta.restore(&old).expect("the document"), new);
}

/// Guards against a change of 1,400 routes that does not fit into a datagram (CONFIG).
#[test]
fn many_added_routes_fit_into_a_datagram() {
    let (old, new) = (document(16, 2850), document(19, 4250));
    let delta = Delta::new(Some(&old), &new).expect("a delta");
    assert!(delta.len() < DATAGRAM_MAX_BYTES, "{} bytes", delta.len());
    assert_eq!(delta.restore(&old).expect("the document"), new);
}

#[test]
fn a_whole_document_needs_no_base() {
    let new = document(19, 400);
    let delta = Delta::new(None, &new).expect("a delta");
    assert!(delta.len() < new.len() / 4, "{} bytes", delta.len());
    assert_eq!(delta.restore(b"anything").expect("the document"), new);
    let empty = Delta::new(None, b"").expect("a delta");
    assert!(empty.restore(b"").expect("the document").is_empty());
}

#[test]
fn a_delta_is_not_applied_to_another_document_or_when_damaged() {
    let (old, new) = (document(16, 100), document(17, 120));
    let delta = Delta::new(Some(&old), &new).expect("a delta");
    assert!(matches!(delta.restore(&new), Err(Error::OtherBase)));
    for at in 0..delta.len() {
        let mut damaged = delta.clone();
        damaged.compressed[at] ^= 0x41;
        let restored = damaged.restore(&old);
        assert!(restored.is_err() || restored.is_ok_and(|text| text == new), "byte {at}");
    }
}
