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
use wire::catalogue::Uncertain;
use wire::catalogue::change_reply::Kind;
use wire::control::Follow;
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
    link.judge(call(client, within(span)).await)
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
    for link in links {
        match one(link, span, &call).await {
            Ok(answer) => return Ok(answer),
            Err(err) => errors.push(err),
        }
    }
    Err(CliError::Unreachable(errors))
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
        for link in &self.links {
            match one(link, self.span, async |c, x| c.follow(x, ask).await).await {
                Ok(reply) if reply.confirmed => return typed(&reply.catalogue.unwrap_or_default()),
                Ok(reply) => unconfirmed = unconfirmed.max(Some(reply.version)),
                Err(err) => errors.push(err),
            }
        }
        Err(unconfirmed.map_or(CliError::Unreachable(errors), CliError::Unconfirmed))
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
