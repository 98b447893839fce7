//! Limits of a process's listeners on hosts of several sizes.

use cell::CellSettings;
use cell::ListenerLimits;
use site::LoopbackHost;
use web::Limits;

/// Memory in megabytes and descriptors of hosts, from the smallest to the largest.
const HOSTS: [(usize, usize); 6] = [
    (120, 3075),
    (160, 4100),
    (260, 4100),
    (512, 4100),
    (512, 8192),
    (512, 10_250),
];

/// Memory of a connection, of one that is not accepted yet, and of a request in progress, besides bodies
/// and jobs, in bytes.
const CONNECTION: usize = 48 * 1024;
const QUEUED: usize = 16 * 1024;
const REQUEST: usize = 32 * 1024;

fn limits(memory_mb: usize, descriptors: usize) -> ListenerLimits {
    let store = "127.0.0.1:1".parse().expect("address");
    let text = LoopbackHost::new(1, 0).settings(store, None);
    let mut settings = CellSettings::parse(&text).expect("settings");
    settings.memory_mb = Some(memory_mb);
    settings.descriptors = Some(descriptors);
    ListenerLimits::new(&settings)
}

fn memory(limits: &Limits) -> usize {
    limits.connections * CONNECTION + limits.queue * QUEUED + limits.memory
}

// Guards against listeners that each keep their bound while the sum leaves nothing to the process.
#[test]
fn a_quarter_of_the_host_is_left_when_all_limits_are_reached() {
    for (memory_mb, descriptors) in HOSTS {
        let limits = limits(memory_mb, descriptors);
        let requests = limits.callers.requests;

        let memory = memory(&limits.callers)
            + memory(&limits.peers)
            + 2 * memory(&limits.small)
            + requests * REQUEST
            + limits.jobs;
        let connections = limits.callers.connections
            + limits.peers.connections
            + 2 * limits.small.connections
            + limits.calls;

        assert!(memory <= memory_mb * 750_000, "{memory_mb}: {memory}");
        assert!(
            connections <= descriptors * 3 / 4,
            "{descriptors}: {connections}"
        );
    }
}

// Guards against limits that the clients of a small host reach in ordinary operation.
#[test]
fn the_smallest_host_has_room_for_its_clients() {
    let limits = limits(120, 3075);

    assert!(limits.callers.connections >= 300);
    assert!(limits.peers.connections >= 300);
    assert!(limits.callers.queue >= 600);
    assert!(limits.callers.requests >= 200);
    // A large body may use three quarters.
    assert!(limits.callers.memory * 3 / 4 >= 50 * 262_144);
}
