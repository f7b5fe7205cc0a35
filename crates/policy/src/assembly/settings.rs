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
    /// A host that was only paused comes back with its weights, and its replica serves at once; a
    /// replacement has to fetch them first. Longer than the load itself it is never worth it.
    #[builder(default = Duration::from_secs(30))]
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
    /// Losses of one host a year that outlast the patience.
    #[builder(default = 10.0)]
    pub losses_a_year: f64,
    /// Mean time until a lost host is back.
    #[builder(default = Duration::from_hours(4))]
    pub repair_time: Duration,
}

impl Default for AssemblySettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

const HOURS_A_YEAR: f64 = 8_760.0;

/// Most spares that a fabric domain keeps idle.
const MAX_IDLE: usize = 64;

impl AssemblySettings {
    /// Hosts of a fabric domain of `hosts` that stay idle as spares instead of forming an extra
    /// replica.
    ///
    /// An idle spare takes a lost host's rank at once; a host of an extra replica only after that
    /// replica is drained. So the n-th spare saves the drain on each loss that meets fewer than n
    /// hosts in repair beyond it, and costs its own idleness. It is kept while it saves more.
    #[must_use]
    pub fn idle_spares(&self, hosts: usize) -> usize {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let losses_an_hour = f64::from(hosts) * self.losses_a_year / HOURS_A_YEAR;
        let in_repair = losses_an_hour * self.repair_time.as_secs_f64() / 3_600.0;
        let drain_hours = self.drain_time.as_secs_f64() / 3_600.0;
        let mut chance = (-in_repair).exp();
        let mut at_least = 1.0;
        for spares in 0..MAX_IDLE {
            let saved = self.group_downtime * losses_an_hour * at_least * drain_hours;
            if saved <= self.stranded {
                return spares;
            }
            at_least = (at_least - chance).max(0.0);
            let next = u32::try_from(spares + 1).unwrap_or(u32::MAX);
            chance *= in_repair / f64::from(next);
        }
        MAX_IDLE
    }

    /// Loss per hour while a wanted replica of `hosts` hosts does not serve.
    #[must_use]
    pub fn loss_an_hour(&self, hosts: usize) -> f64 {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.group_downtime + self.stranded * f64::from(hosts)
    }
}
