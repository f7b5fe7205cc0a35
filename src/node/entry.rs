//! Startup and shutdown of the listener for clients.

use std::future::Future;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use control::CallLedger;
use control::members::MemberView;
use entry::dispatch::state::DispatchSettings;
use entry::settings::SecretText;
use entry::{
    EntryContext, EntryServer, EntrySettings, IdGenerator, RequestDispatcher, ShutdownPhase,
    TokenSigner,
};
use events::{EventCode, EventRecorder, EventSubject};
use eyre::WrapErr;
use intake::ConnectionLimits;
use target::{HttpEngineClient, HttpServiceClient};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use web::server::{PlainAcceptor, StreamAcceptor};
use web::{ReloadableTlsConfig, ServerLimits, serve_with_acceptor};

use super::{NodeContext, NodeTable};

/// A bound listener for clients, which is not served until [`EntryListener::serve`].
pub struct EntryListener {
    /// Address on which clients connect.
    pub address: SocketAddr,
    listener: TcpListener,
    server: Arc<EntryServer<HttpEngineClient, NodeTable, HttpServiceClient>>,
    settings: Arc<EntrySettings>,
    tls: Option<ReloadableTlsConfig>,
    dispatcher: RequestDispatcher,
}

/// Binds the listener for clients.
///
/// # Errors
///
/// When the address can't be bound, or the resume key or the certificate can't be read.
pub async fn bind(
    context: &NodeContext,
    members: watch::Receiver<Arc<MemberView>>,
) -> eyre::Result<EntryListener> {
    let tls = load_certificate(context)?;
    let mut settings = context.settings.entry.clone();
    let resume_key = context.settings.secrets.resume_key()?;
    settings.resume_key = resume_key.map(|key| SecretText::from(key.expose()));
    let settings = Arc::new(settings);
    let targets = context.target_sender.subscribe();
    let dispatch_settings = DispatchSettings::builder()
        .max_evidence_age(settings.max_evidence_age())
        .local_domain(context.settings.domain.clone())
        .max_attempts(settings.max_attempts)
        .seed(process_seed())
        .build();
    let dispatcher = RequestDispatcher::start(dispatch_settings, targets.clone());
    tokio::spawn(update_entry_count(dispatcher.clone(), members));
    let entry_context = EntryContext::builder()
        .config(context.config_sender.subscribe())
        .dispatcher(dispatcher.clone())
        .targets(targets)
        .engine(context.engine.clone())
        .recorder(context.recorder.clone())
        .signer(TokenSigner::new(settings.resume_key.as_ref()))
        .ids(IdGenerator::new(&context.settings.node))
        .settings(Arc::clone(&settings))
        .build();
    let ledger = CallLedger::with_settings(
        context.table.with_high_priority(),
        context.settings.node.clone(),
        context.control.ledger,
    );
    let server = Arc::new(EntryServer::new(
        entry_context,
        ledger,
        context.service.clone(),
    ));
    let listen_address = context.settings.listen;
    let listener = TcpListener::bind(listen_address)
        .await
        .wrap_err_with(|| format!("can't listen on {listen_address}"))?;
    let address = listener.local_addr()?;
    Ok(EntryListener {
        address,
        listener,
        server,
        settings,
        tls,
        dispatcher,
    })
}

/// Tells the dispatcher how many entry nodes share the replicas.
async fn update_entry_count(
    dispatcher: RequestDispatcher,
    mut members: watch::Receiver<Arc<MemberView>>,
) {
    loop {
        let count = members.borrow_and_update().members.len();
        let entry_nodes = u32::try_from(count).unwrap_or(u32::MAX).max(1);
        dispatcher.set_entries(entry_nodes).await;
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Loads the certificate and starts reloading it; none if the settings have no certificate.
fn load_certificate(context: &NodeContext) -> eyre::Result<Option<ReloadableTlsConfig>> {
    let Some(files) = context.settings.tls.files() else {
        return Ok(None);
    };
    let source = ReloadableTlsConfig::load(files)?;
    let period = context.settings.tls.reload_interval();
    tokio::spawn(reload_certificate(
        source.clone(),
        period,
        context.recorder.clone(),
    ));
    Ok(Some(source))
}

/// Checks the certificate's files for changes, and records an event when a new pair is loaded or
/// refused.
async fn reload_certificate(
    source: ReloadableTlsConfig,
    period: Duration,
    recorder: EventRecorder,
) {
    loop {
        tokio::time::sleep(period).await;
        match source.reload() {
            Ok(true) => {
                recorder.record(EventCode::CertificateLoaded, EventSubject::default(), "");
            }
            Ok(false) => {}
            Err(error) => {
                let detail = error.to_string();
                recorder.record(
                    EventCode::CertificateRefused,
                    EventSubject::default(),
                    detail,
                );
            }
        }
    }
}

/// Returns a seed that differs between processes, so that entry nodes that start at the same time
/// don't make the same random choices.
fn process_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

impl EntryListener {
    /// Returns the dispatcher, in which requests wait for a replica.
    pub fn dispatcher(&self) -> &RequestDispatcher {
        &self.dispatcher
    }

    /// Serves until `stop` completes, then shuts down gracefully; see [`entry::shutdown`].
    pub async fn serve(self, stop: impl Future<Output = ()> + Send) {
        match self.tls.clone() {
            Some(source) => self.serve_with_acceptor(source, stop).await,
            None => self.serve_with_acceptor(PlainAcceptor, stop).await,
        }
    }

    async fn serve_with_acceptor<A: StreamAcceptor>(
        self,
        acceptor: A,
        stop: impl Future<Output = ()> + Send,
    ) {
        let shutdown = self.server.shutdown_handle();
        let grace = self.settings.drain_grace();
        let close = async {
            stop.await;
            shutdown.advance(ShutdownPhase::Draining);
            tokio::time::sleep(grace).await;
        };
        let limits = ConnectionLimits {
            stated: self.settings.max_connections,
            stated_requests: self.settings.max_requests,
            ..ConnectionLimits::default()
        };
        let limits = ServerLimits {
            max_connections: limits.max_connections(),
            max_requests: limits.max_requests(),
            idle_timeout: self.settings.idle_timeout(),
            read_timeout: self.settings.read_timeout(),
        };
        let server = Arc::clone(&self.server);
        // Ends with this function.
        let mut reporting = JoinSet::new();
        reporting.spawn(async move { server.report_cuts().await });
        let mut serving = pin!(serve_with_acceptor(
            self.listener,
            acceptor,
            Arc::clone(&self.server),
            limits,
            close
        ));
        let mut phases = shutdown.watch();
        tokio::select! {
            () = &mut serving => return,
            () = phases.stopping() => {}
        }
        let finish = grace + self.settings.finish();
        if tokio::time::timeout(finish, &mut serving).await.is_ok() {
            return;
        }
        shutdown.advance(ShutdownPhase::HandingOver);
        // Without a timeout, a client that stops reading would prevent the process from ending.
        let _ = tokio::time::timeout(self.settings.stop_limit(), serving).await;
    }
}
