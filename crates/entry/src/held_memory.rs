//! Memory that a node holds for all its clients together: requests that are handled, their bodies, and responses that are
//! not read.
//!
//! The load that this handles: many clients that send most of a large body and then nothing, or that read nothing of
//! their responses. Each may be within the limit of one, and all of them together take the memory of the process, or the
//! slots of all targets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use domain::FastMap;
use events::{EventCode, EventRecorder, EventSubject};
use http_body_util::BodyExt as _;
use serving::held_bytes::{HeldLedger, HolderKey};
use tokio::sync::Notify;
use tokio::time::timeout;
use web::body::BodyPieces;
use web::{BodyError, ConnectionCloser};

use crate::server::RequestBody;

/// Memory that a request takes while it is handled, without its body and its connection: its state, the events that wait
/// for its client, and what the HTTP library keeps of the response.
const REQUEST_BYTES: usize = 40 << 10;

/// Memory that a byte of a body takes: a body is copied together from its pieces, and a prompt is held beside the body that
/// it is read from.
const COST_PER_BYTE: usize = 2;

/// Memory that the HTTP library takes for a body that comes in pieces: a buffer that it reads into, and one with a piece
/// that has not been asked for yet.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Time for which a body waits for room. Clients that have stopped can be cut off within it.
const ROOM_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a waiting body looks for room again.
const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two reports of clients that were cut off.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How a client learns that it is cut off.
#[derive(Debug)]
enum CutSignal {
    /// Its body is given up.
    Body(Arc<Notify>),
    /// Its connection is closed, since its response has begun.
    Response(ConnectionCloser),
}

#[derive(Debug)]
struct MemoryState {
    ledger: HeldLedger,
    signals: FastMap<HolderKey, CutSignal>,
    /// Clients that were cut off while they sent a body, and while they read a response, since the last report.
    unreported: (u64, u64),
}

impl MemoryState {
    /// Tells a client that has been cut off.
    fn signal_cut(&mut self, key: HolderKey) {
        match self.signals.get(&key) {
            Some(CutSignal::Body(cut)) => {
                cut.notify_one();
                self.unreported.0 += 1;
            }
            Some(CutSignal::Response(closer)) => {
                closer.close();
                self.unreported.1 += 1;
            }
            None => {}
        }
    }
}

#[derive(Debug)]
struct SharedMemory {
    started: Instant,
    state: Mutex<MemoryState>,
}

impl SharedMemory {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts clients off that have stopped until there is room; returns whether there is.
    fn make_room(&self) -> bool {
        let now = self.now();
        let mut state = self.state();
        while !state.ledger.has_room() {
            let Some(cut) = state.ledger.cut_next(now) else {
                return false;
            };
            state.signal_cut(cut.key);
        }
        true
    }
}

/// Limits of what is held for clients.
#[derive(Debug, Clone, Copy)]
pub struct MemoryLimits {
    /// Bytes that all requests may take.
    pub max_bytes: usize,
    /// Time for a body to arrive.
    pub body_timeout: Duration,
}

/// Room for the requests of all clients.
#[derive(Debug, Clone)]
pub struct HeldMemory {
    shared: Arc<SharedMemory>,
    limits: MemoryLimits,
}

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyFailure {
    /// The body is too large or broken.
    Unreadable(BodyError),
    /// The node holds as many bytes for clients as it may.
    NoRoom,
    /// The body did not come in time.
    Late,
}

/// A body that was read.
#[derive(Debug)]
pub struct HeldBody {
    /// The whole body.
    pub bytes: Bytes,
    /// Room of its request.
    pub room: RequestRoom,
}

/// Room of a request, given back when it is dropped.
#[derive(Debug)]
pub struct RequestRoom {
    shared: Arc<SharedMemory>,
    key: HolderKey,
    /// Bytes that are held for its body.
    body_bytes: usize,
}

impl RequestRoom {
    /// Counts bytes that its client has to send or to take.
    pub(crate) fn hold(&self, bytes: usize) {
        let now = self.shared.now();
        self.shared.state().ledger.hold(self.key, bytes, now);
    }

    /// Counts bytes that its client has taken.
    pub(crate) fn release(&self, bytes: usize) {
        let now = self.shared.now();
        self.shared.state().ledger.release(self.key, bytes, now);
    }

    /// Counts a body that is complete: its client has nothing to send, and is not cut off for it.
    fn complete_body(&mut self, bytes: usize) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let held = state.ledger.bytes(self.key);
        state.ledger.release(self.key, held, now);
        state.ledger.hold_fixed(self.key, bytes);
        self.body_bytes = bytes;
    }

    /// Records that the response begins, so that the client is cut off by its connection from now on. The body is not held
    /// any more unless `keeps_body`.
    pub(crate) fn begin_response(&mut self, closer: ConnectionCloser, keeps_body: bool) {
        let mut state = self.shared.state();
        state.signals.insert(self.key, CutSignal::Response(closer));
        if !keeps_body {
            let bytes = std::mem::take(&mut self.body_bytes);
            state.ledger.release_fixed(self.key, bytes);
        }
    }

    /// Waits until there is room for what is held.
    async fn wait(&self) -> Result<(), BodyFailure> {
        let waiting = async {
            while !self.shared.make_room() {
                tokio::time::sleep(ROOM_RETRY_INTERVAL).await;
            }
        };
        let waited = timeout(ROOM_TIMEOUT, waiting).await;
        waited.map_err(|_| BodyFailure::NoRoom)
    }
}

impl Drop for RequestRoom {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.ledger.remove(self.key);
        state.signals.remove(&self.key);
    }
}

impl HeldMemory {
    /// Room within these limits.
    #[must_use]
    pub fn new(limits: MemoryLimits) -> Self {
        let state = MemoryState {
            ledger: HeldLedger::new(Some(limits.max_bytes)),
            signals: FastMap::default(),
            unreported: (0, 0),
        };
        let shared = SharedMemory {
            started: Instant::now(),
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
            limits,
        }
    }

    /// Reads a complete body of at most `limit` bytes. If there is no room, clients that have stopped are cut off for it,
    /// those that hold the most first.
    ///
    /// # Errors
    ///
    /// [`BodyFailure`]; nothing is held then.
    pub async fn read(
        &self,
        body: impl RequestBody,
        limit: usize,
    ) -> Result<HeldBody, BodyFailure> {
        let cut = Arc::new(Notify::new());
        let room = self.begin(&cut);
        tokio::select! {
            read = timeout(self.limits.body_timeout, read_whole(body, limit, room)) => {
                read.unwrap_or(Err(BodyFailure::Late))
            }
            () = cut.notified() => Err(BodyFailure::NoRoom),
        }
    }

    fn begin(&self, cut: &Arc<Notify>) -> RequestRoom {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let key = state.ledger.add(now);
        state.ledger.hold_fixed(key, REQUEST_BYTES);
        state.signals.insert(key, CutSignal::Body(Arc::clone(cut)));
        RequestRoom {
            shared: Arc::clone(&self.shared),
            key,
            body_bytes: 0,
        }
    }

    /// Reports clients that were cut off; never returns.
    pub async fn report_cuts(&self, recorder: &EventRecorder) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let (bodies, responses) = std::mem::take(&mut self.shared.state().unreported);
            if (bodies, responses) == (0, 0) {
                continue;
            }
            let detail = format!(
                "cut off: {bodies} clients that had stopped sending, {responses} that read nothing"
            );
            recorder.record(EventCode::SlowReaderCut, EventSubject::default(), detail);
        }
    }
}

async fn read_whole(
    body: impl RequestBody,
    limit: usize,
    mut room: RequestRoom,
) -> Result<HeldBody, BodyFailure> {
    let mut body = std::pin::pin!(body);
    let mut bytes = BodyPieces::default();
    room.hold(READ_BUFFER_BYTES);
    room.wait().await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            BodyFailure::Unreadable(BodyError::Incomplete(error.into().to_string()))
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > limit - bytes.len() {
            return Err(BodyFailure::Unreadable(BodyError::TooLarge(limit)));
        }
        bytes.push(&data);
        room.hold(data.len() * COST_PER_BYTE);
        room.wait().await?;
    }
    room.complete_body(bytes.len() * COST_PER_BYTE);
    let bytes = bytes.into_bytes();
    Ok(HeldBody { bytes, room })
}
