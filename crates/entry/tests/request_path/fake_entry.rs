//! An entry with fake engines, service and table.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use control::{CallLedger, ConfigView, ReplicaView, TargetView};
use domain::record::{
    CustomerRecord, ModelGrant, ModelRecord, ServiceCall, ServiceRecord, VersionPlan,
};
use domain::{
    ConfigRevision, HealthEvidence, IncarnationNumber, LeaseEpoch, RecordSpec, ReplicaPlan,
};
use entry::dispatch::state::DispatchSettings;
use entry::{
    EntryContext, EntryServer, EntrySettings, IdGenerator, RequestDispatcher, TokenSigner,
};
use events::EventRecorder;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use tokio::sync::watch;
use web::WebResponse;
use wire::engine::EngineLoad;

use crate::fake_engine::FakeEngine;
use crate::fake_service::FakeService;
use crate::fake_table::FakeTable;

/// Bearer key of the customer `traders`.
pub const TRADERS_KEY: &str = "traders-key";

/// Bearer key of the customer `clerks`.
pub const CLERKS_KEY: &str = "clerks-key";

/// An entry and access to its fakes.
pub struct FakeEntry {
    pub engine: FakeEngine,
    pub table: FakeTable,
    pub service: FakeService,
    pub targets: watch::Sender<Arc<TargetView>>,
    pub recorder: EventRecorder,
    server: EntryServer<FakeEngine, FakeTable, FakeService>,
    _config: watch::Sender<Arc<ConfigView>>,
}

/// A response with its complete body.
#[derive(Debug)]
pub struct FakeResponse {
    pub status: StatusCode,
    pub retry_after: Option<String>,
    pub allow: Option<String>,
    pub text: String,
}

impl FakeResponse {
    /// Parses the body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Returns a text field of the error; empty if there is none.
    pub fn error(&self, field: &str) -> String {
        let value = &self.json()["error"][field];
        value.as_str().unwrap_or_default().to_owned()
    }

    /// Returns the data of all events of a stream.
    pub fn data(&self) -> Vec<String> {
        let lines = self.text.lines();
        lines
            .filter_map(|line| line.strip_prefix("data: "))
            .map(str::to_owned)
            .collect()
    }
}

fn customer(name: &str, key: &str) -> RecordSpec {
    RecordSpec::Customer(CustomerRecord {
        name: name.parse().expect("an id"),
        key_hashes: vec![entry::auth::sha256_hex(key.as_bytes())],
        grants: vec![ModelGrant {
            model: "help".parse().expect("an id"),
            version: None,
            adapters: vec!["wolof".parse().expect("an id")],
        }],
        services: vec!["licences".parse().expect("an id")],
        share: 1,
    })
}

fn model(name: &str) -> RecordSpec {
    RecordSpec::Model(ModelRecord {
        name: name.parse().expect("an id"),
        hosts_per_replica: 2,
        versions: vec![VersionPlan {
            version: "v1".parse().expect("an id"),
            replicas: 2,
        }],
        adapters: Vec::new(),
    })
}

fn service(name: &str) -> RecordSpec {
    let call = |path: &str, idempotent: bool| ServiceCall {
        path: path.to_owned(),
        idempotent,
        lookup: (!idempotent).then(|| "executions".to_owned()),
    };
    RecordSpec::Service(ServiceRecord {
        name: name.parse().expect("an id"),
        targets: vec!["127.0.0.1:9".parse().expect("an address")],
        calls: vec![call("fees/pay", false), call("licences/find", true)],
    })
}

fn config() -> ConfigView {
    let mut view = ConfigView {
        revision: ConfigRevision(1),
        ..ConfigView::default()
    };
    let records = [
        customer("traders", TRADERS_KEY),
        customer("clerks", CLERKS_KEY),
        model("help"),
        model("secret"),
        service("licences"),
        service("registry"),
    ];
    for record in records {
        view.insert(record);
    }
    view
}

/// Returns a complete replica of two hosts whose leader listens on port `number`.
pub fn replica(number: u16) -> ReplicaView {
    let hosts = vec![
        format!("h{number}a").parse().expect("an id"),
        format!("h{number}b").parse().expect("an id"),
    ];
    let plan = ReplicaPlan {
        id: format!("r{number}").parse().expect("an id"),
        incarnation: IncarnationNumber(1),
        epoch: LeaseEpoch(1),
        fabric: "f0".parse().expect("an id"),
        hosts: hosts.clone(),
        model: "help".parse().expect("an id"),
        version: "v1".parse().expect("an id"),
        adapters: Vec::new(),
        role: domain::replica::ReplicaRole::Both,
        draining: false,
    };
    let evidence = HealthEvidence {
        replica: plan.id.clone(),
        incarnation: plan.incarnation,
        hosts,
        leaving: false,
        age: Duration::ZERO,
    };
    let load = EngineLoad {
        slots: 8,
        ..EngineLoad::default()
    };
    ReplicaView {
        plan,
        leader: Some(([127, 0, 0, 1], number).into()),
        domain: None,
        evidence: Some((evidence, Instant::now())),
        load: Some((load, Instant::now())),
        draining: false,
    }
}

/// Returns a view of the replicas.
pub fn target_view(replicas: Vec<ReplicaView>) -> Arc<TargetView> {
    Arc::new(TargetView {
        replicas: replicas.into_iter().map(Arc::new).collect(),
    })
}

impl FakeEntry {
    /// Starts an entry with two complete replicas.
    pub fn new() -> Self {
        let settings = EntrySettings::builder()
            .evidence_ms(60_000)
            .silence_ms(400)
            .build();
        Self::start("e0", settings, FakeTable::default(), FakeService::default())
    }

    /// Starts an entry with two complete replicas on a given table and service.
    pub fn start(
        node: &str,
        settings: EntrySettings,
        table: FakeTable,
        service: FakeService,
    ) -> Self {
        let node: domain::NodeId = node.parse().expect("an id");
        let settings = Arc::new(settings);
        let targets = watch::Sender::new(target_view(vec![replica(1), replica(2)]));
        let (config, config_receiver) = watch::channel(Arc::new(config()));
        let engine = FakeEngine::default();
        let recorder = EventRecorder::new(node.clone(), 1_000);
        let dispatcher = DispatchSettings::builder()
            .max_evidence_age(settings.max_evidence_age())
            .max_attempts(settings.max_attempts)
            .seed(1)
            .build();
        let context = EntryContext::builder()
            .config(config_receiver)
            .targets(targets.subscribe())
            .engine(engine.clone())
            .recorder(recorder.clone())
            .signer(TokenSigner::new(Some(&"one key".into())))
            .dispatcher(RequestDispatcher::start(dispatcher, targets.subscribe()))
            .ids(IdGenerator::new(&node))
            .settings(settings)
            .build();
        let ledger = CallLedger::new(table.clone(), node);
        Self {
            server: EntryServer::new(context, ledger, service.clone()),
            engine,
            table,
            service,
            targets,
            recorder,
            _config: config,
        }
    }

    /// Sends a request without changes.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> FakeResponse {
        read_response(self.server.handle_request(request).await).await
    }

    /// Sends a POST request as the customer `traders`.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> FakeResponse {
        self.send(post(TRADERS_KEY, path, headers, body)).await
    }
}

/// Builds a POST request.
pub fn post(key: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(path)
        .header("authorization", format!("Bearer {key}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::from(body.to_owned()))
        .expect("a request")
}

async fn read_response(response: WebResponse) -> FakeResponse {
    let status = response.status();
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (retry_after, allow) = (header("retry-after"), header("allow"));
    let body = response.into_body().collect().await.expect("a body");
    FakeResponse {
        status,
        retry_after,
        allow,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}
