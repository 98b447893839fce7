//! `pack`: work packed against an upper bound, by policy, and the price of
//! cutting a cell into shards.

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

use crate::cores::TEAM;
use crate::cores::capped_core;
use crate::figures::print;

const WORKERS: u32 = 48;

/// A deployment of the brief.
struct Site {
    name: &'static str,
    cpu_milli: u32,
    memory_mib: u32,
    /// Cap on the site's power, in watts.
    watts: u32,
}

const SITES: [Site; 2] = [
    Site {
        name: "halvorsen",
        cpu_milli: 16_000,
        memory_mib: 65_536,
        watts: 20_000,
    },
    Site {
        name: "kanuri",
        cpu_milli: 32_000,
        memory_mib: 131_072,
        watts: 24_000,
    },
];

/// Numbers that look random and are the same in every run (splitmix64).
struct Mix(u64);

impl Mix {
    fn next(&mut self, most: u32) -> u32 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        u32::try_from((value ^ (value >> 31)) % u64::from(most)).unwrap_or_default()
    }
}

fn job(site: &Site, mix: &mut Mix) -> JobSpec {
    let large = mix.next(5) == 0;
    let part = if large { 2 } else { 10 };
    let cpu_milli = site.cpu_milli / 20 + mix.next(site.cpu_milli / part);
    let memory_mib = site.memory_mib / 40 + mix.next(site.memory_mib / part);
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

fn shard_core<P: Policy>(policy: P, site: &Site, shard: u16, shards: u16) -> Core<P> {
    let mut core = capped_core(policy, equal_part(site.watts, shard, shards), site.watts);
    let capacity = Resources {
        cpu_milli: site.cpu_milli,
        memory_mib: site.memory_mib,
        accelerators: 0,
        slots: 8,
        power_watts: site.watts,
    };
    for worker in (0..WORKERS).filter(|worker| worker % u32::from(shards) == u32::from(shard)) {
        core.add_worker(&format!("w{worker}"), &format!("r{}", worker / 8), capacity);
    }
    core
}

/// Share of the binding resource that was used, in percent of the bound that
/// no placement can exceed.
fn fill<P: Policy + Copy>(policy: P, site: &Site, shards: u16) -> f64 {
    let mut cores: Vec<Core<P>> = (0..shards)
        .map(|shard| shard_core(policy, site, shard, shards))
        .collect();
    let mut mix = Mix(7);
    let mut used = Resources::default();
    let now = Duration::from_secs(1);
    // Far more jobs than fit, dealt to the shards like request ids.
    for _ in 0..1500 {
        let spec = job(site, &mut mix);
        let needs = spec.needs;
        let shard = usize::try_from(mix.next(u32::from(shards))).unwrap_or_default();
        let core = &mut cores[shard];
        let Ok(job) = core.submit(now, spec) else {
            continue;
        };
        let started = core.decide(now);
        if started
            .iter()
            .any(|d| matches!(d, Decision::Start { job: s, .. } if *s == job))
        {
            used = used.plus(&needs);
        } else {
            core.withdraw(job);
        }
    }
    let share = |used: u32, all: u32| f64::from(used) * 100.0 / f64::from(all);
    share(used.cpu_milli, site.cpu_milli * WORKERS)
        .max(share(used.memory_mib, site.memory_mib * WORKERS))
        .max(share(used.power_watts, site.watts))
        .max(share(used.slots, 8 * WORKERS))
}

pub(crate) fn run() {
    for site in &SITES {
        let name = site.name;
        for percent in [0, 50, 100] {
            let policy = Weighted {
                pack_percent: percent,
            };
            print(
                &format!("pack.{name}.weighted{percent}"),
                fill(policy, site, 1),
                "percent",
            );
        }
        print(
            &format!("pack.{name}.first_fit"),
            fill(FirstFit, site, 1),
            "percent",
        );
        print(
            &format!("pack.{name}.least_loaded"),
            fill(LeastLoaded, site, 1),
            "percent",
        );
        for shards in [1, 8, 16, 32] {
            let policy = Weighted { pack_percent: 100 };
            print(
                &format!("pack.{name}.shards{shards}"),
                fill(policy, site, shards),
                "percent",
            );
        }
    }
}
