//! A reader must not skip a change, whatever version its store names.

use domain::{EraVersion, RowVersion, StoreEra};
use quickcheck::{TestResult, quickcheck};
use serving::feed::VersionClaims;

/// A version of the only era of these tests.
fn at(version: u64) -> EraVersion {
    EraVersion::new(StoreEra::UNSTATED, RowVersion(version))
}

fn number(version: EraVersion) -> u64 {
    version
        .within(StoreEra::UNSTATED)
        .map_or(0, |version| version.0)
}

/// Reads a store that builds responses in two steps: the rows first, the version later. Each step is the
/// number of writes that happen between the two, then before the next call. Returns whether each response
/// showed all writes from before its call that the reader did not have.
fn reads_all(steps: &[(u8, u8)]) -> bool {
    let mut claims = VersionClaims::default();
    let mut known = 0;
    let mut newest = 0;
    let mut seen = 0;
    for (during, between) in steps {
        let shown = newest;
        // All rows after `known` are in the response, so `seen` misses nothing up to `shown` if it
        // had everything up to `known`.
        if seen < known {
            return false;
        }
        seen = seen.max(shown);
        newest += u64::from(during % 3);
        known = number(claims.verify(at(known), at(newest)));
        newest += u64::from(between % 3);
    }
    true
}

quickcheck! {
    /// Guards against a change that nobody learns of until the next one, because a response named its
    /// version without its row.
    fn no_change_is_skipped(steps: Vec<(u8, u8)>) -> TestResult {
        if steps.is_empty() {
            return TestResult::discard();
        }
        TestResult::from_bool(reads_all(&steps))
    }

    /// Guards against a reader that asks from further and further back, and gets the same rows each time.
    fn known_version_follows(versions: Vec<u8>) -> bool {
        let mut claims = VersionClaims::default();
        let (mut known, mut named) = (0, 0);
        versions.iter().all(|step| {
            let before = named;
            named += u64::from(*step);
            known = number(claims.verify(at(known), at(named)));
            known >= before && known <= named
        })
    }
}
