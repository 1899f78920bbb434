//! Decides whether a request may be sent again after an attempt that broke off, and reports the
//! crash if its instance has crashed.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use quarantine::Crash;
use quarantine::Fingerprint;
use slog::info;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::fate::Fate;
use crate::fate::Instance;
use crate::fate::find_fate;
use crate::guard::Guard;

/// Maximum wait of a retry for the fate of the instance, whose host counts as silent after it. A
/// check may take this long on a busy host.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(250);
/// Maximum wait of a retry for a collector's reply to the report of the crash.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Maximum random delay of a retry after several attempts have broken off. A request that shared
/// its instances with one that crashes them is no longer sent at the same time.
const MAX_SPREAD: Duration = Duration::from_millis(100);
/// Maximum part of a request's remaining time that a retry waits for each of these, as a divisor.
const WAIT_DIVISOR: u32 = 2;
/// Maximum wait for the acknowledgement of a crash report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt that ended without a complete response.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// Request id.
    pub request: Arc<str>,
    /// The caller's name or address.
    pub caller: Arc<str>,
    /// The service of the instance.
    pub service: ServiceName,
    /// The instance to which the request was sent.
    pub run: InstanceRun,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the attempt broke off.
    pub broken_at: Instant,
}

/// What a check has found so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Finding {
    #[default]
    Checking,
    /// The request isn't counted as the cause of a crash.
    NotSuspected,
    /// The instance crashed, and no collector has replied to the report yet.
    Crashed,
    /// The instance crashed, and a collector has counted it.
    Counted,
}

/// A check in progress.
#[derive(Debug)]
pub struct CrashCheck {
    finding: watch::Receiver<Finding>,
    /// State of the instance.
    pub fate: JoinHandle<Fate>,
}

impl CrashCheck {
    /// Waits until the request may be sent again after `attempts` attempts, with `remaining` left
    /// until its deadline. Returns false if an instance crashed under it and no collector has
    /// acknowledged that: other processes may be crashing instances with the same request.
    pub async fn may_retry(mut self, attempts: u32, remaining: Duration) -> bool {
        let is_known = |finding| finding != Finding::Checking;
        let max_wait = remaining / WAIT_DIVISOR;
        match self.wait_for(is_known, MAX_CHECK_DELAY.min(max_wait)).await {
            // The host of the instance is silent, which is no crash.
            None | Some(Finding::Checking | Finding::NotSuspected) => return true,
            Some(Finding::Crashed | Finding::Counted) => {}
        }
        let is_counted = |finding| finding == Finding::Counted;
        let counted = self.wait_for(is_counted, MAX_REPORT_DELAY.min(max_wait));
        if counted.await.is_none() {
            return false;
        }
        if attempts > 1 {
            let spread = rand::random::<f64>();
            tokio::time::sleep(MAX_SPREAD.min(max_wait).mul_f64(spread)).await;
        }
        true
    }

    /// Waits for a finding; `None` if it doesn't come within `max_wait`.
    async fn wait_for(
        &mut self,
        is_wanted: impl Fn(Finding) -> bool,
        max_wait: Duration,
    ) -> Option<Finding> {
        let found = self.finding.wait_for(|finding| is_wanted(*finding));
        let found = timeout(max_wait, found).await.ok()?;
        found.ok().map(|finding| *finding)
    }
}

/// Starts a check of the instance, concurrently with the request. `fingerprint` resolves once
/// the request's body has arrived, to `None` if the body broke off.
pub fn check<I: Instance>(
    guard: Arc<Guard>,
    instance: I,
    broken: BrokenAttempt,
    fingerprint: impl Future<Output = Option<Fingerprint>> + Send + 'static,
) -> CrashCheck {
    let (sender, finding) = watch::channel(Finding::Checking);
    let fate = tokio::spawn(async move {
        check_instance(&guard, &instance, &broken, fingerprint, &sender).await
    });
    CrashCheck { finding, fate }
}

/// Checks the instance, logs the result and reports a crash.
async fn check_instance<I: Instance>(
    guard: &Guard,
    instance: &I,
    broken: &BrokenAttempt,
    fingerprint: impl Future<Output = Option<Fingerprint>> + Send,
    finding: &watch::Sender<Finding>,
) -> Fate {
    let started_at = Instant::now();
    let on_running = || {
        finding.send_replace(Finding::NotSuspected);
    };
    let timed_fate = async {
        let fate = find_fate(instance, on_running).await;
        (fate, started_at.elapsed())
    };
    let ((fate, check_time), fingerprint) = tokio::join!(timed_fate, fingerprint);
    let label: &'static str = fate.into();
    info!(guard.log(), "attempt broke off"; "request" => &*broken.request,
        "fingerprint" => fingerprint.map_or_else(|| "-".to_owned(), |known| known.to_string()),
        "caller" => &*broken.caller, "instance" => %broken.run.instance,
        "incarnation" => broken.run.incarnation, "service" => %broken.service, "fate" => label,
        "check_ms" => u64::try_from(check_time.as_millis()).unwrap_or(u64::MAX),
        "ms" => u64::try_from((broken.broken_at - broken.sent_at).as_millis()).unwrap_or(u64::MAX));
    let (Fate::Crashed, Some(fingerprint)) = (fate, fingerprint) else {
        finding.send_replace(Finding::NotSuspected);
        instance.record(fate, None);
        return fate;
    };
    let (number, decision) = guard.record_crash(Crash {
        request: fingerprint,
        service: broken.service.clone(),
        run: broken.run.clone(),
        at: guard.now().before(broken.broken_at.elapsed()),
        answered: false,
    });
    instance.record(fate, Some(decision));
    finding.send_replace(Finding::Crashed);
    let acknowledged = timeout(REPORT_TIMEOUT, guard.acknowledged(number)).await;
    if acknowledged.is_ok() {
        finding.send_replace(Finding::Counted);
    } else {
        info!(guard.log(), "crash not counted"; "request" => &*broken.request,
            "instance" => %broken.run.instance,
            "waited_ms" => u64::try_from(REPORT_TIMEOUT.as_millis()).unwrap_or(u64::MAX));
    }
    fate
}
