//! Rendezvous hashing: chooses the preferred owner of a partition.

use masticcross_basics::Partition;
use masticcross_wire::Member;
use twox_hash::XxHash3_64;

/// Chooses a member for a partition. The weight of a member depends only on its name and the
/// partition, so a joining or leaving member moves only its own share of the partitions.
pub(super) fn choose<'a>(
    partition: Partition,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.max_by_key(|member| (weight(partition, member), &member.name))
}

fn weight(partition: Partition, member: &Member) -> u64 {
    XxHash3_64::oneshot_with_seed(u64::from(partition.index()), member.name.as_bytes())
}
