//! The processes of the cell, as read from their lease rows.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::Incarnation;
use store::RowVersion;

use crate::LeaseRow;
use crate::LeaseState;
use crate::MemberRow;

/// A process with a lease row, as last read.
#[derive(Clone, Debug)]
pub struct ObservedMember {
    /// Constant properties of the process.
    pub info: MemberRow,
    /// Its lease row.
    pub lease: LeaseRow,
    /// Version of its lease row.
    pub version: RowVersion,
    /// End of the read that first returned this version.
    first_seen: Instant,
    /// Start of the newest read that returned this version.
    last_seen: Instant,
}

impl ObservedMember {
    /// Whether its lease row has not changed for `ttl`, measured on this
    /// process's monotonic clock only; clocks of other hosts are not compared.
    #[must_use]
    pub fn is_stale(&self, ttl: Duration) -> bool {
        self.last_seen.saturating_duration_since(self.first_seen) >= ttl
    }

    /// Earliest moment at which the lease can be stale.
    #[must_use]
    pub fn stale_at(&self, ttl: Duration) -> Instant {
        self.first_seen + ttl
    }
}

/// All processes that have a lease row.
#[derive(Clone, Debug, Default)]
pub struct Members {
    observed: HashMap<Incarnation, ObservedMember>,
    /// End of the newest read.
    last_read: Option<Instant>,
}

/// A lease row with its process, as read from the table.
#[derive(Clone, Debug)]
pub struct ObservedLease {
    /// Incarnation of the process.
    pub process: Incarnation,
    /// Version of the lease row.
    pub version: RowVersion,
    /// The lease row.
    pub lease: LeaseRow,
    /// Constant properties of the process.
    pub info: MemberRow,
}

/// One read of all lease rows.
#[derive(Debug)]
pub struct LeaseScan {
    /// When the read started.
    pub started_at: Instant,
    /// When the read ended.
    pub ended_at: Instant,
    /// All leases that were read.
    pub leases: Vec<ObservedLease>,
}

impl Members {
    /// Applies one read of all lease rows. After a gap of at least `ttl`
    /// between two reads (the table was unavailable, or this process was
    /// paused), the ages of all leases start at zero again: no process could
    /// renew during an outage, and the first process to reach the table must
    /// not expire all others.
    pub fn observe(&mut self, scan: LeaseScan, ttl: Duration) {
        let gap = self
            .last_read
            .is_some_and(|at| scan.started_at.duration_since(at) >= ttl);
        self.last_read = Some(scan.ended_at);
        if gap {
            self.observed.clear();
        }
        let mut observed = HashMap::new();
        for scanned in scan.leases {
            let previous = self.observed.remove(&scanned.process);
            let first_seen = match previous {
                Some(member) if member.version == scanned.version => member.first_seen,
                _ => scan.ended_at,
            };
            let member = ObservedMember {
                info: scanned.info,
                lease: scanned.lease,
                version: scanned.version,
                first_seen,
                last_seen: scan.started_at,
            };
            observed.insert(scanned.process, member);
        }
        self.observed = observed;
    }

    /// When the newest read ended, if there was one.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.last_read
    }

    /// The process with this incarnation.
    #[must_use]
    pub fn get(&self, process: &str) -> Option<&ObservedMember> {
        self.observed.get(process)
    }

    /// All processes.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, &ObservedMember)> {
        self.observed.iter()
    }

    /// Processes that may take shards: their leases are live and not stale.
    pub fn live(&self, ttl: Duration) -> impl Iterator<Item = (&Incarnation, &ObservedMember)> {
        let is_live = move |member: &ObservedMember| {
            member.lease.state == LeaseState::Live && !member.is_stale(ttl)
        };
        self.observed
            .iter()
            .filter(move |(_, member)| is_live(member))
    }

    /// Whether the shards of an owner may be claimed: its lease is removed or
    /// expired.
    #[must_use]
    pub fn is_gone_or_expired(&self, process: &str) -> bool {
        self.get(process)
            .is_none_or(|member| member.lease.state == LeaseState::Expired)
    }

    /// Earliest moment at which a lease that is not expired can be stale.
    #[must_use]
    pub fn next_stale(&self, ttl: Duration) -> Option<Instant> {
        let not_expired = |member: &&ObservedMember| member.lease.state != LeaseState::Expired;
        let times = self
            .observed
            .values()
            .filter(not_expired)
            .map(|m| m.stale_at(ttl));
        times.min()
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;
    use std::time::Instant;

    use super::LeaseScan;
    use super::Members;
    use super::ObservedLease;
    use crate::FORMAT;
    use crate::LeaseRow;
    use crate::LeaseState;
    use crate::MemberRow;

    const TTL: Duration = Duration::from_secs(2);

    fn scan(at: Instant, version: u64) -> LeaseScan {
        let address = ([127, 0, 0, 1], 1).into();
        let lease = LeaseRow {
            format: FORMAT,
            state: LeaseState::Live,
            counter: version,
            config: 0,
        };
        let info = MemberRow {
            format: FORMAT,
            name: "a".to_owned(),
            peer: address,
            http: address,
            domain: "tacoma".to_owned(),
        };
        let scanned = ObservedLease {
            process: "a-1".to_owned(),
            version,
            lease,
            info,
        };
        LeaseScan {
            started_at: at,
            ended_at: at,
            leases: vec![scanned],
        }
    }

    #[test]
    fn a_lease_unchanged_for_the_ttl_is_stale() {
        let start = Instant::now();
        let mut members = Members::default();

        members.observe(scan(start, 1), TTL);
        members.observe(scan(start + TTL / 2, 1), TTL);
        members.observe(scan(start + TTL, 1), TTL);

        assert!(members.get("a-1").is_some_and(|m| m.is_stale(TTL)));
    }

    // Guards against a process expiring the lease of a healthy one after a
    // pause: it reads the lease, is paused for longer than the TTL, and reads
    // again. Age must not count from the clock alone: a renewed lease has
    // another version, and its age starts at zero with that read.
    #[test]
    fn a_paused_observer_does_not_expire_a_renewed_lease() {
        let start = Instant::now();
        let mut members = Members::default();

        members.observe(scan(start, 1), TTL);
        members.observe(scan(start + TTL * 5, 2), TTL);

        assert!(members.get("a-1").is_some_and(|m| !m.is_stale(TTL)));
    }

    // Guards against the first process that reaches the table after an outage
    // taking all shards: no process could renew for 30 s, and the leases are
    // read unchanged. The duration of the outage must not count as age.
    #[test]
    fn an_outage_does_not_count_as_lease_age() {
        let start = Instant::now();
        let mut members = Members::default();

        members.observe(scan(start, 1), TTL);
        members.observe(scan(start + TTL * 15, 1), TTL);

        assert!(members.get("a-1").is_some_and(|m| !m.is_stale(TTL)));
    }
}
