//! Asks the members of the group what their logs hold while no leader is known.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use consensus::Index;
use consensus::ReplicaId;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::convert;
use crate::currency::Currency;
use crate::currency::LogReport;
use crate::currency::Survey;
use crate::input::DriverHandle;
use crate::input::Input;
use crate::input::LogState;
use crate::input::View;
use crate::link;
use crate::partition::Partition;
use crate::replica::Identity;

/// Interval at which each member is asked, and the own log is read.
const INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which it is checked whether a leader is still known.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the answer of a member.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of answers that wait to be counted.
const MAX_QUEUED: usize = 64;

/// An answer of the replica at an address, and when it was asked.
struct Answer {
    from: SocketAddr,
    asked_at: Moment,
    report: LogReport,
}

/// The task that publishes the [`Currency`] of the applied state.
pub struct Surveyor {
    /// The identity of this replica.
    pub identity: Arc<Identity>,
    /// Handle of the driver task.
    pub driver: DriverHandle,
    /// The state applied by this replica, with the leader that it knows.
    pub views: watch::Receiver<View>,
    /// Simulated network partition, for tests.
    pub partition: Partition,
    /// Where the result is published.
    pub currency: watch::Sender<Currency>,
    /// Logger.
    pub log: Logger,
}

impl Surveyor {
    /// Runs until dropped, or until the driver stops.
    pub async fn run(self) {
        // The log is read only without a leader: to look for what binds, entries are decoded.
        while self.views.has_changed().is_ok() {
            if self.views.borrow().leader.is_none() {
                self.survey().await;
            }
            self.currency.send_replace(Currency::Unknown);
            tokio::time::sleep(IDLE_INTERVAL).await;
        }
    }

    /// Asks the members until a leader is known or the driver stops.
    async fn survey(&self) {
        let clock = Clock::start();
        let mut survey = Survey::default();
        let (sender, mut answers) = mpsc::channel(MAX_QUEUED);
        let mut questions: HashMap<SocketAddr, AbortOnDropHandle<()>> = HashMap::new();
        while let Ok(state) = self.driver.call(Input::LogReport).await {
            if state.has_leader {
                return;
            }
            self.ask_members(&state, &mut questions, &clock, &sender);
            self.publish(&mut survey, clock.now(), state);
            // Without an answer, the own log or the age of answers may change the result.
            if let Ok(Some(answer)) = tokio::time::timeout(INTERVAL, answers.recv()).await {
                survey.record(answer.asked_at, answer.from, answer.report);
            }
        }
    }

    /// Keeps one task for each other voter's host, which asks it again and again.
    fn ask_members(
        &self,
        state: &LogState,
        questions: &mut HashMap<SocketAddr, AbortOnDropHandle<()>>,
        clock: &Clock,
        answers: &mpsc::Sender<Answer>,
    ) {
        let voters = state.config.voters.values().map(|member| member.address);
        for address in voters.filter(|address| *address != self.identity.address) {
            questions.entry(address).or_insert_with(|| {
                let asking = ask(address, self.partition.clone(), *clock, answers.clone());
                AbortOnDropHandle::new(tokio::spawn(asking))
            });
        }
    }

    fn publish(&self, survey: &mut Survey, now: Moment, state: LogState) {
        let own = LogReport {
            id: ReplicaId(self.identity.id),
            config: state.config,
            binding: state.binding,
        };
        let currency = survey.currency(now, &own, state.applied);
        let changed = self
            .currency
            .send_if_modified(|last| std::mem::replace(last, currency) != currency);
        if changed {
            let counts = survey.counts(&own);
            let currency: &str = currency.into();
            info!(self.log, "survey of logs"; "currency" => currency, "voters" => counts.voters,
                "answered" => counts.answered, "lost" => counts.lost,
                "binding" => counts.binding.0, "applied" => state.applied.0);
        }
    }
}

/// Asks the replica at `address` until the receiver of the answers is dropped.
async fn ask(
    address: SocketAddr,
    partition: Partition,
    clock: Clock,
    answers: mpsc::Sender<Answer>,
) {
    let link = link::replica(address);
    loop {
        let asked_at = clock.now();
        // A member that doesn't answer is missing among the answers.
        if let Ok(reply) = link::report_log(&link, &partition, REPLY_TIMEOUT).await
            && let Ok(config) = convert::group(&reply.group.unwrap_or_default())
        {
            let report = LogReport {
                id: ReplicaId(reply.id),
                config,
                binding: Index(reply.binding),
            };
            let answer = Answer {
                from: address,
                asked_at,
                report,
            };
            if answers.send(answer).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
