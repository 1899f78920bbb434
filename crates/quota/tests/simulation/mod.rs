//! Entry processes that share the quota of one workspace, with their messages, lists and faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;
use quota::Acquired;
use quota::Answer;
use quota::Batch;
use quota::Bound;
use quota::Domains;
use quota::Donors;
use quota::Holder;
use quota::Limit;
use quota::Member;
use quota::Tokens;
use quota::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TICK: Duration = Duration::from_millis(100);
/// Interval of a process's watches.
const WATCH: Duration = Duration::from_millis(300);
/// Time after its last watch for which a process is listed. Shorter than that of hubs, so that
/// the next holder comes earlier.
const LISTED: Duration = Duration::from_millis(500);
/// Maximum age of a list on its arrival.
const MAX_LAG_MS: u64 = 600;
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(60);
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(22);

/// A state of a process that lasts for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Stopped, and started again without state.
    Killed,
    /// Does nothing; what it is sent arrives afterwards.
    Frozen,
    /// What it sends is lost; it reaches no hub.
    Mute,
    /// What it is sent is lost; it reaches no hub.
    Deaf,
    /// On the other side of a partition, with a hub there.
    OtherSide,
    /// On the other side of a partition without a hub.
    CutOff,
}

#[derive(Clone, Debug)]
enum Message {
    Acquire {
        call: u64,
        count: u32,
    },
    Permits {
        call: u64,
        permits: Option<(u32, Duration)>,
    },
    Transfer {
        call: u64,
        need: Tokens,
        reserve: Tokens,
    },
    Sent {
        call: u64,
        tokens: Option<Tokens>,
    },
    List {
        members: Vec<Member>,
    },
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Run {
        process: usize,
        asked_at: Moment,
    },
    Tick(usize),
    Watch(usize),
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Timeout {
        process: usize,
        call: u64,
    },
    Start(usize, Fault),
    End(usize, Fault),
    Limit(Limit),
    Demand(f64),
}

/// A call for permits to the holders in turn.
#[derive(Debug)]
struct Call {
    count: u32,
    asked_at: Moment,
    holders: VecDeque<String>,
}

/// An answer for which transfers are under way.
#[derive(Debug)]
struct Loan {
    to: usize,
    call: u64,
    count: u32,
    granted: u32,
    missing: Tokens,
    reserve: Tokens,
    retry_after: Duration,
    holders: VecDeque<String>,
}

struct Process {
    holder: Holder,
    domains: Domains,
    batch: Batch<()>,
    donors: Donors,
    call: Option<(u64, Call)>,
    loan: Option<(u64, String, Loan)>,
    loans: VecDeque<(usize, u64, u32)>,
    limit: Limit,
}

pub struct Simulation {
    pub now: Moment,
    pub runs: Vec<Moment>,
    pub refused: usize,
    pub unreachable: usize,
    pub messages: usize,
    /// Share of messages that are lost.
    pub loss: f64,
    /// How long a request waits for an instance at most.
    pub max_queue: Duration,
    /// Requests per second, and the processes that receive them.
    pub demand: f64,
    pub targets: Vec<usize>,
    /// Whether requests come evenly.
    pub even: bool,
    workspace: WorkspaceName,
    configured: Vec<DomainName>,
    names: Vec<Member>,
    processes: Vec<Process>,
    faults: Vec<Vec<Fault>>,
    watched: HashMap<(bool, usize), Moment>,
    limit: Limit,
    events: BinaryHeap<Reverse<(Moment, u64)>>,
    pending: HashMap<u64, Event>,
    number: u64,
    rng: StdRng,
}

impl Simulation {
    /// Processes in failure domains of the given sizes.
    pub fn new(seed: u64, sizes: &[usize], limit: Limit) -> Self {
        let name = |domain: usize| format!("d{domain}");
        let domains = sizes.iter().enumerate();
        let names: Vec<Member> = domains
            .flat_map(|(domain, size)| (0..*size).map(move |number| (domain, number)))
            .map(|(domain, number)| Member {
                address: format!("d{domain}-{number}"),
                domain: name(domain),
            })
            .collect();
        let domain = |index| DomainName::new(&name(index)).expect("a name");
        let configured: Vec<DomainName> = (0..sizes.len()).map(domain).collect();
        let mut simulation = Self {
            now: Moment::from_millis(1_000),
            runs: Vec::new(),
            refused: 0,
            unreachable: 0,
            messages: 0,
            loss: 0.0,
            max_queue: Duration::ZERO,
            demand: 0.0,
            targets: (0..names.len()).collect(),
            even: false,
            workspace: WorkspaceName::new("ledger").expect("a name"),
            processes: names.iter().map(|own| process(own, limit)).collect(),
            faults: vec![Vec::new(); names.len()],
            configured,
            names,
            watched: HashMap::new(),
            limit,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            number: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for index in 0..simulation.processes.len() {
            let offset = simulation.millis(WATCH.as_millis().try_into().expect("small"));
            simulation.after(offset, Event::Watch(index));
            simulation.after(offset, Event::Tick(index));
        }
        simulation
    }

    fn millis(&mut self, max: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=max))
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + delay, self.number)));
        self.pending.insert(self.number, event);
    }

    pub fn fault(&mut self, index: usize, fault: Fault, delay: Duration, length: Duration) {
        self.after(delay, Event::Start(index, fault));
        self.after(delay + length, Event::End(index, fault));
    }

    pub fn change_limit(&mut self, delay: Duration, limit: Limit) {
        self.after(delay, Event::Limit(limit));
    }

    /// Changes the number of requests per second.
    pub fn change_demand(&mut self, delay: Duration, demand: f64) {
        self.after(delay, Event::Demand(demand));
    }

    pub fn start_demand(&mut self) {
        self.after(Duration::ZERO, Event::Arrival);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, number)));
                break;
            }
            self.now = at;
            let event = self.pending.remove(&number).expect("once");
            self.handle(event);
        }
        self.now = end;
    }

    fn is(&self, index: usize, fault: Fault) -> bool {
        self.faults[index].contains(&fault)
    }

    fn handle(&mut self, event: Event) {
        // What a frozen process would do, it does afterwards.
        let actor = match &event {
            Event::Run { process, .. }
            | Event::Timeout { process, .. }
            | Event::Tick(process)
            | Event::Watch(process) => Some(*process),
            Event::Deliver { to, .. } => Some(*to),
            _ => None,
        };
        if actor.is_some_and(|actor| self.is(actor, Fault::Frozen)) {
            let delay = Duration::from_millis(20) + self.millis(5);
            return self.after(delay, event);
        }
        match event {
            Event::Arrival => self.arrive(),
            Event::Demand(demand) => self.demand = demand,
            Event::Run { process, asked_at } => self.run_request(process, asked_at),
            Event::Tick(index) => {
                self.processes[index].holder.tick(self.now);
                self.after(TICK, Event::Tick(index));
            }
            Event::Watch(index) => self.watch(index),
            Event::Deliver { from, to, message } => {
                if !self.is(to, Fault::Killed) {
                    self.receive(from, to, message);
                }
            }
            Event::Timeout { process, call } => self.time_out(process, call),
            Event::Start(index, fault) => self.faults[index].push(fault),
            Event::End(index, fault) => {
                self.faults[index].retain(|current| *current != fault);
                if fault == Fault::Killed {
                    let mut new = process(&self.names[index], self.limit);
                    new.holder = Holder::new(self.names[index].address.clone(), self.now);
                    self.processes[index] = new;
                }
            }
            Event::Limit(limit) => {
                self.limit = limit;
                for process in &mut self.processes {
                    process.limit = limit;
                }
            }
        }
    }

    fn arrive(&mut self) {
        let mean = 1.0 / self.demand;
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let wait = if self.even { mean } else { -mean * draw.ln() };
        self.after(Duration::from_secs_f64(wait), Event::Arrival);
        let target = self.targets[self.rng.random_range(0..self.targets.len())];
        if !self.is(target, Fault::Killed) && !self.is(target, Fault::Frozen) {
            self.request(target);
        }
    }

    /// A request arrives, or its permit has expired.
    fn request(&mut self, index: usize) {
        if self.processes[index].batch.add(self.now, ()).is_err() {
            self.refused += 1;
            return;
        }
        self.start_call(index);
    }

    fn start_call(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(count) = process.batch.start_call() else {
            return;
        };
        let domain = &self.names[index].domain;
        let holders = process.domains.holders(&self.workspace, domain);
        let call = Call {
            count,
            asked_at: self.now,
            holders: holders.into_iter().map(ToOwned::to_owned).collect(),
        };
        self.number += 1;
        let number = self.number;
        self.processes[index].call = Some((number, call));
        self.ask_next(index);
    }

    fn ask_next(&mut self, index: usize) {
        let Some((number, call)) = &mut self.processes[index].call else {
            return;
        };
        let (number, count) = (*number, call.count);
        let Some(holder) = call.holders.pop_front() else {
            return self.end_call(index, Answer::Unreachable);
        };
        let to = self.index(&holder);
        self.after(
            ACQUIRE_TIMEOUT,
            Event::Timeout {
                process: index,
                call: number,
            },
        );
        let message = Message::Acquire {
            call: number,
            count,
        };
        self.send(index, to, message);
    }

    /// The process that holds the quota in a domain according to the list of a process.
    pub fn holder_by(&self, index: usize) -> usize {
        let process = &self.processes[index];
        let domain = &self.names[index].domain;
        let holders = process.domains.holders(&self.workspace, domain);
        holders.first().map_or(index, |holder| self.index(holder))
    }

    fn index(&self, address: &str) -> usize {
        let mut names = self.names.iter();
        names
            .position(|name| name.address == address)
            .expect("known")
    }

    fn end_call(&mut self, index: usize, answer: Answer) {
        let Some((_, call)) = self.processes[index].call.take() else {
            return;
        };
        for ((), verdict) in self.processes[index].batch.end_call(self.now, answer) {
            match verdict {
                Verdict::Granted => {
                    let max = self.max_queue.as_millis().try_into().expect("small");
                    let delay = self.millis(max);
                    let asked_at = call.asked_at;
                    self.after(
                        delay,
                        Event::Run {
                            process: index,
                            asked_at,
                        },
                    );
                }
                Verdict::Refused(_) => self.refused += 1,
                Verdict::Unreachable => self.unreachable += 1,
            }
        }
        self.start_call(index);
    }

    fn run_request(&mut self, index: usize, asked_at: Moment) {
        if self.is(index, Fault::Killed) {
            return;
        }
        if self.now.since(asked_at) < Bound::default().permit_lifetime() {
            self.runs.push(self.now);
        } else {
            self.request(index);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |index| self.is(index, Fault::OtherSide);
        let cut = |index| self.is(index, Fault::CutOff);
        let one_way = self.is(from, Fault::Mute) || self.is(to, Fault::Deaf);
        side(from) == side(to) && cut(from) == cut(to) && !one_way
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let event = Event::Deliver { from, to, message };
        if from == to {
            return self.after(Duration::ZERO, event);
        }
        self.messages += 1;
        if self.reaches(from, to) && !self.rng.random_bool(self.loss) {
            let micros = self.rng.random_range(100..3_000);
            self.after(Duration::from_micros(micros), event);
        }
    }

    fn watch(&mut self, index: usize) {
        let jitter = self.millis(100);
        self.after(WATCH + jitter, Event::Watch(index));
        let faults = [Fault::Killed, Fault::Mute, Fault::Deaf, Fault::CutOff];
        if faults.iter().any(|fault| self.is(index, *fault)) {
            return;
        }
        let side = self.is(index, Fault::OtherSide);
        self.watched.insert((side, index), self.now);
        let is_listed = |other: &usize| {
            let watched = self.watched.get(&(side, *other));
            watched.is_some_and(|at| self.now.since(*at) < LISTED)
        };
        let listed = (0..self.names.len()).filter(is_listed);
        let members = listed.map(|other| self.names[other].clone()).collect();
        let lag = self.millis(MAX_LAG_MS);
        let message = Message::List { members };
        let event = Event::Deliver {
            from: index,
            to: index,
            message,
        };
        self.after(lag, event);
    }

    fn time_out(&mut self, index: usize, number: u64) {
        let process = &mut self.processes[index];
        if process
            .call
            .as_ref()
            .is_some_and(|(call, _)| *call == number)
        {
            // The next holder is asked in a call of its own number.
            self.number += 1;
            if let Some((call, _)) = &mut self.processes[index].call {
                *call = self.number;
            }
            self.ask_next(index);
        } else if process
            .loan
            .as_ref()
            .is_some_and(|(loan, ..)| *loan == number)
        {
            self.continue_loan(index, Tokens::ZERO);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let (now, limit, name) = (self.now, self.processes[to].limit, self.workspace.clone());
        let process = &mut self.processes[to];
        match message {
            Message::List { members } => {
                process.domains = Domains::new(&self.configured, members);
                let own = &self.names[to].domain;
                let listed = process.domains.members(own);
                let shares = Bound::default().shares(process.domains.count());
                process.holder.set_list(now, listed, shares);
                process.holder.hub_answered(now);
            }
            Message::Acquire { call, count } => {
                process.loans.push_back((from, call, count));
                self.next_loan(to);
            }
            Message::Permits { call, permits } => {
                if process
                    .call
                    .as_ref()
                    .is_none_or(|(number, _)| *number != call)
                {
                    return;
                }
                match permits {
                    Some((granted, retry)) => self.end_call(to, Answer::Granted(granted, retry)),
                    None => self.ask_next(to),
                }
            }
            Message::Transfer {
                call,
                need,
                reserve,
            } => {
                let tokens = process.holder.transfer(now, &name, limit, need, reserve);
                self.send(to, from, Message::Sent { call, tokens });
            }
            Message::Sent { call, tokens } => {
                if process
                    .loan
                    .as_ref()
                    .is_some_and(|(number, ..)| *number == call)
                {
                    self.continue_loan(to, tokens.unwrap_or(Tokens::ZERO));
                }
            }
        }
    }

    fn next_loan(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.loan.is_some() {
            return;
        }
        let Some((to, call, count)) = process.loans.pop_front() else {
            return;
        };
        let (now, limit) = (self.now, process.limit);
        let asker = &self.names[to].address;
        let acquired = process
            .holder
            .acquire(now, &self.workspace, limit, count, asker);
        let Acquired::Permits {
            granted,
            missing,
            reserve,
            retry_after,
        } = acquired
        else {
            self.send(
                index,
                to,
                Message::Permits {
                    call,
                    permits: None,
                },
            );
            return self.next_loan(index);
        };
        let domain = &self.names[index].domain;
        let holders = process.domains.holders(&self.workspace, domain);
        let own = &self.names[index].address;
        let others = holders.into_iter().filter(|holder| holder != own);
        let others = others.map(ToOwned::to_owned).collect();
        let holders = process.donors.order(now, others).into();
        let loan = Loan {
            to,
            call,
            count,
            granted,
            missing,
            reserve,
            retry_after,
            holders,
        };
        self.ask_donor(index, loan);
    }

    fn ask_donor(&mut self, index: usize, mut loan: Loan) {
        let holder = loan.holders.pop_front();
        let Some(holder) = holder.filter(|_| loan.missing > Tokens::ZERO) else {
            let permits = Some((loan.granted, loan.retry_after));
            self.send(
                index,
                loan.to,
                Message::Permits {
                    call: loan.call,
                    permits,
                },
            );
            return self.next_loan(index);
        };
        self.number += 1;
        let call = self.number;
        let need = Tokens::from_micros(loan.missing.micros() + 1);
        let message = Message::Transfer {
            call,
            need,
            reserve: loan.reserve,
        };
        let to = self.index(&holder);
        self.processes[index].loan = Some((call, holder, loan));
        self.after(
            TRANSFER_TIMEOUT,
            Event::Timeout {
                process: index,
                call,
            },
        );
        self.send(index, to, message);
    }

    fn continue_loan(&mut self, index: usize, tokens: Tokens) {
        let process = &mut self.processes[index];
        let Some((_, holder, mut loan)) = process.loan.take() else {
            return;
        };
        let limit = process.limit;
        process
            .donors
            .record(self.now, &holder, limit, loan.missing, tokens);
        let wanted = loan.count - loan.granted;
        let holder = &mut process.holder;
        loan.granted += holder.receive(self.now, &self.workspace, limit, tokens, wanted);
        loan.missing = loan.missing.minus(tokens);
        self.ask_donor(index, loan);
    }

    /// The largest number of requests that ran in any window of `window` that begins at `from` or
    /// later.
    pub fn most_in_window(&self, window: Duration, from: Moment) -> usize {
        let mut runs: Vec<Moment> = self.runs.iter().copied().filter(|at| *at >= from).collect();
        runs.sort();
        let within = |(start, first): (usize, &Moment)| {
            runs[start..].partition_point(|at| at.since(*first) < window)
        };
        runs.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

fn process(own: &Member, limit: Limit) -> Process {
    Process {
        holder: Holder::new(own.address.clone(), Moment::ZERO),
        domains: Domains::default(),
        batch: Batch::default(),
        donors: Donors::default(),
        call: None,
        loan: None,
        loans: VecDeque::new(),
        limit,
    }
}
