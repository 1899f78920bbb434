//! One call through a gateway, as the product's crates decide it.

use std::rc::Rc;

use attempt::Action;
use attempt::Actions;
use attempt::Call;
use attempt::Ending;
use attempt::Event;
use attempt::Terms;
use attempt::event::Head;
use attempt::event::Number;
use base::prelude::Class;
use base::prelude::Moment;
use route::Kind;
use route::Outcome;
use route::Pick;
use route::Report;
use route::Ticket;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::fake::Answer;
use crate::run::Request;
use crate::run::World;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered.
    Answered,
    /// Refused at once, not run.
    Refused,
    /// No answer within the deadline.
    Late,
    /// Another error.
    Failed,
}

struct Live {
    number: Number,
    ticket: Ticket,
    abort: AbortHandle,
}

struct Driver {
    world: Rc<World>,
    request: Request,
    deadline: Moment,
    live: Vec<Live>,
    tried: Vec<Pick>,
    errors: Vec<Number>,
    sender: mpsc::UnboundedSender<(Number, Answer)>,
    attempts: u32,
}

/// Runs one call to its end; also says how many attempts it took.
pub async fn run(world: &Rc<World>, request: Request) -> (End, u32) {
    let deadline = request.arrival + world.case.shape.deadline();
    let gateway = world.gateway(request);
    let (ticket, admitted) = gateway.borrow_mut().arrive(world.time.now(), deadline);
    if !admitted.await.unwrap_or(false) {
        return (End::Refused, 0);
    }
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut driver = Driver {
        world: Rc::clone(world),
        request,
        deadline,
        live: Vec::new(),
        tried: Vec::new(),
        errors: Vec::new(),
        sender,
        attempts: 0,
    };
    let end = driver.drive(receiver).await;
    let finish = match end {
        End::Answered => admit::Finish::Answered,
        End::Refused => admit::Finish::Shed,
        End::Late | End::Failed => admit::Finish::Failed,
    };
    let now = world.time.now();
    world
        .gateway(request)
        .borrow_mut()
        .finish(now, ticket, finish);
    (end, driver.attempts)
}

impl Driver {
    async fn drive(&mut self, mut answers: mpsc::UnboundedReceiver<(Number, Answer)>) -> End {
        let mut call = Call::new(Terms {
            class: Class::Urgent,
            deadline: self.deadline,
            depth: 0,
        });
        let now = self.world.time.now();
        let gateway = Rc::clone(self.world.gateway(self.request));
        let mut actions = call.start(&mut gateway.borrow_mut().service, now);
        loop {
            if let Some(end) = self.act(actions) {
                return end;
            }
            let wake = call.wake().unwrap_or(self.deadline);
            let event = tokio::select! {
                biased;
                Some((number, answer)) = answers.recv() => self.ended(number, &answer),
                () = self.world.time.until(wake) => Event::Tick,
            };
            let gateway = &mut *gateway.borrow_mut();
            let now = self.world.time.now();
            actions = call.step(event, &mut gateway.service, &mut gateway.rng, now);
        }
    }

    fn act(&mut self, actions: Actions) -> Option<End> {
        for action in actions {
            match action {
                Action::Start(start) => self.start(start.number),
                Action::Cancel(number) => self.cancel(number),
                Action::Relay { number, .. } => {
                    let failed = self.errors.contains(&number);
                    return Some(if failed { End::Failed } else { End::Answered });
                }
                Action::Fail(failure) | Action::Break(failure) => {
                    return Some(match failure.reason {
                        attempt::Reason::Deadline => End::Late,
                        attempt::Reason::Shed => End::Refused,
                        _ => End::Failed,
                    });
                }
            }
        }
        None
    }

    /// Chooses an instance and sends the request, or says that there is none.
    fn start(&mut self, number: Number) {
        let now = self.world.time.now();
        let mut gateway = self.world.gateway(self.request).borrow_mut();
        let Some(choice) = gateway.chooser.choose(now, &self.tried) else {
            drop(self.sender.send((number, Answer::none())));
            return;
        };
        let ticket = gateway.chooser.started(now, choice.pick);
        let fake = self.world.fake(&gateway.chooser, choice.pick);
        self.tried.push(choice.pick);
        self.attempts += 1;
        let (sender, work) = (self.sender.clone(), self.request.work);
        let task = tokio::task::spawn_local(async move {
            let answer = fake.serve(work).await;
            drop(sender.send((number, answer)));
        });
        let abort = task.abort_handle();
        self.live.push(Live {
            number,
            ticket,
            abort,
        });
    }

    fn cancel(&mut self, number: Number) {
        let kind = if self.world.time.now() >= self.deadline {
            Kind::Timeout
        } else {
            Kind::Cancelled
        };
        self.finish(number, kind, None);
    }

    fn finish(&mut self, number: Number, kind: Kind, report: Option<Report>) {
        let Some(index) = self.live.iter().position(|l| l.number == number) else {
            return;
        };
        let live = self.live.swap_remove(index);
        live.abort.abort();
        let now = self.world.time.now();
        let outcome = Outcome {
            kind,
            latency: now.since(live.ticket.began()),
            report,
        };
        let mut gateway = self.world.gateway(self.request).borrow_mut();
        gateway.chooser.finished(now, live.ticket, outcome);
        if kind == Kind::Shed {
            gateway.shed(now);
        }
    }

    fn ended(&mut self, number: Number, answer: &Answer) -> Event {
        let Some(kind) = answer.kind else {
            return Event::Ended(number, Ending::NoUpstream);
        };
        self.finish(number, kind, answer.report);
        let status = match kind {
            Kind::Ok => 200,
            Kind::Shed => 503,
            Kind::Error => 500,
            _ => return Event::Ended(number, Ending::ConnectFailed),
        };
        if kind == Kind::Error {
            self.errors.push(number);
        }
        let shed = kind == Kind::Shed;
        Event::Head(
            number,
            Head {
                status,
                shed,
                ..Head::default()
            },
        )
    }
}
