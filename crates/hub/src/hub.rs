//! Starting and stopping a hub.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bounds::Clients;
use control::Control;
use control::ControlError;
use quick_error::quick_error;
use slog::Logger;
use slog::info;
use telemetry::metrics::MetricsError;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use wire::accept::Acceptor;

use crate::beacon;
use crate::commands::CommandHandler;
use crate::http;
use crate::server;
use crate::server::HubServer;
use crate::settings::Settings;
use crate::state::State;
use crate::tasks;

/// Maximum number of concurrent connections of entry processes, hubs and operators.
const MAX_CONNECTIONS: usize = 1024;

quick_error! {
    /// Errors that keep a hub from starting or running.
    #[derive(Debug)]
    pub enum HubError {
        /// The control replica failed.
        Control(err: ControlError) {
            from()
            source(err)
            display("{err}")
        }
        /// The metrics can't be set up.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
        /// A port of the hub can't be bound.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("bind {address}: {err}")
        }
    }
}

/// A running hub.
pub struct Hub {
    control: Control,
    commands: CommandHandler,
    clients: Clients,
    stop: CancellationToken,
    log: Logger,
    http: Option<SocketAddr>,
    tasks: Vec<AbortOnDropHandle<()>>,
}

impl Hub {
    /// Binds the ports, opens the data folder and starts all tasks.
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
        let metrics = telemetry::metrics::start(settings.telemetry.sink, settings.host.as_str())?;
        let clients = Clients::new(settings.client_limits(), log.clone(), Arc::new(metrics));
        let state = State::new(settings, control.local_client().clone(), log.clone());
        let commands = CommandHandler::new(Arc::clone(&state));
        let stop = CancellationToken::new();
        let acceptor = Acceptor {
            max_connections: MAX_CONNECTIONS,
            stop: stop.clone(),
            log: log.clone(),
        };
        let server = HubServer::new(Arc::clone(&state), commands.clone());
        let accepting = acceptor.run(listener, move |channel| {
            server::serve(channel, server.clone())
        });
        let mut tasks = vec![
            AbortOnDropHandle::new(tokio::spawn(accepting)),
            AbortOnDropHandle::new(tokio::spawn(tasks::follow_group(Arc::clone(&state)))),
            AbortOnDropHandle::new(tokio::spawn(tasks::expire_silent(Arc::clone(&state)))),
            AbortOnDropHandle::new(tokio::spawn(tasks::follow_views(Arc::clone(&state)))),
            AbortOnDropHandle::new(tokio::spawn(beacon::run(state))),
        ];
        let mut http = None;
        if let Some(port) = port {
            let (bound, serving) = http::listen(port, &commands, &clients)
                .await
                .map_err(|err| HubError::Bind(port, err))?;
            tasks.push(AbortOnDropHandle::new(tokio::spawn(serving)));
            http = Some(bound);
        }
        let http_text = http.map_or_else(|| "-".to_owned(), |bound| bound.to_string());
        info!(log, "hub serves"; "address" => %address, "http" => http_text);
        Ok(Self {
            control,
            commands,
            clients,
            stop,
            log,
            http,
            tasks,
        })
    }

    /// The bound HTTP address for upstreams and callers, if there is one.
    #[must_use]
    pub fn http(&self) -> Option<SocketAddr> {
        self.http
    }

    /// The handler of the hub's commands and queries.
    #[must_use]
    pub fn commands(&self) -> &CommandHandler {
        &self.commands
    }

    /// The connections of instances, callers and operators, and the memory that is kept for them.
    #[must_use]
    pub fn clients(&self) -> &Clients {
        &self.clients
    }

    /// Waits until the hub stops by itself.
    ///
    /// # Errors
    ///
    /// Fails with the error that stopped the hub.
    pub async fn ended(&mut self) -> Result<(), HubError> {
        Ok(self.control.ended().await?)
    }

    /// Hands leadership over, answers pending requests and stops. The ports are free when this
    /// returns.
    pub async fn stop(self) {
        self.stop.cancel();
        self.control.stop().await;
        for task in self.tasks {
            task.abort();
            // An aborted task has no result to check.
            let _ = task.await;
        }
        info!(self.log, "hub stopped");
    }
}
