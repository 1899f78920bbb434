//! Callers that send requests continuously and record the replies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::tables::CRASH;
use testutils::tables::FRAGILE;
use testutils::tables::GRANTS;
use testutils::tables::HOST;
use testutils::tables::LOOKUPS;
use testutils::tables::ONCE;
use testutils::tables::READ;
use testutils::tables::STATUS;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::keys::CallKey;
use crate::keys::Keys;
use crate::keys::STEADY_KEY;

/// Number of concurrent callers.
const CALLERS: u64 = 4;
/// Deadline of each call.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after which a caller gives up waiting for a reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two requests that crash an instance.
const CRASH_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two calls of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(8);

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Path of the request, unique to this call.
    pub path: String,
    /// Whether the request must not run more than once.
    pub once: bool,
    /// The key that it presents.
    pub key: CallKey,
    /// When it was sent.
    pub sent_at: Instant,
    /// Reply; `None` if the caller gave up waiting.
    pub reply: Option<Reply>,
}

/// Callers that run until they are stopped.
pub struct Callers {
    stop: CancellationToken,
    tasks: JoinSet<()>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Callers {
    /// Starts the callers; each sends to all `fronts` in turn.
    #[must_use]
    pub fn start(fronts: Vec<SocketAddr>, keys: &Keys) -> Self {
        let fronts: Arc<[SocketAddr]> = fronts.into();
        let stop = CancellationToken::new();
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let number = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for _ in 0..CALLERS {
            let (fronts, stop) = (Arc::clone(&fronts), stop.clone());
            let (calls, number) = (Arc::clone(&calls), Arc::clone(&number));
            let keys = keys.clone();
            tasks.spawn(async move {
                while !stop.is_cancelled() {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let call = call(&fronts, number, keys.of_call(number)).await;
                    calls
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(call);
                    tokio::time::sleep(CALL_PAUSE).await;
                }
            });
        }
        let (fronts, stopped) = (Arc::clone(&fronts), stop.clone());
        tasks.spawn(async move {
            for front in fronts.iter().cycle() {
                if stopped.is_cancelled() {
                    return;
                }
                send_crash_request(*front).await;
                tokio::time::sleep(CRASH_PAUSE).await;
            }
        });
        Self { stop, tasks, calls }
    }

    /// Stops the callers and returns all calls that they made.
    pub async fn stop(mut self) -> Vec<Call> {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut calls)
    }
}

async fn call(fronts: &[SocketAddr], number: u64, key: CallKey) -> Call {
    let once = number.is_multiple_of(2);
    let request = match number % 4 {
        1 => Request::get(LOOKUPS, &format!("{FRAGILE}{number}")),
        3 => Request::get(STATUS, &format!("{READ}{number}")),
        _ => Request::post(GRANTS, &format!("{ONCE}{number}"), "block 7"),
    };
    let request = Request {
        api_key: key.text(),
        ..request.at(HOST).within(DEADLINE)
    };
    let sent_at = Instant::now();
    let front_index = usize::try_from(number / 2).unwrap_or(0) % fronts.len();
    let reply = tokio::time::timeout(
        CALL_TIMEOUT,
        Caller::new().call(fronts[front_index], &request),
    )
    .await;
    Call {
        path: request.path,
        once,
        key,
        sent_at,
        reply: reply.ok(),
    }
}

/// Sends the request that crashes the instance that runs it. Any reply or none is accepted.
pub async fn send_crash_request(front: SocketAddr) {
    let request = Request::get(LOOKUPS, CRASH).at(HOST).within(DEADLINE);
    let request = request.with_api_key(STEADY_KEY);
    let _ = tokio::time::timeout(CALL_TIMEOUT, Caller::new().call(front, &request)).await;
}
