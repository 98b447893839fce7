//! Divides the limits of the cell among its shards.

use std::collections::HashMap;

use model::Config;
use model::Request;
use model::ShardId;
use model::TeamShards;
use sched::Grants;
use sched::TeamGrant;

/// Grants of one shard: its part of every limit. The parts of all shards never
/// exceed the limit, whichever processes own them, and a lower limit lowers
/// each part. Only the limit on a team's waiting requests is not divided: it
/// applies in each shard.
#[must_use]
pub fn shard_grants(config: &Config, shard: ShardId, shards: u16) -> Grants {
    let part = |all: u32| equal_part(all, shard, shards);
    let mut grants = Grants {
        site_watts: part(config.site_watts),
        rack_watts: part(config.rack_watts),
        teams: HashMap::new(),
    };
    for (name, team) in &config.teams {
        let team_shards = TeamShards::new(name, team.span, shards);
        let Some(index) = team_shards.index_of(shard) else {
            continue;
        };
        let part = |all: u32| equal_part(all, index, team_shards.span());
        let quota = model::Resources {
            cpu_milli: part(team.quota.cpu_milli),
            memory_mib: part(team.quota.memory_mib),
            accelerators: part(team.quota.accelerators),
            slots: part(team.quota.slots),
            power_watts: part(team.quota.power_watts),
        };
        let queue = team.queue;
        grants
            .teams
            .insert(name.clone(), TeamGrant { quota, queue });
    }
    grants
}

/// Part number `index` of `all` divided into `parts` nearly equal parts, which
/// add up to `all`.
#[must_use]
pub fn equal_part(all: u32, index: u16, parts: u16) -> u32 {
    let (index, parts) = (u32::from(index), u32::from(parts.max(1)));
    all / parts + u32::from(index < all % parts)
}

/// Reason why a request alone exceeds a limit of the cell, if it does.
#[must_use]
pub fn exceeded_cell_limit(config: &Config, request: &Request) -> Option<String> {
    let Some(team) = config.teams.get(&request.team) else {
        return Some(format!("team {} has no quota", request.team));
    };
    let total = request.task_needs().times(request.members);
    if !total.fits(&team.quota) {
        return Some(format!(
            "more than the whole quota of team {}",
            request.team
        ));
    }
    if total.power_watts > config.site_watts {
        return Some(format!(
            "more power than the site's cap of {} W",
            config.site_watts
        ));
    }
    let member = request.task_needs().power_watts;
    (member > config.rack_watts)
        .then(|| format!("more power than a rack's cap of {} W", config.rack_watts))
}

#[cfg(test)]
mod tests {
    use super::equal_part;

    #[test]
    fn parts_add_up_to_the_total() {
        for all in [0, 1, 15, 16, 17, 1000] {
            let sum: u32 = (0..16).map(|index| equal_part(all, index, 16)).sum();

            assert_eq!(sum, all);
        }
    }
}
