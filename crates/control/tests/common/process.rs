//! Control replicas as separate processes.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;

use super::TIMEOUT;

/// The files and addresses of a replica.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The settings file.
    pub config: PathBuf,
    /// The data folder.
    pub data: PathBuf,
    /// The address for clients.
    pub rpc: SocketAddr,
    /// The address for other replicas.
    pub replica: SocketAddr,
}

/// Writes the settings of a founding group to `folder`.
pub fn plan(folder: &Path, count: usize) -> Vec<Plan> {
    let host = loopback();
    let addresses: Vec<(SocketAddr, SocketAddr)> = (0..count)
        .map(|_| (free_address(host), free_address(host)))
        .collect();
    let initial: Vec<String> = addresses.iter().map(|(_, r)| r.to_string()).collect();
    let initial = initial.join(", ");
    let plans = addresses.iter().enumerate();
    plans
        .map(|(i, (rpc, replica))| write(folder, i, *rpc, *replica, &initial))
        .collect()
}

/// Writes the settings of a replica that joins a group later.
pub fn joiner(folder: &Path, number: usize) -> Plan {
    let host = loopback();
    write(folder, number, free_address(host), free_address(host), "")
}

fn write(
    folder: &Path,
    number: usize,
    rpc: SocketAddr,
    replica: SocketAddr,
    initial: &str,
) -> Plan {
    let data = folder.join(format!("data-{number}"));
    let config = folder.join(format!("control-{number}.ini"));
    let text = format!(
        "[control]\nhost = control-{number}\ndomain = domain-{number}\nregion = local\n\
         data = {}\nrpc = {rpc}\n\n[replica]\nlisten = {replica}\naddress = {replica}\n\
         initial = {initial}\n",
        data.display()
    );
    fs::write(&config, text).expect("settings");
    Plan {
        config,
        data,
        rpc,
        replica,
    }
}

/// Reduces the size limits so that a few hundred changes cause several snapshots.
pub fn use_small_snapshots(plan: &Plan) {
    let mut text = fs::read_to_string(&plan.config).expect("settings");
    text.push_str("\n[store]\nsegment = 64KiB\nsnapshot = 64KiB\n");
    fs::write(&plan.config, text).expect("settings");
}

/// A loopback address that no other test process uses, so that ports do not collide.
fn loopback() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    let last = u8::try_from(last).expect("below 251");
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last))
}

fn free_address(host: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).expect("binds");
    listener.local_addr().expect("address")
}

/// A running replica process, killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a replica and waits until it is ready.
    pub fn start(plan: &Plan) -> Self {
        let (process, ready) = Self::spawn(plan);
        ready.recv_timeout(TIMEOUT).expect("ready line");
        process
    }

    /// Starts all replicas and waits until they are ready.
    pub fn start_all(plans: &[Plan]) -> Vec<Self> {
        let started: Vec<_> = plans.iter().map(Self::spawn).collect();
        started
            .into_iter()
            .map(|(process, ready)| {
                ready.recv_timeout(TIMEOUT).expect("ready line");
                process
            })
            .collect()
    }

    fn spawn(plan: &Plan) -> (Self, mpsc::Receiver<()>) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_rwr-control"))
            .arg("--config")
            .arg(&plan.config)
            .stdout(Stdio::piped())
            .spawn()
            .expect("starts");
        let lines = BufReader::new(child.stdout.take().expect("stdout"));
        let (sender, ready) = mpsc::channel();
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if std::env::var_os("SHOW").is_some() {
                    println!("{line}");
                }
                if line.contains("msg=ready") {
                    let _ = sender.send(());
                }
            }
        });
        (Self { child }, ready)
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(mut self) {
        self.child.kill().expect("kills");
        self.child.wait().expect("ends");
    }

    /// Sends SIGTERM and returns the exit status.
    pub fn terminate(mut self) -> ExitStatus {
        self.signal("-TERM");
        self.child.wait().expect("ends")
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal("-STOP");
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .expect("kill runs");
        assert!(status.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
