//! `pack`: utilisation of a site, relative to an upper bound, when many more jobs
//! are submitted than fit: by policy, and by the number of shards into which the
//! site is divided.

use std::time::Duration;

use model::Class;
use model::Resources;
use sched::Core;
use sched::Decision;
use sched::FirstFit;
use sched::JobSpec;
use sched::LeastLoaded;
use sched::Policy;
use sched::Weighted;
use shard::equal_part;

use crate::figures::print;
use crate::sched_core::TEAM;
use crate::sched_core::power_capped_core;

/// Number of workers of each site.
const WORKERS: u32 = 48;

/// A deployment named in the users' requirements: the size of its workers and its
/// power limit.
struct Site {
    name: &'static str,
    /// Processor capacity of a worker, in thousandths of a core.
    cpu_milli: u32,
    /// Memory capacity of a worker, in MiB.
    memory_mib: u32,
    /// Power limit of the site, in watts.
    power_limit: u32,
}

const SITES: [Site; 2] = [
    Site {
        name: "halvorsen",
        cpu_milli: 16_000,
        memory_mib: 65_536,
        power_limit: 20_000,
    },
    Site {
        name: "kanuri",
        cpu_milli: 32_000,
        memory_mib: 131_072,
        power_limit: 24_000,
    },
];

/// Deterministic pseudo-random number generator (splitmix64).
struct SplitMix(u64);

impl SplitMix {
    /// Returns a number below `limit`.
    fn next_below(&mut self, limit: u32) -> u32 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        u32::try_from((value ^ (value >> 31)) % u64::from(limit)).unwrap_or_default()
    }
}

/// Returns a random job. It needs at most 15 percent of the processors of a worker;
/// one in five needs at most 55 percent.
fn job(site: &Site, rng: &mut SplitMix) -> JobSpec {
    let large = rng.next_below(5) == 0;
    let divisor = if large { 2 } else { 10 };
    let cpu_milli = site.cpu_milli / 20 + rng.next_below(site.cpu_milli / divisor);
    let memory_mib = site.memory_mib / 40 + rng.next_below(site.memory_mib / divisor);
    JobSpec {
        team: TEAM.to_owned(),
        class: Class::Batch,
        needs: Resources {
            cpu_milli,
            memory_mib,
            accelerators: 0,
            slots: 1,
            power_watts: 20 + cpu_milli / 100,
        },
        members: 1,
        deadline: Duration::from_secs(1000),
        run_time: Duration::from_secs(10),
        avoid: Vec::new(),
    }
}

/// Returns the scheduling core of a shard, with its part of the site's workers and
/// power.
fn shard_core<P: Policy>(policy: P, site: &Site, shard: u16, shards: u16) -> Core<P> {
    let mut core = power_capped_core(
        policy,
        equal_part(site.power_limit, shard, shards),
        site.power_limit,
    );
    let capacity = Resources {
        cpu_milli: site.cpu_milli,
        memory_mib: site.memory_mib,
        accelerators: 0,
        slots: 8,
        // Only the limit of the site restricts the power.
        power_watts: site.power_limit,
    };
    for worker in (0..WORKERS).filter(|worker| worker % u32::from(shards) == u32::from(shard)) {
        core.add_worker(&format!("w{worker}"), &format!("r{}", worker / 8), capacity);
    }
    core
}

/// Submits random jobs, places those that fit, and returns the usage of the most
/// used resource in percent of the site's total. No placement can exceed 100.
fn utilisation<P: Policy + Copy>(policy: P, site: &Site, shards: u16) -> f64 {
    let mut cores: Vec<Core<P>> = (0..shards)
        .map(|shard| shard_core(policy, site, shard, shards))
        .collect();
    let mut rng = SplitMix(7);
    let mut used = Resources::default();
    let now = Duration::from_secs(1);
    // Many more jobs than fit. Each goes to a random shard, as a request does whose
    // shard is selected by a hash of its key.
    for _ in 0..1500 {
        let spec = job(site, &mut rng);
        let needs = spec.needs;
        let shard = usize::try_from(rng.next_below(u32::from(shards))).unwrap_or_default();
        let core = &mut cores[shard];
        let Ok(job) = core.submit(now, spec) else {
            continue;
        };
        let decisions = core.decide(now);
        if decisions.iter().any(
            |decision| matches!(decision, Decision::Start { job: started, .. } if *started == job),
        ) {
            used = used.plus(&needs);
        } else {
            core.withdraw(job);
        }
    }
    let usage = |used: u32, all: u32| f64::from(used) * 100.0 / f64::from(all);
    usage(used.cpu_milli, site.cpu_milli * WORKERS)
        .max(usage(used.memory_mib, site.memory_mib * WORKERS))
        .max(usage(used.power_watts, site.power_limit))
        .max(usage(used.slots, 8 * WORKERS))
}

/// Measures every policy on each site, and the policy that packs most tightly on
/// the site divided into shards.
pub(crate) fn run() {
    for site in &SITES {
        let name = site.name;
        for percent in [0, 50, 100] {
            let policy = Weighted {
                pack_percent: percent,
            };
            print(
                &format!("pack.{name}.weighted{percent}"),
                utilisation(policy, site, 1),
                "percent",
            );
        }
        print(
            &format!("pack.{name}.first_fit"),
            utilisation(FirstFit, site, 1),
            "percent",
        );
        print(
            &format!("pack.{name}.least_loaded"),
            utilisation(LeastLoaded, site, 1),
            "percent",
        );
        for shards in [1, 8, 16, 32] {
            let policy = Weighted { pack_percent: 100 };
            print(
                &format!("pack.{name}.shards{shards}"),
                utilisation(policy, site, shards),
                "percent",
            );
        }
    }
}
