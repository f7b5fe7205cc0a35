//! Whole rows filled the links of the nodes that pass them on; a patch must give the same row.

use bytes::Bytes;
use serving::feed::RowPatch;

cases::properties! {
    /// Guards against a row that differs at the node that follows.
    fn patch_restores_value(prefix: Vec<u8>, old: Vec<u8>, new: Vec<u8>, suffix: Vec<u8>) -> bool {
        let old = [prefix.as_slice(), &old, &suffix].concat();
        let new = Bytes::from([prefix.as_slice(), &new, &suffix].concat());
        RowPatch::between(&old, &new).apply(&old) == Some(new)
    }

    /// Guards against a panic at a forged patch.
    fn any_patch_is_handled(old: Vec<u8>, prefix: usize, suffix: usize) -> bool {
        let middle = Bytes::new();
        let patch = RowPatch { prefix, suffix, middle };
        patch.apply(&old).is_none_or(|new| new.len() <= old.len())
    }
}

/// Guards against a change of state that costs a whole description on each link.
#[test]
fn change_of_state_is_short() {
    let row = |state: &str| {
        let text = format!(
            r#"{{"service":"chat","address":"10.1.0.9:80","state":"{state}","models":[{{"name":"m0"}}]}}"#
        );
        Bytes::from(text)
    };
    let patch = RowPatch::between(&row("ready"), &row("draining"));
    assert!(patch.middle.len() <= "draining".len());
}
