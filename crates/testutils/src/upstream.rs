//! A stand-in upstream as a process, queried and controlled over HTTP.

use std::net::SocketAddr;

use reqwest::Client;
use serde::Deserialize;
use standin::Fault;
use standin::Run;
use standin::Settings;

use crate::process::Binary;
use crate::process::Process;
use crate::process::ProcessError;
use crate::system::SystemError;
use crate::system::wait;

/// A stand-in's report on itself.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Record {
    /// Probes answered.
    pub probes: u64,
    /// Requests rejected before any work.
    pub refused: u64,
    /// Requests that occupy a slot or wait for one.
    pub in_flight: u32,
    /// Runs in the order of their starts.
    pub runs: Vec<Run>,
}

/// A running stand-in.
pub struct Upstream {
    /// The stand-in's process.
    pub process: Process,
    /// The instance's name.
    pub instance: String,
    address: SocketAddr,
    client: Client,
}

impl Upstream {
    /// Starts a stand-in with `settings`.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in is not ready in time.
    pub async fn start(settings: &Settings) -> Result<Self, ProcessError> {
        let process = Process::start(Binary::Standin, &settings.to_string()).await?;
        Ok(Self {
            process,
            instance: settings.instance.to_string(),
            address: settings.listen,
            client: Client::new(),
        })
    }

    /// Fetches the stand-in's record; empty if the stand-in does not answer.
    pub async fn record(&self) -> Record {
        let url = format!("http://{}/standin/runs", self.address);
        let Ok(response) = self.client.get(url).send().await else {
            return Record::default();
        };
        let body = response.bytes().await.unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Runs of requests with the idempotency key `key`.
    pub async fn runs_of(&self, key: &str) -> Vec<Run> {
        let runs = self.record().await.runs.into_iter();
        runs.filter(|run| run.key == key).collect()
    }

    /// Makes the stand-in behave as `fault` says.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not confirm within
    /// [`WAIT_TIMEOUT`](crate::process::WAIT_TIMEOUT).
    pub async fn set_fault(&self, fault: Fault) -> Result<(), SystemError> {
        let url = format!("http://{}/standin/fault", self.address);
        let body = serde_json::to_vec(&fault).unwrap_or_default();
        wait("confirmed change of the fault", async || {
            let send = self.client.post(&url).body(body.clone()).send();
            send.await
                .is_ok_and(|response| response.status().is_success())
        })
        .await
    }

    /// Waits until the stand-in's record satisfies `test`.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`WAIT_TIMEOUT`](crate::process::WAIT_TIMEOUT).
    pub async fn wait(
        &self,
        what: &str,
        test: impl Fn(&Record) -> bool,
    ) -> Result<(), SystemError> {
        let what = format!("{what} at {}", self.instance);
        wait(&what, async || test(&self.record().await)).await
    }
}
