//! Generator of messages between entries about transferred jobs.

use quickcheck::{Arbitrary, Gen};

use super::pool::{name, resources};
use super::{list, refusal};
use crate::peer::{PeerEcho, PeerFrame, TransferAnswer, TransferredJob, TransferredStep};

/// Generates a message of any kind.
pub fn frame(g: &mut Gen) -> PeerFrame {
    match u8::arbitrary(g) % 5 {
        0 => PeerFrame::Probe(u64::arbitrary(g)),
        1 => PeerFrame::Echo(PeerEcho {
            probe: u64::arbitrary(g),
            credit: u32::arbitrary(g),
        }),
        2 => PeerFrame::Job(TransferredJob {
            number: u64::arbitrary(g),
            id: name(g),
            queue: name(g),
            spec: name(g),
            steps: list(g, step).into(),
            age_ms: u32::arbitrary(g),
            remaining_ms: u32::arbitrary(g),
            view_position: u64::arbitrary(g),
        }),
        3 => PeerFrame::Answer {
            number: u64::arbitrary(g),
            answer: answer(g),
        },
        _ => PeerFrame::Cancel(u64::arbitrary(g)),
    }
}

fn answer(g: &mut Gen) -> TransferAnswer {
    match u8::arbitrary(g) % 4 {
        0 => TransferAnswer::Completed,
        1 => TransferAnswer::Failed,
        2 => TransferAnswer::Refused(refusal(g)),
        _ => TransferAnswer::Returned,
    }
}

fn step(g: &mut Gen) -> TransferredStep {
    TransferredStep {
        count: u16::arbitrary(g),
        resources: resources(g),
        expected_ms: u32::arbitrary(g),
        after: list(g, u16::arbitrary).into(),
        label: bool::arbitrary(g).then(|| name(g)),
        data_label: bool::arbitrary(g).then(|| name(g)),
        max_per_worker: Option::arbitrary(g),
    }
}
