//! Request bodies that a node holds for all its clients together.
//!
//! The load that this handles: many clients that send most of a large body and then nothing. Each may be within the
//! limit of one body, and all of them together take the memory of the process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use domain::FastMap;
use http_body_util::BodyExt as _;
use serving::held_bytes::{HeldLedger, HolderKey};
use tokio::sync::Notify;
use tokio::time::timeout;
use web::BodyError;
use web::body::BodyPieces;

use crate::server::RequestBody;

/// Memory that a byte takes: a body is copied together from its pieces, and a prompt is held beside the body that it is
/// read from.
const COST_PER_BYTE: usize = 2;

/// Memory that the HTTP library takes for a body that comes in pieces: a buffer that it reads into, and one with a piece
/// that has not been asked for yet.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Time for which a body waits for room. Clients that have stopped sending can be cut off within it.
const ROOM_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a waiting body looks for room again.
const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct BodyState {
    ledger: HeldLedger,
    cuts: FastMap<HolderKey, Arc<Notify>>,
}

#[derive(Debug)]
struct SharedBodies {
    started: Instant,
    state: Mutex<BodyState>,
}

impl SharedBodies {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, BodyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts clients off that have stopped sending until there is room; returns whether there is.
    fn make_room(&self) -> bool {
        let now = self.now();
        let mut state = self.state();
        while !state.ledger.has_room() {
            let Some(cut) = state.ledger.cut_next(now) else {
                return false;
            };
            if let Some(notify) = state.cuts.get(&cut.key) {
                notify.notify_one();
            }
        }
        true
    }
}

/// Room for the bodies of all requests.
#[derive(Debug, Clone)]
pub struct HeldBodies {
    shared: Arc<SharedBodies>,
    read_timeout: Duration,
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
    /// Its room.
    pub room: BodyRoom,
}

/// Room of a body, given back when it is dropped.
#[derive(Debug)]
pub struct BodyRoom {
    shared: Arc<SharedBodies>,
    key: HolderKey,
    cut: Arc<Notify>,
}

impl BodyRoom {
    fn hold(&self, bytes: usize) {
        let now = self.shared.now();
        self.shared.state().ledger.hold(self.key, bytes, now);
    }

    /// Counts a body that is complete: its client has nothing to send, and is not cut off for it.
    fn complete(&self, bytes: usize) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let held = state.ledger.bytes(self.key);
        state.ledger.release(self.key, held, now);
        state.ledger.hold_fixed(self.key, bytes);
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

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.ledger.remove(self.key);
        state.cuts.remove(&self.key);
    }
}

impl HeldBodies {
    /// Room for bodies of `max_bytes` in all, each of which must come within `read_timeout`.
    #[must_use]
    pub fn new(max_bytes: usize, read_timeout: Duration) -> Self {
        let state = BodyState {
            ledger: HeldLedger::new(Some(max_bytes)),
            cuts: FastMap::default(),
        };
        let shared = SharedBodies {
            started: Instant::now(),
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
            read_timeout,
        }
    }

    /// Reads a complete body of at most `limit` bytes. If there is no room, clients that have stopped sending are cut
    /// off for it, those that hold the most first.
    ///
    /// # Errors
    ///
    /// [`BodyFailure`]; nothing is held then.
    pub async fn read(
        &self,
        body: impl RequestBody,
        limit: usize,
    ) -> Result<HeldBody, BodyFailure> {
        let room = self.begin();
        let cut = Arc::clone(&room.cut);
        tokio::select! {
            read = timeout(self.read_timeout, read_whole(body, limit, room)) => {
                read.unwrap_or(Err(BodyFailure::Late))
            }
            () = cut.notified() => Err(BodyFailure::NoRoom),
        }
    }

    fn begin(&self) -> BodyRoom {
        let now = self.shared.now();
        let cut = Arc::new(Notify::new());
        let mut state = self.shared.state();
        let key = state.ledger.add(now);
        state.cuts.insert(key, Arc::clone(&cut));
        BodyRoom {
            shared: Arc::clone(&self.shared),
            key,
            cut,
        }
    }
}

async fn read_whole(
    body: impl RequestBody,
    limit: usize,
    room: BodyRoom,
) -> Result<HeldBody, BodyFailure> {
    let mut body = std::pin::pin!(body);
    let mut bytes = BodyPieces::default();
    room.hold(READ_BUFFER_BYTES);
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
    room.complete(bytes.len() * COST_PER_BYTE);
    let bytes = bytes.into_bytes();
    Ok(HeldBody { bytes, room })
}
