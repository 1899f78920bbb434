//! Guards against a deadlock between a request that waits for a check of a path and a change of the
//! list of entry hosts.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use base::prelude::*;
use entry::Dialect;
use entry::Settings;
use entry::core::Core;
use entry::counters::Counters;
use futures::executor::block_on;
use wire::hub::EntryHost;

/// How often each of the threads does its part.
const ROUNDS: usize = 20_000;
/// Time after which threads that haven't come to their end count as hanging.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);
const ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn core() -> Arc<Core> {
    let host = HostName::new("entry-0").expect("a valid name");
    let domain = DomainName::new("d0").expect("a valid name");
    let settings = Settings {
        relay: Some(7090),
        ..Settings::local(host, domain, SocketAddr::new(ADDRESS, 7080))
    };
    let counters = Counters::new(telemetry::metrics::silent());
    Core::new(
        settings,
        Dialect::default(),
        telemetry::log::silent(),
        counters,
    )
}

/// Runs `part` in a thread that is left alone if it hangs. The receiver gets a message at its end.
fn run(part: impl FnOnce() + Send + 'static) -> Receiver<()> {
    let (sender, ended) = mpsc::channel();
    thread::spawn(move || {
        part();
        // The test has failed if it no longer waits.
        let _ = sender.send(());
    });
    ended
}

#[test]
fn test_path_check_is_awaited_while_hosts_change() {
    let core = core();
    let changing = run({
        let core = Arc::clone(&core);
        move || {
            for round in 0..ROUNDS {
                core.set_hosts(vec![EntryHost {
                    address: format!("127.0.0.{}:7080", 2 + round % 2),
                    ..EntryHost::default()
                }]);
            }
        }
    });
    let waiting = run(move || {
        let service = ServiceName::new("status").expect("a valid name");
        for _ in 0..ROUNDS {
            block_on(core.path_checked(&service));
        }
    });
    for ended in [changing, waiting] {
        ended
            .recv_timeout(HANG_TIMEOUT)
            .expect("the threads don't hang");
    }
}
