//! Up to which version a reader knows a table of the store.

use std::cmp::Ordering;

use domain::EraVersion;

/// The version that the last response named.
///
/// A response names the newest version of the store beside the rows that changed. If the two are not of
/// one moment, a write between them is in neither: a reader that goes on from the named version misses it
/// until the row changes again, and so do all that follow it, with data that looks confirmed. A call that
/// begins after the response shows such a write, so a version counts only once it does.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionClaims {
    named: Option<EraVersion>,
}

impl VersionClaims {
    /// Takes in a response to a call for changes after `after` that names `named`, of the same era; returns the
    /// version up to which the table is known with its rows.
    pub fn verify(&mut self, after: EraVersion, named: EraVersion) -> EraVersion {
        let before = self.named.replace(named);
        let newer = before.filter(|before| before.compare(after) == Some(Ordering::Greater));
        newer.unwrap_or(after)
    }
}
