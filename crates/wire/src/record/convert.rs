//! Conversion between record contents and domain types, which follow the newest schema version.

use domain::record::{
    CustomerRecord, DrainRecord, ModelGrant, ModelRecord, ServiceCall, ServiceRecord, VersionPlan,
};
use domain::{CustomerId, ModelName, RecordName, ServiceName};

use super::spec::{
    CallSpec, CustomerSpecV1, CustomerSpecV2, DrainSpec, GrantSpecV2, ModelSpecV1, ModelSpecV2,
    ServiceSpec, VersionSpecV2,
};
use super::{DEFAULT_SHARE, RecordError};

pub(super) fn customer_from_v1(name: CustomerId, spec: CustomerSpecV1) -> CustomerRecord {
    let grants = spec
        .models
        .into_iter()
        .map(|model| ModelGrant {
            model,
            version: None,
            adapters: Vec::new(),
        })
        .collect();
    CustomerRecord {
        name,
        key_hashes: spec.key_hashes,
        grants,
        services: spec.services,
        share: DEFAULT_SHARE,
    }
}

pub(super) fn customer_from_v2(name: CustomerId, spec: CustomerSpecV2) -> CustomerRecord {
    let grants = spec
        .grants
        .into_iter()
        .map(|grant| ModelGrant {
            model: grant.model,
            version: grant.version,
            adapters: grant.adapters,
        })
        .collect();
    CustomerRecord {
        name,
        key_hashes: spec.key_hashes,
        grants,
        services: spec.services,
        share: spec.share,
    }
}

pub(super) fn customer_to_v1(customer: &CustomerRecord) -> Result<CustomerSpecV1, RecordError> {
    if customer.share != DEFAULT_SHARE {
        return Err(RecordError::Unrepresentable {
            schema: 1,
            place: "spec.share",
        });
    }
    for grant in &customer.grants {
        if grant.version.is_none() && grant.adapters.is_empty() {
            continue;
        }
        return Err(RecordError::Unrepresentable {
            schema: 1,
            place: "spec.grants",
        });
    }
    Ok(CustomerSpecV1 {
        key_hashes: customer.key_hashes.clone(),
        models: customer
            .grants
            .iter()
            .map(|grant| grant.model.clone())
            .collect(),
        services: customer.services.clone(),
    })
}

pub(super) fn customer_to_v2(customer: &CustomerRecord) -> CustomerSpecV2 {
    let grants = customer
        .grants
        .iter()
        .map(|grant| GrantSpecV2 {
            model: grant.model.clone(),
            version: grant.version.clone(),
            adapters: grant.adapters.clone(),
        })
        .collect();
    CustomerSpecV2 {
        key_hashes: customer.key_hashes.clone(),
        grants,
        services: customer.services.clone(),
        share: customer.share,
    }
}

pub(super) fn model_from_v1(name: ModelName, spec: ModelSpecV1) -> ModelRecord {
    ModelRecord {
        name,
        hosts_per_replica: spec.hosts_per_replica,
        versions: vec![VersionPlan {
            version: spec.version,
            replicas: spec.replicas,
        }],
        adapters: Vec::new(),
    }
}

pub(super) fn model_from_v2(name: ModelName, spec: ModelSpecV2) -> ModelRecord {
    let versions = spec
        .versions
        .into_iter()
        .map(|plan| VersionPlan {
            version: plan.version,
            replicas: plan.replicas,
        })
        .collect();
    ModelRecord {
        name,
        hosts_per_replica: spec.hosts_per_replica,
        versions,
        adapters: spec.adapters,
    }
}

pub(super) fn model_to_v1(model: &ModelRecord) -> Result<ModelSpecV1, RecordError> {
    if !model.adapters.is_empty() {
        return Err(RecordError::Unrepresentable {
            schema: 1,
            place: "spec.adapters",
        });
    }
    let [plan] = model.versions.as_slice() else {
        return Err(RecordError::Unrepresentable {
            schema: 1,
            place: "spec.versions",
        });
    };
    Ok(ModelSpecV1 {
        version: plan.version.clone(),
        replicas: plan.replicas,
        hosts_per_replica: model.hosts_per_replica,
    })
}

pub(super) fn model_to_v2(model: &ModelRecord) -> ModelSpecV2 {
    let versions = model
        .versions
        .iter()
        .map(|plan| VersionSpecV2 {
            version: plan.version.clone(),
            replicas: plan.replicas,
        })
        .collect();
    ModelSpecV2 {
        hosts_per_replica: model.hosts_per_replica,
        versions,
        adapters: model.adapters.clone(),
    }
}

pub(super) fn service_from_spec(name: ServiceName, spec: ServiceSpec) -> ServiceRecord {
    let calls = spec
        .calls
        .into_iter()
        .map(|call| ServiceCall {
            path: call.path,
            idempotent: call.idempotent,
            lookup: call.lookup,
        })
        .collect();
    ServiceRecord {
        name,
        targets: spec.targets,
        calls,
    }
}

pub(super) fn service_to_spec(service: &ServiceRecord) -> ServiceSpec {
    let calls = service
        .calls
        .iter()
        .map(|call| CallSpec {
            path: call.path.clone(),
            idempotent: call.idempotent,
            lookup: call.lookup.clone(),
        })
        .collect();
    ServiceSpec {
        targets: service.targets.clone(),
        calls,
    }
}

pub(super) fn drain_from_spec(name: RecordName, spec: DrainSpec) -> DrainRecord {
    DrainRecord {
        name,
        hosts: spec.hosts,
        domains: spec.domains,
    }
}

pub(super) fn drain_to_spec(drain: &DrainRecord) -> DrainSpec {
    DrainSpec {
        hosts: drain.hosts.clone(),
        domains: drain.domains.clone(),
    }
}
