//! How many of the hosts that make advice calls are reserved for quick ones.

use cell::quick_helpers;

/// Guards against jobs that stand still once three hosts are left: two of them were reserved for quick
/// calls, and the steps of the less urgent queue got no call at all.
#[test]
fn few_hosts_leave_half_of_the_helpers_to_slow_calls() {
    let reserved = [1, 2, 3, 4, 8, 32].map(quick_helpers);

    assert_eq!(reserved, [0, 1, 1, 2, 2, 8]);
}
