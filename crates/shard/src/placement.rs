//! Placement of shards on processes: rendezvous hashing (Thaler and
//! Ravishankar, 1998) with a limit on the shards per process.

use model::ShardId;
use xxhash_rust::xxh3::xxh3_64;

/// Index of a process in the list passed to `place_shards`.
pub type MemberIndex = usize;

/// Returns the process that should own each shard, in shard order; empty if
/// there are no processes. The same names give the same owners in every
/// process, whatever the order of the list.
#[must_use]
pub fn place_shards(names: &[String], shards: u16) -> Vec<MemberIndex> {
    if names.is_empty() {
        return Vec::new();
    }
    let max_shards = usize::from(shards).div_ceil(names.len());
    let mut shard_counts = vec![0usize; names.len()];
    let mut owners = Vec::with_capacity(usize::from(shards));
    for shard in 0..shards {
        let eligible = (0..names.len()).filter(|index| shard_counts[*index] < max_shards);
        let best = eligible.max_by_key(|index| weight(&names[*index], shard));
        let index = best.unwrap_or_default();
        shard_counts[index] += 1;
        owners.push(index);
    }
    owners
}

fn weight(name: &str, shard: ShardId) -> u64 {
    xxh3_64(format!("{name}/{shard}").as_bytes())
}

#[cfg(test)]
mod tests {
    use super::place_shards;

    fn names(count: usize) -> Vec<String> {
        (0..count).map(|index| format!("p{index}")).collect()
    }

    #[test]
    fn no_process_holds_more_than_its_share() {
        let owners = place_shards(&names(7), 16);

        for index in 0..7 {
            let owned = owners.iter().filter(|owner| **owner == index).count();
            assert!(owned <= 3, "process {index} holds {owned}");
        }
    }

    #[test]
    fn order_of_names_does_not_matter() {
        let forward = names(5);
        let mut backward = forward.clone();
        backward.reverse();

        let one = place_shards(&forward, 16);
        let two = place_shards(&backward, 16);

        for (a, b) in one.iter().zip(&two) {
            assert_eq!(forward[*a], backward[*b]);
        }
    }
}
