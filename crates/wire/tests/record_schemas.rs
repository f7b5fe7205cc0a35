//! Conversion of records from and to schema versions 1 and 2.

use domain::RecordSpec;
use domain::record::{
    CustomerRecord, DrainRecord, ModelGrant, ModelRecord, RecordKind, ServiceCall, ServiceRecord,
    VersionPlan,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;
use wire::record::{DEFAULT_SHARE, RecordEnvelope, RecordError, record_to_envelope};

const TEST_COUNT: u64 = 2_000;
const SEED: u64 = 0x5eed_0005;

fn check(property: fn(ValidRecord) -> bool) {
    let generator = Gen::from_size_and_seed(6, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(TEST_COUNT)
        .quickcheck(property);
}

/// A record that satisfies the rules of its kind.
#[derive(Debug, Clone)]
struct ValidRecord(RecordSpec);

fn name<T: std::str::FromStr>(prefix: &str, number: usize) -> T {
    let text = format!("{prefix}{number}");
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a valid name"))
}

fn names<T: std::str::FromStr>(generator: &mut Gen, prefix: &str) -> Vec<T> {
    let count = usize::arbitrary(generator) % 3;
    (0..count).map(|number| name(prefix, number)).collect()
}

fn customer(generator: &mut Gen) -> CustomerRecord {
    let mut grants = Vec::new();
    for number in 0..usize::arbitrary(generator) % 3 {
        let pinned = u8::arbitrary(generator).is_multiple_of(3);
        let has_adapters = u8::arbitrary(generator).is_multiple_of(3);
        grants.push(ModelGrant {
            model: name("m", number),
            version: pinned.then(|| name("v", number)),
            adapters: if has_adapters {
                names(generator, "a")
            } else {
                Vec::new()
            },
        });
    }
    let has_share = u8::arbitrary(generator).is_multiple_of(3);
    CustomerRecord {
        name: name("c", 0),
        key_hashes: vec!["0a".repeat(32); usize::arbitrary(generator) % 3],
        grants,
        services: names(generator, "s"),
        share: if has_share {
            u32::arbitrary(generator) % 1_000 + 1
        } else {
            DEFAULT_SHARE
        },
    }
}

fn model(generator: &mut Gen) -> ModelRecord {
    let count = usize::arbitrary(generator) % 3 + 1;
    let has_adapters = bool::arbitrary(generator);
    ModelRecord {
        name: name("m", 0),
        hosts_per_replica: u32::arbitrary(generator) % 64 + 1,
        versions: (0..count)
            .map(|number| VersionPlan {
                version: name("v", number),
                replicas: u32::arbitrary(generator) % 100,
            })
            .collect(),
        adapters: if has_adapters {
            names(generator, "a")
        } else {
            Vec::new()
        },
    }
}

fn service(generator: &mut Gen) -> ServiceRecord {
    let count = usize::arbitrary(generator) % 3;
    ServiceRecord {
        name: name("s", 0),
        targets: vec![([127, 0, 0, 1], u16::arbitrary(generator)).into()],
        calls: (0..count)
            .map(|number| ServiceCall {
                path: format!("fees/p{number}"),
                idempotent: bool::arbitrary(generator),
                lookup: bool::arbitrary(generator).then(|| "executions".to_owned()),
            })
            .collect(),
    }
}

impl Arbitrary for ValidRecord {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self(match u8::arbitrary(generator) % 4 {
            0 => RecordSpec::Customer(customer(generator)),
            1 => RecordSpec::Model(model(generator)),
            2 => RecordSpec::Service(service(generator)),
            _ => RecordSpec::Drain(DrainRecord {
                name: name("d", 0),
                hosts: vec![name("h", usize::arbitrary(generator) % 9)],
                domains: names(generator, "domain"),
            }),
        })
    }
}

/// Whether schema version 1 can represent the whole record.
fn is_representable_in_v1(record: &RecordSpec) -> bool {
    match record {
        RecordSpec::Customer(customer) => {
            let unrestricted =
                |grant: &ModelGrant| grant.version.is_none() && grant.adapters.is_empty();
            customer.share == DEFAULT_SHARE && customer.grants.iter().all(unrestricted)
        }
        RecordSpec::Model(model) => model.versions.len() == 1 && model.adapters.is_empty(),
        RecordSpec::Service(_) | RecordSpec::Drain(_) => true,
    }
}

#[test]
fn v2_round_trip() {
    fn property(ValidRecord(record): ValidRecord) -> bool {
        let envelope = record_to_envelope(&record, 2).expect("version 2 represents every record");
        RecordSpec::try_from(envelope) == Ok(record)
    }
    check(property);
}

// If a record lost fields on its way to an old client and the client wrote it back, customers would
// lose their adapters. Conversion to version 1 is therefore complete or fails.
#[test]
fn v1_round_trip_or_error() {
    fn property(ValidRecord(record): ValidRecord) -> bool {
        match record_to_envelope(&record, 1) {
            Ok(envelope) => {
                is_representable_in_v1(&record) && RecordSpec::try_from(envelope) == Ok(record)
            }
            Err(RecordError::Unrepresentable { schema: 1, .. }) => !is_representable_in_v1(&record),
            Err(_) => false,
        }
    }
    check(property);
}

#[test]
fn v1_to_v2_and_back() {
    fn property(ValidRecord(record): ValidRecord) -> bool {
        let Ok(v1) = record_to_envelope(&record, 1) else {
            return true;
        };
        let decoded = RecordSpec::try_from(v1.clone()).expect("valid envelope");
        let v2 = record_to_envelope(&decoded, 2).expect("version 2 represents every record");
        let again = RecordSpec::try_from(v2).expect("valid envelope");
        record_to_envelope(&again, 1) == Ok(v1)
    }
    check(property);
}

// A newer program writes a record with a schema version that this one does not support. Parsing what
// it recognizes would put half of the record into force, so the conversion has to fail.
#[test]
fn unsupported_schema_is_rejected() {
    for schema in [0, 3, 4, u32::MAX] {
        let envelope = RecordEnvelope {
            schema,
            kind: RecordKind::Drain,
            name: "d".to_owned(),
            spec: json!({ "hosts": ["h1"] }),
        };
        assert_eq!(
            RecordSpec::try_from(envelope),
            Err(RecordError::UnsupportedSchema(schema))
        );
    }
}

// An operator uses a field of version 2 in a record of version 1. If it were ignored silently, the
// customer would not get its share; the finding names the field.
#[test]
fn unknown_field_is_reported() {
    let envelope = RecordEnvelope {
        schema: 1,
        kind: RecordKind::Customer,
        name: "c".to_owned(),
        spec: json!({ "key_hashes": [], "models": [], "share": 4 }),
    };
    let Err(RecordError::Invalid(findings)) = RecordSpec::try_from(envelope) else {
        panic!("the record is accepted");
    };
    assert!(findings.as_slice()[0].problem.contains("share"));
}
