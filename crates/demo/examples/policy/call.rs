//! Simulates one call through a gateway, with the decisions of the product's crates.

use std::time::Duration;

use admit::Finish;
use attempt::Action;
use attempt::AttemptError;
use attempt::Call;
use attempt::Event;
use attempt::Reason;
use attempt::event::Head;
use base::prelude::Class;
use base::prelude::Moment;
use route::Outcome;
use route::OutcomeKind;
use tokio::task::JoinSet;

use crate::gateway::service_name;
use crate::run::Simulation;

/// Runs one admitted call to its end (`Cancelled` at the deadline), and returns the number
/// of its attempts too.
pub async fn run(
    simulation: &Simulation,
    index: usize,
    deadline: Moment,
    work: Duration,
) -> (Finish, u8) {
    let gateway = &simulation.gateways[index];
    let mut call = Call::new(attempt::CallContext {
        class: Class::Urgent,
        deadline,
        depth: 0,
    });
    let (mut tasks, mut attempts, mut tried) = (JoinSet::new(), Vec::new(), Vec::new());
    let mut failed = false;
    let mut actions = {
        let gateway = &mut *gateway.borrow_mut();
        gateway.service.backlogged = gateway.admission.is_backlogged(&service_name());
        call.start(&mut gateway.service, simulation.clock.now())
    };
    loop {
        let now = simulation.clock.now();
        for action in actions {
            let chooser = &mut gateway.borrow_mut().chooser;
            let finish = match action {
                Action::Start(start) => {
                    let pick = chooser.choose(now, &tried).map(|choice| choice.pick);
                    let upstream = pick.map(|pick| simulation.upstream(chooser, pick));
                    let serve = async move {
                        let upstream = upstream.ok_or(start.number)?;
                        Ok((start.number, upstream.serve(work).await))
                    };
                    let ticket = pick.map(|pick| chooser.started(now, pick));
                    attempts.push((ticket, tasks.spawn_local(serve)));
                    tried.extend(pick);
                    continue;
                }
                Action::Cancel(number) => {
                    let (ticket, task) = &mut attempts[usize::from(number) - 1];
                    task.abort();
                    if let Some(ticket) = ticket.take() {
                        let late = now >= deadline;
                        let outcome = Outcome {
                            kind: [OutcomeKind::Cancelled, OutcomeKind::Timeout][usize::from(late)],
                            latency: now.since(ticket.started_at()),
                            report: None,
                        };
                        chooser.finished(now, ticket, outcome);
                    }
                    continue;
                }
                Action::Relay { .. } if failed => Finish::Failed,
                Action::Relay { .. } => Finish::Answered,
                Action::Fail(failure) | Action::Break(failure) => match failure.reason {
                    Reason::Deadline => Finish::Cancelled,
                    Reason::Shed => Finish::Shed,
                    _ => Finish::Failed,
                },
            };
            return (finish, call.attempts());
        }
        let next_wakeup = call.next_wakeup().unwrap_or(deadline);
        let ended = tokio::select! {
            biased;
            Some(ended) = tasks.join_next() => ended.ok(),
            () = simulation.clock.sleep(next_wakeup.since(now)) => None,
        };
        let gateway = &mut *gateway.borrow_mut();
        let now = simulation.clock.now();
        let event = match ended {
            None => Event::Tick,
            Some(Err(number)) => Event::AttemptFailed(number, AttemptError::NoUpstream),
            Some(Ok((number, outcome))) => {
                if let Some(ticket) = attempts[usize::from(number) - 1].0.take() {
                    gateway.chooser.finished(now, ticket, outcome);
                }
                failed = outcome.kind == OutcomeKind::Error;
                let head = Head {
                    status: if outcome.kind == OutcomeKind::Ok {
                        200
                    } else {
                        503
                    },
                    shed: outcome.kind == OutcomeKind::Shed,
                    ..Head::default()
                };
                if head.shed {
                    gateway.admission.shed(&service_name(), now);
                }
                match outcome.kind {
                    OutcomeKind::ConnectFailed => {
                        Event::AttemptFailed(number, AttemptError::ConnectFailed)
                    }
                    _ => Event::Head(number, head),
                }
            }
        };
        actions = call.step(event, &mut gateway.service, &mut gateway.rng, now);
    }
}
