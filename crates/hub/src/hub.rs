//! Starts a hub from its settings, and stops it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use control::Control;
use control::ControlError;
use quick_error::quick_error;
use slog::Logger;
use slog::info;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use wire::accept::Acceptor;

use crate::beacon;
use crate::desk::Desk;
use crate::http;
use crate::peers;
use crate::server;
use crate::server::HubServer;
use crate::settings::Settings;
use crate::state::State;

/// Most connections of entry processes, hubs and operators at once: some
/// hundred entry hosts with one each, and room for those that reconnect.
const MAX_CONNECTIONS: usize = 1024;

quick_error! {
    /// Why a hub can't start or go on.
    #[derive(Debug)]
    pub enum HubError {
        /// The control replica within.
        Control(err: ControlError) {
            from()
            source(err)
            display("{err}")
        }
        /// A port of its own.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("bind {address}: {err}")
        }
    }
}

/// A running hub.
pub struct Hub {
    control: Control,
    desk: Desk,
    stop: CancellationToken,
    log: Logger,
    http: Option<SocketAddr>,
    tasks: Vec<AbortOnDropHandle<()>>,
}

impl Hub {
    /// Binds, opens the data folder and starts.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound or the data folder can't be used.
    pub async fn start(settings: Settings, log: Logger) -> Result<Self, HubError> {
        let control = control::start(settings.control(), log.clone()).await?;
        let address = settings.hub_at(settings.address);
        let listener = wire::link::listen(address).await;
        let listener = listener.map_err(|err| HubError::Bind(address, err))?;
        let port = settings.http;
        let state = State::new(settings, control.local_client().clone(), log.clone());
        let desk = Desk::new(Arc::clone(&state));
        let stop = CancellationToken::new();
        let acceptor = Acceptor {
            limit: MAX_CONNECTIONS,
            stop: stop.clone(),
            log: log.clone(),
        };
        let served = HubServer::new(Arc::clone(&state), desk.clone());
        let accepting = acceptor.run(listener, move |channel| {
            server::serve(channel, served.clone())
        });
        let mut tasks = vec![
            AbortOnDropHandle::new(tokio::spawn(accepting)),
            AbortOnDropHandle::new(tokio::spawn(peers::follow_group(Arc::clone(&state)))),
            AbortOnDropHandle::new(tokio::spawn(peers::follow_lost(Arc::clone(&state)))),
            AbortOnDropHandle::new(tokio::spawn(peers::follow_registry(Arc::clone(&state)))),
            AbortOnDropHandle::new(tokio::spawn(beacon::run(state))),
        ];
        let mut http = None;
        if let Some(port) = port {
            let (bound, serving) = http::listen(port, &desk)
                .await
                .map_err(|err| HubError::Bind(port, err))?;
            tasks.push(AbortOnDropHandle::new(tokio::spawn(serving)));
            http = Some(bound);
        }
        let shown = http.map_or_else(|| "-".to_owned(), |bound| bound.to_string());
        info!(log, "hub serves"; "address" => %address, "http" => shown);
        Ok(Self {
            control,
            desk,
            stop,
            log,
            http,
            tasks,
        })
    }

    /// Where upstreams and callers reach it, if they do.
    #[must_use]
    pub fn http(&self) -> Option<SocketAddr> {
        self.http
    }

    /// Answers what the hub is asked.
    #[must_use]
    pub fn desk(&self) -> &Desk {
        &self.desk
    }

    /// Waits until the hub stops by itself.
    ///
    /// # Errors
    ///
    /// Fails with what stopped it.
    pub async fn ended(&mut self) -> Result<(), HubError> {
        Ok(self.control.ended().await?)
    }

    /// Hands leadership over, answers what is open, and stops; its ports are free then.
    pub async fn stop(self) {
        self.stop.cancel();
        self.control.stop().await;
        for task in self.tasks {
            task.abort();
            // One that was ended here has no result.
            let _ = task.await;
        }
        info!(self.log, "hub stopped");
    }
}
