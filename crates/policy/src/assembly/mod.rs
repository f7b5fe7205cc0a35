//! Which hosts of a fabric domain form which replicas.
//!
//! [`plan_round`] is a pure function from the present state to the steps that should be taken
//! now. It keeps nothing between rounds, so any node that takes the lease over goes on from what
//! the table and the hosts say. Each step is safe to take late or not at all: the next round
//! plans from what has become of it.

mod fabric;
mod form;
mod load;
mod repair;
mod retire;
mod rollout;
mod round;
mod settings;
mod state;

pub use rollout::drain_room;
pub use round::plan_round;
pub use settings::AssemblySettings;
pub use state::{
    AssemblyHost, AssemblyReplica, AssemblyState, AssemblyStep, DissolveReason, DrainReason,
    HostPresence, LoadedWeights, ReplicaStage, WantedReplicas,
};
