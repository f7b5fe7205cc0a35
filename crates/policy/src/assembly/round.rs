//! One round of assembly.

use super::fabric::RoundView;
use super::settings::AssemblySettings;
use super::state::{AssemblyState, AssemblyStep};
use super::{form, load, repair, retire};

/// Plans the steps to take now, in the order in which to take them.
///
/// First what is not wanted gives its hosts back, then broken replicas are made whole, then
/// missing ones are formed, then hosts that are left form extra ones, and last the loads are
/// chosen that the weight store's rate allows. No host stands in two steps.
#[must_use]
pub fn plan_round(state: &AssemblyState, settings: &AssemblySettings) -> Vec<AssemblyStep> {
    let mut view = RoundView::new(state, settings);
    let mut steps = Vec::new();
    retire::plan(&mut view, &mut steps);
    repair::plan(&mut view, &mut steps);
    form::plan(&mut view, &mut steps);
    load::plan(&view, &mut steps);
    steps
}
