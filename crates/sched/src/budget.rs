//! Hard limits in addition to the capacity of the workers: power of the site
//! and of its racks, quotas of teams. A core books only what was granted to it,
//! and the sum of all grants stays within the cap, so that the owners of
//! several shards cannot exceed a limit together.

use std::collections::HashMap;

use model::Resources;
use model::TeamId;
use slotmap::SlotMap;

use crate::RackKey;
use crate::TeamKey;

/// A grant of one limit and the part of it that is booked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Upper bound of what may be booked.
    pub grant: Resources,
    /// Resources that running tasks have booked.
    pub booked: Resources,
}

impl Budget {
    /// Whether `needs` may be booked in addition.
    #[must_use]
    pub fn admits(&self, needs: &Resources) -> bool {
        self.booked.plus(needs).fits(&self.grant)
    }

    fn book(&mut self, needs: &Resources) {
        self.booked = self.booked.plus(needs);
    }

    fn unbook(&mut self, needs: &Resources) {
        self.booked = self.booked.minus(needs);
    }
}

/// A shard's part of the limits of the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    /// Power of all racks together, in watts.
    pub site_watts: u32,
    /// Power of each rack, in watts.
    pub rack_watts: u32,
    /// Limits of each team.
    pub teams: HashMap<TeamId, TeamGrant>,
}

/// A shard's part of one team's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamGrant {
    /// Upper bound of the resources that the team's tasks may book.
    pub quota: Resources,
    /// Maximum number of waiting jobs of the team.
    pub queue: u32,
}

/// A limit that keeps a job from starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Limit {
    /// Power limit of the site.
    SitePower,
    /// Quota of the job's team.
    TeamQuota,
    /// The job does not fit on the workers now, or exceeds the power limit of
    /// their racks.
    Workers,
}

/// State of a team within one scheduling core.
#[derive(Clone, Debug, Default)]
pub struct TeamEntry {
    /// Quota of the team and the part of it that is booked.
    pub budget: Budget,
    /// Maximum number of waiting jobs.
    pub queue: u32,
    /// Number of waiting jobs.
    pub waiting: u32,
}

impl TeamEntry {
    /// Highest booked share among processor, memory, slots and power of the
    /// quota, in thousandths.
    #[must_use]
    pub fn share(&self) -> u32 {
        let share = |booked: u32, total: u32| match total {
            0 => 0,
            _ => u32::try_from(u64::from(booked) * 1000 / u64::from(total)).unwrap_or(u32::MAX),
        };
        let (booked, total) = (&self.budget.booked, &self.budget.grant);
        share(booked.cpu_milli, total.cpu_milli)
            .max(share(booked.memory_mib, total.memory_mib))
            .max(share(booked.slots, total.slots))
            .max(share(booked.power_watts, total.power_watts))
    }
}

/// All limits of one scheduling core other than the capacity of its workers.
#[derive(Debug, Default)]
pub struct Budgets {
    site: Budget,
    rack_watts: u32,
    racks: SlotMap<RackKey, Budget>,
    rack_names: HashMap<String, RackKey>,
    teams: SlotMap<TeamKey, TeamEntry>,
    team_names: HashMap<TeamId, TeamKey>,
}

impl Budgets {
    /// Applies new grants. Existing bookings stay; where they exceed the new
    /// grant, nothing more starts until enough tasks have ended.
    pub fn grant(&mut self, grants: &Grants) {
        self.site.grant = watts(grants.site_watts);
        self.rack_watts = grants.rack_watts;
        for budget in self.racks.values_mut() {
            budget.grant = watts(grants.rack_watts);
        }
        for team in self.teams.values_mut() {
            team.budget.grant = Resources::default();
            team.queue = 0;
        }
        for (name, grant) in &grants.teams {
            let key = self.team(name);
            self.teams[key].budget.grant = grant.quota;
            self.teams[key].queue = grant.queue;
        }
    }

    /// Key of a team. A team that no grant names is added without a quota.
    pub fn team(&mut self, name: &str) -> TeamKey {
        if let Some(key) = self.team_names.get(name) {
            return *key;
        }
        let key = self.teams.insert(TeamEntry::default());
        self.team_names.insert(name.to_owned(), key);
        key
    }

    /// Key of a rack, which is added if it has none yet.
    pub fn rack(&mut self, name: &str) -> RackKey {
        if let Some(key) = self.rack_names.get(name) {
            return *key;
        }
        let budget = Budget {
            grant: watts(self.rack_watts),
            booked: Resources::default(),
        };
        let key = self.racks.insert(budget);
        self.rack_names.insert(name.to_owned(), key);
        key
    }

    /// State of a team.
    #[must_use]
    pub fn team_entry(&self, team: TeamKey) -> &TeamEntry {
        &self.teams[team]
    }

    pub(crate) fn team_entry_mut(&mut self, team: TeamKey) -> &mut TeamEntry {
        &mut self.teams[team]
    }

    /// Power of the site: granted and booked.
    #[must_use]
    pub fn site(&self) -> &Budget {
        &self.site
    }

    /// Power of each rack: granted and booked.
    pub fn racks(&self) -> impl Iterator<Item = &Budget> {
        self.racks.values()
    }

    /// The limit of the site or the team that `needs` would exceed, if any.
    #[must_use]
    pub fn exceeded_limit(&self, team: TeamKey, needs: &Resources) -> Option<Limit> {
        if !self.site.admits(&watts(needs.power_watts)) {
            return Some(Limit::SitePower);
        }
        if !self.teams[team].budget.admits(needs) {
            return Some(Limit::TeamQuota);
        }
        None
    }

    /// Whether the power limit of the rack admits `needs`.
    #[must_use]
    pub fn rack_admits(&self, rack: RackKey, needs: &Resources) -> bool {
        self.racks[rack].admits(&watts(needs.power_watts))
    }

    pub(crate) fn book_quota(&mut self, team: TeamKey, needs: &Resources) {
        self.teams[team].budget.book(needs);
    }

    pub(crate) fn unbook_quota(&mut self, team: TeamKey, needs: &Resources) {
        self.teams[team].budget.unbook(needs);
    }

    /// Whether the power limit of the site admits `needs`.
    #[must_use]
    pub fn site_admits(&self, needs: &Resources) -> bool {
        self.site.admits(&watts(needs.power_watts))
    }

    pub(crate) fn book(&mut self, team: TeamKey, rack: RackKey, needs: &Resources) {
        let power = watts(needs.power_watts);
        self.site.book(&power);
        self.racks[rack].book(&power);
        self.teams[team].budget.book(needs);
    }

    pub(crate) fn unbook(&mut self, team: TeamKey, rack: RackKey, needs: &Resources) {
        let power = watts(needs.power_watts);
        self.site.unbook(&power);
        self.racks[rack].unbook(&power);
        self.teams[team].budget.unbook(needs);
    }
}

fn watts(power_watts: u32) -> Resources {
    Resources {
        power_watts,
        ..Resources::default()
    }
}
