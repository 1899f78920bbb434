//! A stand-in as a process, with its record read over HTTP.

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

/// What a stand-in says of itself.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Record {
    /// Probes answered.
    pub probes: u64,
    /// Requests that hold a slot or wait for one.
    pub in_flight: u32,
    /// Its runs, in the order of their starts.
    pub runs: Vec<Run>,
}

/// A running stand-in.
pub struct Upstream {
    /// The process.
    pub process: Process,
    /// Its instance name.
    pub instance: String,
    address: SocketAddr,
    client: Client,
}

impl Upstream {
    /// Starts one.
    ///
    /// # Errors
    ///
    /// Fails when it isn't ready in time.
    pub async fn start(settings: &Settings) -> Result<Self, ProcessError> {
        let process = Process::start(Binary::Standin, &settings.to_string()).await?;
        Ok(Self {
            process,
            instance: settings.instance.to_string(),
            address: settings.listen,
            client: Client::new(),
        })
    }

    /// Its record; empty when it gives none.
    pub async fn record(&self) -> Record {
        let url = format!("http://{}/standin/runs", self.address);
        let Ok(answer) = self.client.get(url).send().await else {
            return Record::default();
        };
        let body = answer.bytes().await.unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Its runs under `key`.
    pub async fn runs_of(&self, key: &str) -> Vec<Run> {
        let runs = self.record().await.runs.into_iter();
        runs.filter(|run| run.key == key).collect()
    }

    /// Switches its fault.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't take it within the patience of tests.
    pub async fn set_fault(&self, fault: Fault) -> Result<(), SystemError> {
        let url = format!("http://{}/standin/fault", self.address);
        let body = serde_json::to_vec(&fault).unwrap_or_default();
        wait("switched fault", async || {
            let send = self.client.post(&url).body(body.clone()).send();
            send.await.is_ok_and(|answer| answer.status().is_success())
        })
        .await
    }

    /// Waits until its record satisfies `test`.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than the patience of tests.
    pub async fn wait(
        &self,
        what: &str,
        test: impl Fn(&Record) -> bool,
    ) -> Result<(), SystemError> {
        let what = format!("{what} at {}", self.instance);
        wait(&what, async || test(&self.record().await)).await
    }
}
