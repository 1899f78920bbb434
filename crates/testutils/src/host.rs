//! Loopback hosts with an IP address each, so that fixed ports never collide.
//!
//! A restarted process has to bind its old port, which rules out port 0. Each host
//! gets an address in 127.0.0.0/8 that is derived from the test's process id.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Port bound on an address to reserve it.
const GUARD_PORT: u16 = 6999;
/// Hosts in one /24 block of addresses.
const HOSTS_PER_BLOCK: u32 = 250;

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A host with a reserved loopback address.
#[derive(Debug)]
pub struct Host {
    ip: IpAddr,
    // Keeps other test processes from using the same address.
    _guard: TcpListener,
}

impl Host {
    /// Reserves the next free address.
    ///
    /// # Panics
    ///
    /// Panics if no free loopback address is found.
    #[must_use]
    pub fn new() -> Self {
        (0..HOSTS_PER_BLOCK * 4)
            .find_map(|_| Self::try_bind(next_ip()))
            .expect("a free loopback address")
    }

    fn try_bind(ip: Ipv4Addr) -> Option<Self> {
        let guard = TcpListener::bind((ip, GUARD_PORT)).ok()?;
        Some(Self {
            ip: ip.into(),
            _guard: guard,
        })
    }

    /// Socket address of `port` on this host.
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

fn next_ip() -> Ipv4Addr {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let block = process::id().wrapping_add(number / HOSTS_PER_BLOCK);
    let [_, _, high, low] = block.to_be_bytes();
    // Addresses in 127.0.0.0/16 are left to other programs.
    let last = u8::try_from(number % HOSTS_PER_BLOCK + 1).unwrap_or(1);
    Ipv4Addr::new(127, high.max(1), low, last)
}
