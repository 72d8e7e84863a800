//! Encoding and decoding of a batch of 64 frames that start one task each, as an entry sends them
//! to an agent.

use divan::Bencher;
use divan::counter::ItemsCount;
use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{AttemptId, Epoch, JobKey};
use masticcross_wire::{Frame, StartTasks, TaskStart, codec};

const STARTS: u32 = 64;

fn main() {
    divan::main();
}

fn batch() -> Vec<Frame> {
    (0..STARTS).map(start).collect()
}

fn start(number: u32) -> Frame {
    let key = JobKey::new("quote-desk", &format!("order-{number}")).expect("valid names");
    let task = TaskStart {
        index: 0,
        attempt: AttemptId {
            epoch: Epoch(1_000),
            seq: u64::from(number),
        },
        payload: r#"{"menu":"harvest-3","guests":120,"venue":"old-jetty"}"#.into(),
    };
    Frame::Start(StartTasks {
        partition: key.partition(),
        key,
        epoch: Epoch(1_000),
        left_ms: 2_000,
        tasks: vec![task],
        timestamp: Timestamp::default(),
    })
}

#[divan::bench]
fn encode(bencher: Bencher<'_, '_>) {
    let batch = batch();
    bencher
        .counter(ItemsCount::new(STARTS))
        .bench_local(|| codec::encode(divan::black_box(&batch)));
}

#[divan::bench]
fn decode(bencher: Bencher<'_, '_>) {
    let bytes = codec::encode(&batch()).expect("the batch is small");
    bencher
        .counter(ItemsCount::new(STARTS))
        .bench_local(|| codec::decode(divan::black_box(&bytes)));
}
