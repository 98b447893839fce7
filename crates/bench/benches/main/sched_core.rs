//! Creates scheduling cores, which decide without I/O, for the benchmarks that need
//! no cell.

use model::Resources;
use sched::Core;
use sched::Grants;
use sched::Policy;
use sched::TeamGrant;

/// Team of all jobs in these benchmarks.
pub(crate) const TEAM: &str = "stores";

/// Returns a scheduling core without workers. The quota of its one team is
/// unlimited; the power of the site and of each rack is limited, in watts. The core
/// gets its limits as grants: in a cell, the part of each limit that its shard gets.
pub(crate) fn power_capped_core<P: Policy>(policy: P, site_watts: u32, rack_watts: u32) -> Core<P> {
    let quota = Resources {
        cpu_milli: u32::MAX,
        memory_mib: u32::MAX,
        accelerators: u32::MAX,
        slots: u32::MAX,
        power_watts: u32::MAX,
    };
    let team = TeamGrant {
        quota,
        queue: u32::MAX,
    };
    let mut grants = Grants {
        site_watts,
        rack_watts,
        ..Grants::default()
    };
    grants.teams.insert(TEAM.to_owned(), team);
    let mut core = Core::new(policy);
    core.grant(&grants);
    core
}
