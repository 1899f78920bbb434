//! Sends calls and classifies their responses.

use std::net::SocketAddr;
use std::time::Duration;

use base::header;
use base::prelude::*;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;

use crate::options::Options;
use crate::report::CallOutcome;
use crate::target::Target;

/// Timeout of a call without a deadline.
const NO_DEADLINE: Duration = Duration::from_secs(10);
/// Time that the client waits beyond the deadline for a response that reports it as expired.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Sends calls to one target.
pub struct LoadClient {
    client: Client,
    target: Target,
    options: Options,
}

impl LoadClient {
    /// Creates a client that calls `target` as configured by `options`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be created.
    pub fn new(target: Target, options: Options) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .tcp_nodelay(true)
            .build()?;
        Ok(Self {
            client,
            target,
            options,
        })
    }

    /// Sends call number `number`. Tries the next address only if the connection to the one before
    /// failed.
    pub async fn call(&self, number: u64) -> CallOutcome {
        let Ok(addresses) = self.target.addresses().await else {
            return CallOutcome::NoAddress;
        };
        for address in addresses.iter() {
            match self.request(*address, number).send().await {
                Ok(response) => return classify_response(response).await,
                Err(err) if err.is_connect() => {}
                Err(err) if err.is_timeout() => return CallOutcome::Timeout,
                Err(_) => return CallOutcome::Broken,
            }
        }
        CallOutcome::Connect
    }

    fn request(&self, address: SocketAddr, number: u64) -> RequestBuilder {
        let options = &self.options;
        let url = format!("http://{address}{}", options.path);
        let mut request = if options.body.is_empty() {
            self.client.get(url)
        } else {
            self.client.post(url).body(options.body.clone())
        };
        request = request.header(header::SERVICE, options.service.as_str());
        if let Some(caller) = &options.caller {
            request = request.header(header::CALLER, caller.as_str());
        }
        if options.keyed {
            let key = format!("load-{}-{number}", options.seed);
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        if let Some(deadline) = options.deadline {
            let millis = deadline.as_millis().to_string();
            request = request.header(header::DEADLINE, millis);
        }
        let deadline = options.deadline.unwrap_or(NO_DEADLINE);
        request.timeout(deadline + DEADLINE_GRACE)
    }
}

async fn classify_response(response: Response) -> CallOutcome {
    let status = response.status();
    let outcome = response.headers().get(header::OUTCOME);
    let outcome = outcome.and_then(|v| v.to_str().ok()?.parse().ok());
    match response.bytes().await {
        Err(err) if err.is_timeout() => return CallOutcome::Timeout,
        Err(_) => return CallOutcome::Broken,
        Ok(_) => {}
    }
    match outcome {
        Some(Outcome::NotRun) => CallOutcome::NotRun,
        Some(Outcome::Unknown) => CallOutcome::Unknown,
        None if status.is_success() => CallOutcome::Ok,
        None => CallOutcome::Status,
    }
}
