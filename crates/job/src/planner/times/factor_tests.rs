//! Tests of the estimated factors.

use super::*;

/// Guards against a successor that continues with another speed than its predecessor learnt.
#[test]
fn a_learnt_factor_is_restored() {
    for ratio in [-0.5, 0.0, 0.47, 1.6] {
        let mut factor = Factor::default();
        for _ in 0..12 {
            factor.observe(ratio, 0.03);
        }
        let (log_factor, weight) = factor.learnt();

        let restored = Factor::restored(log_factor, weight);

        assert!((restored.log() - factor.log()).abs() < 0.006);
        assert_eq!(restored.learnt(), (log_factor, weight));
        assert!(restored.known());
    }
}

/// Guards against a worker that counts as slow for good since one task takes long anywhere.
#[test]
fn one_long_task_hardly_changes_a_factor() {
    let mut factor = Factor::default();
    for _ in 0..12 {
        factor.observe(-0.5, 0.03);
    }

    factor.observe(1.4, 0.03);

    assert!(factor.log() < -0.3, "{}", factor.log());
}
