//! Memory of the jobs whose submission is in progress.

use std::time::Duration;

use cell::JobMemory;
use cell::held_bytes;
use job::JobSpec;
use job::Queue;
use job::StepSpec;

/// Size of the rows of all jobs, in bytes.
const ROW: usize = 1000;

fn queue() -> Queue {
    Queue {
        name: "plain".to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/plain/".to_owned(),
        service: "desk".to_owned(),
        priority: 0,
        attempts: 1,
        stretch: 2.0,
        slack: Duration::ZERO,
        timeout: Duration::from_secs(3),
        advice: None,
        public: true,
    }
}

fn spec(steps: usize) -> JobSpec {
    JobSpec {
        queue: queue(),
        payload: String::new(),
        steps: vec![StepSpec::default(); steps],
        schedule: None,
        received: Duration::ZERO,
        canceled: false,
        organisation: None,
    }
}

// Guards against jobs of many steps that leave no memory to ordinary ones.
#[test]
fn large_jobs_leave_memory_to_small_ones() {
    let large = spec(2000);
    let memory = JobMemory::new(4 * held_bytes(&large, ROW));

    let permits: Vec<_> = (0..5).map(|_| memory.reserve(&large, ROW)).collect();
    let small = memory.reserve(&spec(1), ROW);

    assert_eq!(permits.iter().flatten().count(), 3);
    assert!(small.is_some());
}

// Guards against memory that stays reserved after a job has been answered.
#[test]
fn memory_is_given_back_with_the_permit() {
    let job = spec(1);
    let memory = JobMemory::new(held_bytes(&job, ROW).next_multiple_of(1024));

    let first = memory.reserve(&job, ROW);
    let second = memory.reserve(&job, ROW);
    drop(first);
    let third = memory.reserve(&job, ROW);

    assert!(second.is_none());
    assert!(third.is_some());
}
