//! Regions in which requests may be served.
//!
//! Routes and customers may name the regions in which their requests may be served. A target is used only if
//! all hosts of its replica are in one of them, and a request passes only through nodes there, or in the
//! region of the node that received it. A failure domain whose region is not known is in none.

use domain::{DomainId, FastMap, RegionId};

/// Regions in which requests may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionSet(Vec<RegionId>);

impl RegionSet {
    /// A set of these regions; an empty one allows none.
    #[must_use]
    pub fn new(regions: Vec<RegionId>) -> Self {
        Self(regions)
    }

    /// Whether requests may be served in a region.
    #[must_use]
    pub fn contains(&self, region: &RegionId) -> bool {
        self.0.contains(region)
    }

    /// The regions that the restrictions of a route and of a customer both allow; `None` if neither has any.
    #[must_use]
    pub fn intersect(route: Option<&Self>, customer: Option<&Self>) -> Option<Self> {
        let (Some(route), Some(customer)) = (route, customer) else {
            return route.or(customer).cloned();
        };
        let common = route.0.iter().filter(|region| customer.contains(region));
        Some(Self(common.cloned().collect()))
    }
}

/// Regions of the failure domains, and the one of this node.
#[derive(Debug, Clone, Default)]
pub struct RegionMap {
    own: Option<RegionId>,
    domains: FastMap<DomainId, RegionId>,
}

impl RegionMap {
    /// A map from failure domains to regions. The region of this node is that of its failure domain if it is
    /// not stated.
    #[must_use]
    pub fn new(
        own: Option<RegionId>,
        own_domain: &DomainId,
        domains: FastMap<DomainId, RegionId>,
    ) -> Self {
        let own = own.or_else(|| domains.get(own_domain).cloned());
        Self { own, domains }
    }

    /// Whether a target may be used whose replica has hosts in these failure domains; `None` stands for a host
    /// that is not known.
    pub fn allows_target<'a>(
        &self,
        allowed: &RegionSet,
        domains: impl IntoIterator<Item = Option<&'a DomainId>>,
    ) -> bool {
        for domain in domains {
            let region = domain.and_then(|domain| self.domains.get(domain));
            if !region.is_some_and(|region| allowed.contains(region)) {
                return false;
            }
        }
        true
    }

    /// Whether a request may pass through a node in a failure domain: one in an allowed region, or in the
    /// region of this node, which has the request already.
    #[must_use]
    pub fn allows_relay(&self, allowed: &RegionSet, domain: &DomainId) -> bool {
        let region = self.domains.get(domain);
        region.is_some_and(|region| allowed.contains(region) || self.own.as_ref() == Some(region))
    }
}
