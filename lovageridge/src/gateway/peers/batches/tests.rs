//! Tests of batches of records in deployments of different sizes.

use crate::gateway::peers::Payload;
use crate::gateway::peers::RecordBatch;
use crate::gateway::peers::batches::payloads;
use crate::gateway::peers::batches::unpack;
use crate::gateway::sync::view::Topic;
use crate::hashing;

/// Largest datagram over UDP, in bytes.
const DATAGRAM_BYTES: usize = 65_507;
/// Share of the link of a large instance that batches to the 58 others of a domain may take.
const LINK_SHARE: f64 = 1.0 / 3.0;
/// Link of a large instance, in bytes per second.
const LINK_BYTES_PER_S: f64 = 200e6 / 8.0;
/// Time between two reads of the workers' records, in s.
const READ_INTERVAL_S: f64 = 0.7;

/// Returns a worker's record with three models, adapters and copies of five models.
fn record(number: u64) -> Vec<u8> {
    let name = |at: u64| {
        let hash = hashing::stable_hash(&["model", &((number * 7 + at) % 782).to_string()]);
        format!("dano{:06x}", hash & 0xff_ffff)
    };
    let loaded = |at| {
        format!(
            "{{\"Name\":\"{}\",\"Version\":1,\"Adapters\":[\"a{}\",\"a{}\"]}}",
            name(at),
            at + 1,
            at + 9
        )
    };
    let cached = |at| format!("\"{}\"", name(at));
    let models: Vec<String> = (0..3).map(loaded).collect();
    let copies: Vec<String> = (0..5).map(cached).collect();
    format!(
        "\0i-{number:010x}{{\"Service\":\"huvo11a\",\"Address\":\"10.{}.64.{}:8080\",\"Zone\":\"sohar-a\",\
         \"Version\":\"v1\",\"Slots\":12,\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"colocated\",\
         \"Models\":[{}],\"AtHand\":{{\"InMemory\":[{}],\"OnDisk\":[{}]}},\"Seq\":{},\"born\":{}}}",
        number % 5,
        number % 200,
        models.join(","),
        copies[..2].join(","),
        copies.join(","),
        number * 31 % 400,
        1_774_640_177_125 + number * 17,
    )
    .into_bytes()
}

fn batch(records: u64) -> RecordBatch {
    RecordBatch {
        era: 1,
        topic: Topic::Workers,
        start_offset: 100,
        next_offset: 100 + records,
        records: (0..records).map(|number| (100 + number, record(number))).collect(),
    }
}

fn encoded_len(payload: &Payload) -> usize {
    postcard::to_stdvec(payload).expect("messages can be encoded").len()
}

/// 240 workers write their records each 1.2 s. Their records of one read did not fit into a datagram, so
/// each of 295 instances read them from the store: 260 calls a second.
#[test]
fn the_records_of_a_read_fit_into_datagrams_and_a_link() {
    let payloads = payloads(batch(140)).expect("messages");
    let bytes: usize = payloads.iter().map(encoded_len).sum();
    assert!(payloads.iter().all(|payload| encoded_len(payload) < DATAGRAM_BYTES));
    let share = bytes as f64 * 58.0 / READ_INTERVAL_S / LINK_BYTES_PER_S;
    assert!(share <= LINK_SHARE, "{bytes} bytes take {share:.2} of the link");
}

#[test]
fn a_large_batch_is_divided_without_gaps() {
    let original = batch(3000);
    let payloads = payloads(original.clone()).expect("messages");
    assert!(payloads.len() > 1);
    let mut next_offset = original.start_offset;
    let mut records = Vec::new();
    for payload in &payloads {
        assert!(encoded_len(payload) < DATAGRAM_BYTES);
        let part = match payload {
            Payload::Batch(part) => part.clone(),
            Payload::PackedBatch(packed) => unpack(packed).expect("a batch"),
            other => panic!("unexpected {other:?}"),
        };
        assert_eq!((part.era, part.topic, part.start_offset), (1, Topic::Workers, next_offset));
        next_offset = part.next_offset;
        records.extend(part.records);
    }
    assert_eq!(next_offset, original.next_offset);
    assert_eq!(records, original.records);
}

#[test]
fn a_small_batch_is_sent_as_it_is() {
    let original = batch(8);
    assert_eq!(payloads(original.clone()), Some(vec![Payload::Batch(original)]));
}
