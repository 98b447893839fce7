//! Identifiers exchanged between processes, and the mapping of requests to shards.

use xxhash_rust::xxh3::xxh3_64;

/// Id of a request, chosen by its caller and unique within a team.
pub type RequestId = String;

/// Name of a team, as given in the configuration document.
pub type TeamId = String;

/// Name of a worker, as given in the list of workers that the platform maintains
/// (the host list, see the crate `store`).
pub type WorkerId = String;

/// Index of a shard, from 0 to the number of shards of the cell minus one. The
/// processes of a cell divide its shards among them.
pub type ShardId = u16;

/// Number of an ownership period of a shard; increases whenever a process claims
/// the shard or releases it to another process.
pub type Epoch = u64;

/// Identifies one incarnation of a process or worker; a restart creates a new one.
pub type Incarnation = String;

/// Version number of an accepted configuration document.
pub type Version = u64;

/// Key under which a shard stores a request: team and request id. Neither contains
/// a slash or a tilde; [`Config::check`](crate::Config::check) and
/// [`Request::check`](crate::Request::check) reject them.
#[must_use]
pub fn request_key(team: &str, id: &str) -> String {
    format!("{team}/{id}")
}

/// Key under which shard `to` runs a request that the shard of the request has
/// offloaded to it, because that shard had no free workers. `key` is the
/// request's own key.
#[must_use]
pub fn offload_key(key: &str, to: ShardId) -> String {
    format!("{key}~{to}")
}

/// Returns the shard to which a request was offloaded; none if `key` is not the
/// key of an offloaded request.
#[must_use]
pub fn offload_target(key: &str) -> Option<ShardId> {
    key.rsplit_once('~')
        .and_then(|(_, shard)| shard.parse().ok())
}

/// Contiguous range of the cell's shards, wrapping at the last one, over which
/// the requests and the quota of a team are spread. A team does not use all shards,
/// because each shard would then get a part of a small quota in which not even
/// a single task fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamShards {
    /// Index of the first shard of the team.
    first: u16,
    /// Number of shards of the team.
    span: u16,
    /// Number of all shards of the cell.
    cell_shards: u16,
}

impl TeamShards {
    /// Selects the shards of a team in a cell of `cell_shards` shards: `span` of
    /// them, but at least one and at most all.
    #[must_use]
    pub fn new(team: &str, span: u16, cell_shards: u16) -> TeamShards {
        let cell_shards = cell_shards.max(1);
        TeamShards {
            first: bucket(team, cell_shards),
            span: span.clamp(1, cell_shards),
            cell_shards,
        }
    }

    /// Returns the shard that a request belongs to, from its [`request_key`]. The
    /// owner of this shard accepts, schedules and answers the request. The result is
    /// the same in every process, and does not change as long as the span of the
    /// team and the number of shards of the cell stay the same.
    #[must_use]
    pub fn home(&self, key: &str) -> ShardId {
        let offset = u32::from(bucket(key, self.span));
        let shard = (u32::from(self.first) + offset) % u32::from(self.cell_shards);
        u16::try_from(shard).unwrap_or_default()
    }

    /// Index of a shard in the team's range; none if the shard is not in it.
    #[must_use]
    pub fn index_of(&self, shard: ShardId) -> Option<u16> {
        let cell_shards = u32::from(self.cell_shards);
        let index = (u32::from(shard) + cell_shards - u32::from(self.first)) % cell_shards;
        u16::try_from(index).ok().filter(|index| *index < self.span)
    }

    /// Number of shards in the team's range.
    #[must_use]
    pub fn span(&self) -> u16 {
        self.span
    }
}

/// Hashes `text` to a number below `buckets`.
fn bucket(text: &str, buckets: u16) -> u16 {
    u16::try_from(xxh3_64(text.as_bytes()) % u64::from(buckets)).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::TeamShards;

    #[test]
    fn a_request_belongs_to_one_of_its_teams_shards() {
        for span in [1, 3, 16, 500] {
            let shards = TeamShards::new("stores", span, 16);

            let home = shards.home("stores/a");

            assert_eq!(home, shards.home("stores/a"));
            assert!(shards.index_of(home).is_some());
        }
    }

    #[test]
    fn the_number_of_a_teams_shards_equals_its_span() {
        let shards = TeamShards::new("netting", 3, 16);

        let count = (0..16)
            .filter(|shard| shards.index_of(*shard).is_some())
            .count();

        assert_eq!(count, 3);
    }
}
