//! Fake control replica with an in-memory ledger.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use futures::StreamExt;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use wire::api::ControlApi;
use wire::api::ControlApiRequest;
use wire::api::ControlApiResponse;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::History;
use wire::control::Follow;
use wire::control::FollowReply;
use wire::control::HistoryQuery;
use wire::control::Membership;
use wire::control::MembershipReply;
use wire::control::Status;
use wire::ledger::Claim;
use wire::ledger::ClaimReply;
use wire::ledger::Done;
use wire::ledger::Granted;
use wire::ledger::InFlight;
use wire::ledger::Mismatch;
use wire::ledger::Settle;
use wire::ledger::SettleReply;
use wire::ledger::Settled;
use wire::ledger::Unknown;
use wire::ledger::Unreachable;
use wire::ledger::claim_reply::Kind;

/// Record of one key.
#[derive(Clone, Debug)]
pub struct Record {
    pub claim: Claim,
    pub settle: Option<Settle>,
}

#[derive(Default)]
pub struct State {
    pub records: HashMap<String, Record>,
    pub unreachable: bool,
    /// The next claim is recorded, but no reply is sent.
    pub lose_answer: bool,
    pub claims: usize,
}

/// Handle of the running fake.
#[derive(Clone)]
pub struct FakeControl {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
}

impl FakeControl {
    pub async fn start() -> Self {
        Self::with(Arc::default()).await
    }

    /// Starts a replica with a shared ledger.
    pub async fn with(state: Arc<Mutex<State>>) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut incoming = wire::link::listen::<
            ClientMessage<ControlApiRequest>,
            Response<ControlApiResponse>,
        >(any)
        .await
        .expect("a free port");
        let control = Self {
            address: incoming.local_addr(),
            state,
        };
        let server = control.clone();
        tokio::spawn(async move {
            while let Some(Ok(transport)) = incoming.next().await {
                let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
                tokio::spawn(calls.for_each(|call| async {
                    tokio::spawn(call);
                }));
            }
        });
        control
    }

    /// Settlement of a key.
    pub fn settled(&self, key: &str) -> Option<Settled> {
        let state = self.state.lock().expect("no panic");
        let settle = state.records.get(key)?.settle.clone()?;
        Settled::try_from(settle.settled).ok()
    }

    fn decide(state: &mut State, claim: &Claim) -> Kind {
        let new_record = Record {
            claim: claim.clone(),
            settle: None,
        };
        let Some(existing) = state.records.get(&claim.key) else {
            state.records.insert(claim.key.clone(), new_record);
            return Kind::Granted(Granted {});
        };
        if existing.claim.digest != claim.digest {
            return Kind::Mismatch(Mismatch {});
        }
        let Some(settle) = &existing.settle else {
            return if existing.claim.claim_id == claim.claim_id {
                Kind::Granted(Granted {})
            } else {
                Kind::InFlight(InFlight { retry_ms: 1_500 })
            };
        };
        match Settled::try_from(settle.settled).unwrap_or_default() {
            Settled::Done => Kind::Done(Done {
                answer: settle.answer.clone(),
            }),
            Settled::NotRun => {
                state.records.insert(claim.key.clone(), new_record);
                Kind::Granted(Granted {})
            }
            Settled::Unknown | Settled::Unspecified => Kind::Unknown(Unknown {}),
        }
    }
}

impl ControlApi for FakeControl {
    async fn claim(self, _: Context, claim: Claim) -> ClaimReply {
        let lost = {
            let mut state = self.state.lock().expect("no panic");
            state.claims += 1;
            if state.unreachable {
                let kind = Some(Kind::Unreachable(Unreachable {}));
                return ClaimReply { kind };
            }
            let kind = Self::decide(&mut state, &claim);
            if !std::mem::take(&mut state.lose_answer) {
                return ClaimReply { kind: Some(kind) };
            }
            std::future::pending::<ClaimReply>()
        };
        lost.await
    }

    async fn settle(self, _: Context, settle: Settle) -> SettleReply {
        let mut state = self.state.lock().expect("no panic");
        let record = state.records.get_mut(&settle.key);
        let record = record.filter(|r| r.claim.claim_id == settle.claim_id);
        let recorded = record.map(|record| record.settle = Some(settle)).is_some();
        SettleReply { recorded }
    }

    async fn propose(self, _: Context, _: Change) -> ChangeReply {
        ChangeReply::default()
    }

    async fn follow(self, _: Context, _: Follow) -> FollowReply {
        FollowReply::default()
    }

    async fn history(self, _: Context, _: HistoryQuery) -> History {
        History::default()
    }

    async fn status(self, _: Context) -> Status {
        Status::default()
    }

    async fn change_membership(self, _: Context, _: Membership) -> MembershipReply {
        MembershipReply::default()
    }
}
