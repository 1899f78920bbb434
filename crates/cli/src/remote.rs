//! Calls the daemons, trying the next address when one fails.

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

use crate::error::CliError;
use crate::pending::Pending;
use crate::settings::Settings;

/// Maximum time to wait for one address while others remain to be tried.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a change is sent to the same addresses again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Calls the process behind `link`.
///
/// # Errors
///
/// Fails when the connection or the call fails, or no reply comes within `timeout`.
pub async fn call_one<C, In, Out, T>(
    link: &Link<C, In, Out>,
    timeout: Duration,
    call: impl AsyncFn(C, Context) -> Result<T, RpcError>,
) -> Result<T, LinkError>
where
    C: Clone,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let client = link.client().await?;
    link.check_result(call(client, within(timeout)).await)
}

/// Calls one process after the other until one replies.
///
/// # Errors
///
/// Fails with [`CliError::Unreachable`] when none replies.
pub async fn call_any<C, In, Out, T>(
    links: &[Link<C, In, Out>],
    timeout: Duration,
    call: impl AsyncFn(C, Context) -> Result<T, RpcError>,
) -> Result<T, CliError>
where
    C: Clone,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let mut errors = Vec::new();
    for (index, link) in links.iter().enumerate() {
        match call_one(link, attempt_timeout(timeout, links.len() - index), &call).await {
            Ok(reply) => return Ok(reply),
            Err(err) => errors.push(err),
        }
    }
    Err(CliError::Unreachable(errors))
}

/// The timeout for the next of `remaining` addresses. An address that hangs must leave time for
/// those after it.
fn attempt_timeout(timeout: Duration, remaining: usize) -> Duration {
    if remaining <= 1 {
        return timeout;
    }
    timeout.min(MAX_ATTEMPT_TIMEOUT)
}

/// The control replicas.
pub struct Control {
    /// One link per process.
    pub links: Vec<ControlLink>,
    timeout: Duration,
}

impl Control {
    /// Creates links to the replicas in `settings`.
    ///
    /// # Errors
    ///
    /// Fails when `settings` has none.
    pub fn new(settings: &Settings) -> Result<Self, CliError> {
        let addresses = settings.control()?;
        Ok(Self {
            links: addresses.iter().map(|a| peer::control(*a)).collect(),
            timeout: settings.timeout,
        })
    }

    /// Calls one replica after the other until one replies.
    ///
    /// # Errors
    ///
    /// Fails when none replies.
    pub async fn call_any<T>(
        &self,
        call: impl AsyncFn(ControlApiClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, CliError> {
        call_any(&self.links, self.timeout, call).await
    }

    /// Fetches the catalogue in force, confirmed by a majority.
    ///
    /// # Errors
    ///
    /// Fails when no replica replies, or none has its version confirmed.
    pub async fn catalogue(&self) -> Result<Catalogue, CliError> {
        let request = Follow {
            have: 0,
            wait_ms: 0,
        };
        let mut errors = Vec::new();
        let mut unconfirmed = None;
        for (index, link) in self.links.iter().enumerate() {
            let timeout = attempt_timeout(self.timeout, self.links.len() - index);
            match call_one(link, timeout, async |c, x| c.follow(x, request).await).await {
                Ok(reply) if reply.confirmed => {
                    return decode_catalogue(&reply.catalogue.unwrap_or_default());
                }
                Ok(reply) => unconfirmed = unconfirmed.max(Some(reply.version)),
                Err(err) => errors.push(err),
            }
        }
        Err(unconfirmed.map_or(CliError::Unreachable(errors), CliError::Unconfirmed))
    }

    /// Fetches the accepted changes.
    ///
    /// A replica that lost its data has no history, so replicas are called until one has the
    /// changes up to version `last`. If none has, the reply with the highest version is returned.
    ///
    /// # Errors
    ///
    /// Fails when no replica replies.
    pub async fn history(&self, query: HistoryQuery, last: u64) -> Result<History, CliError> {
        let mut errors = Vec::new();
        let mut longest: Option<History> = None;
        let last_version = |history: &History| history.items.last().map_or(0, |item| item.version);
        for (index, link) in self.links.iter().enumerate() {
            let timeout = attempt_timeout(self.timeout, self.links.len() - index);
            match call_one(link, timeout, async |c, x| c.history(x, query).await).await {
                Ok(history) if last_version(&history) >= last => return Ok(history),
                Ok(history) => {
                    let longer = longest
                        .as_ref()
                        .is_none_or(|l| last_version(l) < last_version(&history));
                    if longer {
                        longest = Some(history);
                    }
                }
                Err(err) => errors.push(err),
            }
        }
        longest.ok_or(CliError::Unreachable(errors))
    }

    /// Sends a change until its result is known. Resends have the same id, so the change is
    /// applied at most once.
    ///
    /// # Errors
    ///
    /// Fails with [`CliError::Unreachable`] when the change was never sent, and with
    /// [`CliError::Uncertain`] when it may have been accepted.
    pub async fn propose(&self, pending: &Pending) -> Result<Kind, CliError> {
        let deadline = Instant::now() + self.timeout;
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
            if Instant::now() + RESEND_PAUSE >= deadline {
                let id = pending.change.id.clone();
                return Err(CliError::Uncertain(id, pending.file.clone(), errors));
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }

    async fn propose_to(&self, link: &ControlLink, change: &Change) -> Result<Kind, LinkError> {
        let call = async |c: ControlApiClient, x| c.propose(x, change.clone()).await;
        let reply = call_one(link, self.timeout, call).await?;
        // An empty reply does not tell whether the change was accepted.
        Ok(reply.kind.unwrap_or(Kind::Uncertain(Uncertain {})))
    }
}

/// The directories.
pub struct Directories {
    /// One link per process.
    pub links: Vec<DirectoryLink>,
    timeout: Duration,
}

impl Directories {
    /// Creates links to the directories in `settings`.
    ///
    /// # Errors
    ///
    /// Fails when `settings` has none.
    pub fn new(settings: &Settings) -> Result<Self, CliError> {
        let addresses = settings.directory()?;
        Ok(Self {
            links: addresses.iter().map(|a| peer::directory(*a)).collect(),
            timeout: settings.timeout,
        })
    }

    /// Fetches the hosts known to one directory, sorted by name.
    ///
    /// # Errors
    ///
    /// Fails when no directory replies.
    pub async fn hosts(&self) -> Result<Vec<Host>, CliError> {
        let reply = call_any(&self.links, self.timeout, async |c, x| c.hosts(x).await).await?;
        let mut hosts = reply.hosts;
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        Ok(hosts)
    }
}

fn decode_catalogue(catalogue: &wire::catalogue::Catalogue) -> Result<Catalogue, CliError> {
    Catalogue::from_wire(catalogue).map_err(|_| CliError::Malformed)
}
