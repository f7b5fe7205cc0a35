//! Records in schema versions 1 and 2: conversion both ways.

use domain::RecordSpec;
use domain::record::{
    CustomerRecord, DrainRecord, ModelGrant, ModelRecord, RecordKind, ServiceCall, ServiceRecord,
    VersionPlan,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;
use wire::record::{DEFAULT_SHARE, RecordEnvelope, RecordError, record_to_envelope};

const TESTS: u64 = 2_000;
const SEED: u64 = 0x5eed_0005;

fn check(property: fn(SoundRecord) -> bool) {
    let source = Gen::from_size_and_seed(6, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(TESTS)
        .quickcheck(property);
}

/// A record that keeps the rules of its kind.
#[derive(Debug, Clone)]
struct SoundRecord(RecordSpec);

fn name<T: std::str::FromStr>(prefix: &str, number: usize) -> T {
    let text = format!("{prefix}{number}");
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a name"))
}

fn names<T: std::str::FromStr>(source: &mut Gen, prefix: &str) -> Vec<T> {
    let count = usize::arbitrary(source) % 3;
    (0..count).map(|number| name(prefix, number)).collect()
}

fn customer(source: &mut Gen) -> CustomerRecord {
    let mut grants = Vec::new();
    for number in 0..usize::arbitrary(source) % 3 {
        let pinned = u8::arbitrary(source).is_multiple_of(3);
        let adapted = u8::arbitrary(source).is_multiple_of(3);
        grants.push(ModelGrant {
            model: name("m", number),
            version: pinned.then(|| name("v", number)),
            adapters: if adapted {
                names(source, "a")
            } else {
                Vec::new()
            },
        });
    }
    let weighted = u8::arbitrary(source).is_multiple_of(3);
    CustomerRecord {
        name: name("c", 0),
        key_hashes: vec!["0a".repeat(32); usize::arbitrary(source) % 3],
        grants,
        services: names(source, "s"),
        share: if weighted {
            u32::arbitrary(source) % 1_000 + 1
        } else {
            DEFAULT_SHARE
        },
    }
}

fn model(source: &mut Gen) -> ModelRecord {
    let count = usize::arbitrary(source) % 3 + 1;
    let adapted = bool::arbitrary(source);
    ModelRecord {
        name: name("m", 0),
        hosts_per_replica: u32::arbitrary(source) % 64 + 1,
        versions: (0..count)
            .map(|number| VersionPlan {
                version: name("v", number),
                replicas: u32::arbitrary(source) % 100,
            })
            .collect(),
        adapters: if adapted {
            names(source, "a")
        } else {
            Vec::new()
        },
    }
}

fn service(source: &mut Gen) -> ServiceRecord {
    let count = usize::arbitrary(source) % 3;
    ServiceRecord {
        name: name("s", 0),
        targets: vec![([127, 0, 0, 1], u16::arbitrary(source)).into()],
        calls: (0..count)
            .map(|number| ServiceCall {
                path: format!("fees/p{number}"),
                idempotent: bool::arbitrary(source),
                lookup: bool::arbitrary(source).then(|| "executions".to_owned()),
            })
            .collect(),
    }
}

impl Arbitrary for SoundRecord {
    fn arbitrary(source: &mut Gen) -> Self {
        Self(match u8::arbitrary(source) % 4 {
            0 => RecordSpec::Customer(customer(source)),
            1 => RecordSpec::Model(model(source)),
            2 => RecordSpec::Service(service(source)),
            _ => RecordSpec::Drain(DrainRecord {
                name: name("d", 0),
                hosts: vec![name("h", usize::arbitrary(source) % 9)],
                domains: names(source, "domain"),
            }),
        })
    }
}

/// What schema version 1 has words for.
fn plain(record: &RecordSpec) -> bool {
    match record {
        RecordSpec::Customer(customer) => {
            let bare = |grant: &ModelGrant| grant.version.is_none() && grant.adapters.is_empty();
            customer.share == DEFAULT_SHARE && customer.grants.iter().all(bare)
        }
        RecordSpec::Model(model) => model.versions.len() == 1 && model.adapters.is_empty(),
        RecordSpec::Service(_) | RecordSpec::Drain(_) => true,
    }
}

#[test]
fn second_keeps_all() {
    fn property(SoundRecord(record): SoundRecord) -> bool {
        let frame = record_to_envelope(&record, 2).expect("version 2 says everything");
        RecordSpec::try_from(frame) == Ok(record)
    }
    check(property);
}

// A record is shortened on the way to an old client, which writes it back: customers lose their
// adapters. So version 1 either says all of it or refuses.
#[test]
fn first_keeps_or_refuses() {
    fn property(SoundRecord(record): SoundRecord) -> bool {
        match record_to_envelope(&record, 1) {
            Ok(frame) => plain(&record) && RecordSpec::try_from(frame) == Ok(record),
            Err(RecordError::Unrepresentable { schema: 1, .. }) => !plain(&record),
            Err(_) => false,
        }
    }
    check(property);
}

#[test]
fn first_to_second_and_back() {
    fn property(SoundRecord(record): SoundRecord) -> bool {
        let Ok(first) = record_to_envelope(&record, 1) else {
            return true;
        };
        let read = RecordSpec::try_from(first.clone()).expect("it was written here");
        let second = record_to_envelope(&read, 2).expect("version 2 says everything");
        let again = RecordSpec::try_from(second).expect("it was written here");
        record_to_envelope(&again, 1) == Ok(first)
    }
    check(property);
}

// A newer program writes a record of a schema that this one does not know. Guessing would put
// half of it into force; it must be named as unknown.
#[test]
fn unknown_schema_named() {
    for schema in [0, 3, 4, u32::MAX] {
        let frame = RecordEnvelope {
            schema,
            kind: RecordKind::Drain,
            name: "d".to_owned(),
            spec: json!({ "hosts": ["h1"] }),
        };
        assert_eq!(
            RecordSpec::try_from(frame),
            Err(RecordError::UnknownSchema(schema))
        );
    }
}

// An operator writes a key of version 2 into a record of version 1. Ignored in silence, the
// customer would go without his share; the finding names the place.
#[test]
fn stray_key_found() {
    let frame = RecordEnvelope {
        schema: 1,
        kind: RecordKind::Customer,
        name: "c".to_owned(),
        spec: json!({ "key_hashes": [], "models": [], "share": 4 }),
    };
    let Err(RecordError::Invalid(findings)) = RecordSpec::try_from(frame) else {
        panic!("it is taken");
    };
    assert!(findings.as_slice()[0].problem.contains("share"));
}
