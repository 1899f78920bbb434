//! Questions to the daemons, passed on to the next address when one fails.

use std::time::Duration;

use catalogue::Catalogue;
use serde::Deserialize;
use serde::Serialize;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::time::Instant;
use wire::api::ControlApiClient;
use wire::catalogue::Change;
use wire::catalogue::History;
use wire::catalogue::Uncertain;
use wire::catalogue::change_reply::Kind;
use wire::control::Follow;
use wire::control::HistoryQuery;
use wire::directory::Host;
use wire::link::Link;
use wire::link::LinkError;
use wire::link::within;
use wire::peer;
use wire::peer::ControlLink;
use wire::peer::DirectoryLink;

use crate::fault::CliError;
use crate::pending::Pending;
use crate::settings::Settings;

/// Longest wait for one address while there are others: as long as other callers of
/// control wait.
const ONE_TRY: Duration = Duration::from_secs(1);
/// Pause before a change is sent to the same addresses again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Asks the process behind `link`.
///
/// # Errors
///
/// Fails without a connection or an answer within `span`.
pub async fn one<C, In, Out, T>(
    link: &Link<C, In, Out>,
    span: Duration,
    call: impl AsyncFn(C, Context) -> Result<T, RpcError>,
) -> Result<T, LinkError>
where
    C: Clone,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let client = link.client().await?;
    link.check_result(call(client, within(span)).await)
}

/// Asks one process after the other until one answers.
///
/// # Errors
///
/// Fails when none does.
pub async fn first<C, In, Out, T>(
    links: &[Link<C, In, Out>],
    span: Duration,
    call: impl AsyncFn(C, Context) -> Result<T, RpcError>,
) -> Result<T, CliError>
where
    C: Clone,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let mut errors = Vec::new();
    for (index, link) in links.iter().enumerate() {
        match one(link, share(span, links.len() - index), &call).await {
            Ok(answer) => return Ok(answer),
            Err(err) => errors.push(err),
        }
    }
    Err(CliError::Unreachable(errors))
}

/// What one of so many addresses that are left gets of the time: one that hangs
/// must leave enough for the next.
fn share(span: Duration, left: usize) -> Duration {
    if left <= 1 {
        return span;
    }
    span.min(ONE_TRY)
}

/// The control replicas.
pub struct Control {
    /// A link to each.
    pub links: Vec<ControlLink>,
    span: Duration,
}

impl Control {
    /// The replicas of `settings`.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn new(settings: &Settings) -> Result<Self, CliError> {
        let addresses = settings.control()?;
        Ok(Self {
            links: addresses.iter().map(|a| peer::control(*a)).collect(),
            span: settings.timeout,
        })
    }

    /// Asks one replica after the other until one answers.
    ///
    /// # Errors
    ///
    /// Fails when none does.
    pub async fn first<T>(
        &self,
        call: impl AsyncFn(ControlApiClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, CliError> {
        first(&self.links, self.span, call).await
    }

    /// The catalogue in force, confirmed by a majority.
    ///
    /// # Errors
    ///
    /// Fails when no replica answers, or none is confirmed.
    pub async fn catalogue(&self) -> Result<Catalogue, CliError> {
        let ask = Follow {
            have: 0,
            wait_ms: 0,
        };
        let mut errors = Vec::new();
        let mut unconfirmed = None;
        for (index, link) in self.links.iter().enumerate() {
            let span = share(self.span, self.links.len() - index);
            match one(link, span, async |c, x| c.follow(x, ask).await).await {
                Ok(reply) if reply.confirmed => return typed(&reply.catalogue.unwrap_or_default()),
                Ok(reply) => unconfirmed = unconfirmed.max(Some(reply.version)),
                Err(err) => errors.push(err),
            }
        }
        Err(unconfirmed.map_or(CliError::Unreachable(errors), CliError::Unconfirmed))
    }

    /// Accepted changes. A replica that was emptied knows none, so that all are asked
    /// until one reaches to `last`; else the longest answer counts.
    ///
    /// # Errors
    ///
    /// Fails when no replica answers.
    pub async fn history(&self, query: HistoryQuery, last: u64) -> Result<History, CliError> {
        let mut errors = Vec::new();
        let mut longest: Option<History> = None;
        let reach = |history: &History| history.items.last().map_or(0, |item| item.version);
        for (index, link) in self.links.iter().enumerate() {
            let span = share(self.span, self.links.len() - index);
            match one(link, span, async |c, x| c.history(x, query).await).await {
                Ok(history) if reach(&history) >= last => return Ok(history),
                Ok(history) => {
                    let longer = longest.as_ref().is_none_or(|l| reach(l) < reach(&history));
                    if longer {
                        longest = Some(history);
                    }
                }
                Err(err) => errors.push(err),
            }
        }
        longest.ok_or(CliError::Unreachable(errors))
    }

    /// Sends a change until it has an answer; a resend is harmless, as its id is the same.
    ///
    /// # Errors
    ///
    /// Fails with [`CliError::Unreachable`] only when no byte of it left.
    pub async fn propose(&self, pending: &Pending) -> Result<Kind, CliError> {
        let end = Instant::now() + self.span;
        let mut sent = false;
        loop {
            let mut errors = Vec::new();
            for link in &self.links {
                match self.propose_to(link, &pending.change).await {
                    Ok(Kind::Uncertain(_)) => sent = true,
                    Ok(kind) => return Ok(kind),
                    Err(err) => {
                        sent |= matches!(err, LinkError::Call(..));
                        errors.push(err);
                    }
                }
            }
            if !sent {
                return Err(CliError::Unreachable(errors));
            }
            if Instant::now() + RESEND_PAUSE >= end {
                let id = pending.change.id.clone();
                return Err(CliError::Uncertain(id, pending.file.clone(), errors));
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }

    async fn propose_to(&self, link: &ControlLink, change: &Change) -> Result<Kind, LinkError> {
        let call = async |c: ControlApiClient, x| c.propose(x, change.clone()).await;
        let reply = one(link, self.span, call).await?;
        // An answer without content tells nothing, which is what uncertain means.
        Ok(reply.kind.unwrap_or(Kind::Uncertain(Uncertain {})))
    }
}

/// The directories.
pub struct Directories {
    /// A link to each.
    pub links: Vec<DirectoryLink>,
    span: Duration,
}

impl Directories {
    /// The directories of `settings`.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn new(settings: &Settings) -> Result<Self, CliError> {
        let addresses = settings.directory()?;
        Ok(Self {
            links: addresses.iter().map(|a| peer::directory(*a)).collect(),
            span: settings.timeout,
        })
    }

    /// The hosts that one directory knows, sorted.
    ///
    /// # Errors
    ///
    /// Fails when no directory answers.
    pub async fn hosts(&self) -> Result<Vec<Host>, CliError> {
        let reply = first(&self.links, self.span, async |c, x| c.hosts(x).await).await?;
        let mut hosts = reply.hosts;
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        Ok(hosts)
    }
}

fn typed(catalogue: &wire::catalogue::Catalogue) -> Result<Catalogue, CliError> {
    Catalogue::from_wire(catalogue).map_err(|_| CliError::Malformed)
}
