//! One call through a gateway, as the product's crates decide it.

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

use crate::gateway::name;
use crate::run::World;

/// Runs one admitted call to its end, `Cancelled` at its deadline; also says how many
/// attempts it took.
pub async fn run(world: &World, index: usize, deadline: Moment, work: Duration) -> (Finish, u8) {
    let gateway = &world.gateways[index];
    let mut call = Call::new(attempt::CallContext {
        class: Class::Urgent,
        deadline,
        depth: 0,
    });
    let (mut tasks, mut live, mut tried) = (JoinSet::new(), Vec::new(), Vec::new());
    let mut failed = false;
    let mut actions = {
        let gateway = &mut *gateway.borrow_mut();
        gateway.service.backlogged = gateway.admission.is_backlogged(&name());
        call.start(&mut gateway.service, world.time.now())
    };
    loop {
        let now = world.time.now();
        for action in actions {
            let chooser = &mut gateway.borrow_mut().chooser;
            let finish = match action {
                Action::Start(start) => {
                    let pick = chooser.choose(now, &tried).map(|choice| choice.pick);
                    let fake = pick.map(|pick| world.fake(chooser, pick));
                    let serve = async move {
                        let fake = fake.ok_or(start.number)?;
                        Ok((start.number, fake.serve(work).await))
                    };
                    let ticket = pick.map(|pick| chooser.started(now, pick));
                    live.push((ticket, tasks.spawn_local(serve)));
                    tried.extend(pick);
                    continue;
                }
                Action::Cancel(number) => {
                    let (ticket, task) = &mut live[usize::from(number) - 1];
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
            () = world.time.sleep(next_wakeup.since(now)) => None,
        };
        let gateway = &mut *gateway.borrow_mut();
        let now = world.time.now();
        let event = match ended {
            None => Event::Tick,
            Some(Err(number)) => Event::AttemptFailed(number, AttemptError::NoUpstream),
            Some(Ok((number, outcome))) => {
                if let Some(ticket) = live[usize::from(number) - 1].0.take() {
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
                    gateway.admission.shed(&name(), now);
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
