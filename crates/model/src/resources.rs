//! Resource amounts: the capacity of workers and the needs of tasks.

use serde::Deserialize;
use serde::Serialize;

/// Processor, memory, accelerators, slots and power of a task or a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Memory, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Number of task slots; each task takes one.
    #[serde(default)]
    pub slots: u32,
    /// Electric power, in watts.
    #[serde(default)]
    pub power_watts: u32,
}

impl Resources {
    /// Whether all of `self` fits into `free`.
    #[must_use]
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
            && self.slots <= free.slots
            && self.power_watts <= free.power_watts
    }

    /// How many copies of `self` fit into `all`. A field that is 0 in `self` sets
    /// no limit.
    #[must_use]
    pub fn fit_times(&self, all: &Resources) -> u32 {
        let times = |need: u32, have: u32| have.checked_div(need).unwrap_or(u32::MAX);
        times(self.cpu_milli, all.cpu_milli)
            .min(times(self.memory_mib, all.memory_mib))
            .min(times(self.accelerators, all.accelerators))
            .min(times(self.slots, all.slots))
            .min(times(self.power_watts, all.power_watts))
    }

    /// Adds field by field, saturating at the maximum of the field type.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
            slots: self.slots.saturating_add(other.slots),
            power_watts: self.power_watts.saturating_add(other.power_watts),
        }
    }

    /// Subtracts field by field, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            slots: self.slots.saturating_sub(other.slots),
            power_watts: self.power_watts.saturating_sub(other.power_watts),
        }
    }

    /// Multiplies each field by `count`, saturating at the maximum of the field type.
    #[must_use]
    pub fn times(&self, count: u32) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
            slots: self.slots.saturating_mul(count),
            power_watts: self.power_watts.saturating_mul(count),
        }
    }
}
