//! A restored store shows entries of processes that have ended. They must not be sent to again.

use std::time::Duration;

use domain::BootNumber;
use serving::TargetProcess;
use serving::departed::DepartedTargets;

const START: Duration = Duration::from_secs(1);

fn process(boot: u64) -> TargetProcess {
    TargetProcess {
        host: "e-1".parse().expect("a host"),
        boot: BootNumber(boot),
    }
}

/// Requests went to a process that had ended, since the copy held its entry and not that of its successor.
#[test]
fn predecessor_has_left() {
    let departed = DepartedTargets::default();
    assert!(departed.has_left(&process(1), Some(BootNumber(2)), START));
    assert!(!departed.has_left(&process(2), Some(BootNumber(2)), START));
    assert!(!departed.has_left(&process(3), Some(BootNumber(2)), START));
}

/// The same after the successor has ended as well, in whatever order their removals were read.
#[test]
fn predecessors_of_removed_have_left() {
    let mut departed = DepartedTargets::default();
    departed.record(process(2), START);
    departed.record(process(1), START);
    assert!(departed.has_left(&process(1), None, START));
    assert!(departed.has_left(&process(2), None, START));
    assert!(!departed.has_left(&process(3), None, START));
    let later = START + Duration::from_mins(1);
    assert!(!departed.has_left(&process(2), None, later));
}
