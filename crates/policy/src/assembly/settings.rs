//! Weights of the two measures, and what is known of the hosts.

use std::time::Duration;

use bon::Builder;

/// Settings of assembly.
///
/// The two weights state what an operator loses: per hour in which a wanted replica does not
/// serve, and per hour in which a host that is paid for serves nothing. Only their ratio counts.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct AssemblySettings {
    /// Loss per hour and wanted replica that does not serve.
    #[builder(default = 1.0)]
    pub group_downtime: f64,
    /// Loss per hour and host that serves nothing.
    #[builder(default = 1.0)]
    pub stranded: f64,
    /// How long an absent host's replica waits for it.
    ///
    /// A host that was only paused comes back with its weights, and a host that only a probe has
    /// missed still serves: to replace it cuts off every request on the replica. Each further
    /// second costs downtime at every real loss; docs/DECISIONS.md has the figures.
    #[builder(default = Duration::from_secs(10))]
    pub patience: Duration,
    /// Time in which one host fetches its part of the weights while the store is not overloaded.
    #[builder(default = Duration::from_mins(1))]
    pub load_time: Duration,
    /// Hosts that can fetch weights at once, each at its own full rate, under the store's limit.
    #[builder(default = 4)]
    pub parallel_loads: usize,
    /// Time to drain a replica whose hosts are needed elsewhere.
    #[builder(default = Duration::from_mins(2))]
    pub drain_time: Duration,
    /// Steps in which a model goes over to another version where no free hosts are left: in each
    /// at most one part in so many of its replicas is missing. More steps dip less and take longer.
    #[builder(default = 20)]
    pub rollout_steps: usize,
    /// Losses of one host a year that outlast the patience.
    #[builder(default = 15.0)]
    pub losses_a_year: f64,
    /// Mean time until a lost host is back.
    #[builder(default = Duration::from_hours(1))]
    pub repair_time: Duration,
}

impl Default for AssemblySettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

const HOURS_A_YEAR: f64 = 8_760.0;

impl AssemblySettings {
    /// Whether `size` of `free` hosts of a fabric domain stay idle as spares instead of forming
    /// an extra replica, when `needing` hosts there serve in replicas that can't be missed.
    ///
    /// An idle spare takes a lost host's rank at once; a host of an extra replica only after that
    /// replica is drained. So the n-th spare saves one drain on each loss that finds the others
    /// used up. The hosts stay idle while that saves more than they would serve.
    #[must_use]
    pub fn keeps_idle(&self, needing: usize, free: usize, size: usize) -> bool {
        let saved = self.spare_value(needing, free) - self.spare_value(needing, free - size);
        let size = u32::try_from(size).unwrap_or(u32::MAX);
        saved > self.stranded * f64::from(size)
    }

    /// Loss per hour that `spares` idle hosts avoid.
    fn spare_value(&self, needing: usize, spares: usize) -> f64 {
        let needing = u32::try_from(needing).unwrap_or(u32::MAX);
        let losses_an_hour = f64::from(needing) * self.losses_a_year / HOURS_A_YEAR;
        let in_repair = losses_an_hour * self.repair_time.as_secs_f64() / 3_600.0;
        let drain_hours = self.drain_time.as_secs_f64() / 3_600.0;
        let mut exactly = (-in_repair).exp();
        let mut at_least = 1.0;
        let mut saved = 0.0;
        for used in 0..u32::try_from(spares).unwrap_or(u32::MAX) {
            saved += self.group_downtime * losses_an_hour * at_least * drain_hours;
            at_least = (at_least - exactly).max(0.0);
            exactly *= in_repair / f64::from(used + 1);
        }
        saved
    }

    /// Loss per hour while a wanted replica of `hosts` hosts does not serve.
    #[must_use]
    pub fn loss_an_hour(&self, hosts: usize) -> f64 {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.group_downtime + self.stranded * f64::from(hosts)
    }
}
