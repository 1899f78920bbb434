//! An instance on a plain socket that announces itself.

use std::sync::Arc;

use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::announce::Announcer;
use crate::announce::Phase;
use crate::server::StartError;
use crate::server::incarnation;
use crate::settings::Settings;

/// An instance that is announced as ready until this is dropped.
pub(crate) struct Announced {
    incarnation_id: String,
    _announcer: AbortOnDropHandle<()>,
    // The announcer ends with the sender.
    _phase: watch::Sender<Phase>,
}

impl Announced {
    /// Opens the listening socket, and announces the instance.
    ///
    /// # Errors
    ///
    /// Fails if the listening socket can't be opened.
    pub(crate) async fn start(
        settings: &Settings,
        log: Logger,
    ) -> Result<(TcpListener, Self), StartError> {
        let listen = settings.listen;
        let listen_error = |err| StartError::Listen(listen, err);
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let incarnation = incarnation();
        let public_address = settings.announced.unwrap_or(address);
        let announcer = Announcer::new(settings, public_address, incarnation, log);
        let (phase, phases) = watch::channel(Phase::Ready);
        let announcing = tokio::spawn(Arc::new(announcer).run(phases));
        let this = Self {
            incarnation_id: format!("{}:{incarnation}", settings.instance),
            _announcer: AbortOnDropHandle::new(announcing),
            _phase: phase,
        };
        Ok((listener, this))
    }

    /// The name of the instance and of its incarnation.
    pub(crate) fn incarnation_id(&self) -> &str {
        &self.incarnation_id
    }
}
