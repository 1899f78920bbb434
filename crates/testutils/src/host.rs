//! Loopback hosts: one IP number each, so that ports never collide.
//!
//! A process that is killed and started again needs its old port, which port 0
//! doesn't give, and a port found free beforehand may be taken meanwhile. The
//! whole of 127.0.0.0/8 is this machine, so each host of a test gets a number
//! of its own there, made from the test process's id.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Port that shows whether a number is in use.
const GUARD_PORT: u16 = 6999;
/// Hosts that one number of a test process has.
const HOSTS: u32 = 250;

static NUMBER: AtomicU32 = AtomicU32::new(0);

/// A host with an IP number of its own.
#[derive(Debug)]
pub struct Host {
    ip: IpAddr,
    // Held, so that no other test process takes the same number.
    _guard: TcpListener,
}

impl Host {
    /// The next free host.
    ///
    /// # Panics
    ///
    /// Panics when loopback has none left, which is a fault of the machine.
    #[must_use]
    pub fn new() -> Self {
        (0..HOSTS * 4)
            .find_map(|_| Self::take(next()))
            .expect("loopback has a free number")
    }

    fn take(ip: Ipv4Addr) -> Option<Self> {
        let guard = TcpListener::bind((ip, GUARD_PORT)).ok()?;
        Some(Self {
            ip: ip.into(),
            _guard: guard,
        })
    }

    /// Its address at `port`.
    #[must_use]
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }
}

impl Default for Host {
    fn default() -> Self {
        Self::new()
    }
}

fn next() -> Ipv4Addr {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let block = process::id().wrapping_add(number / HOSTS);
    let [_, _, high, low] = block.to_be_bytes();
    // 127.0 is left to others, who mostly use 127.0.0.1.
    let last = u8::try_from(number % HOSTS + 1).unwrap_or(1);
    Ipv4Addr::new(127, high.max(1), low, last)
}
