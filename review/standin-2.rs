//! Stand-ins of the second review: a platform, an operator, servers and clients, with the standard
//! library alone. Each case starts the programs of the deploy file on loopback addresses.
//!
//! Usage: `standin-2 CASE RECORD`, from the repository's root. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HUBS: usize = 3;
const ENTRIES: usize = 2;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(60);

type Fallible<T> = Result<T, String>;

fn text<E: std::fmt::Display>(err: E) -> String {
    err.to_string()
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
struct Record {
    started_at: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    fn note(&self, line: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{at:8.3} {}", line.as_ref());
    }

    fn save(&self, path: &Path) {
        let _ = fs::write(path, &*self.lines.lock().unwrap());
    }
}

/// A message read from a connection.
struct Message {
    first: String,
    headers: HashMap<String, String>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message whose body has a length, or chunks, or none. `Ok(None)` is the end of the
/// connection before its first byte.
fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, rest)? {
            return if rest.is_empty() {
                Ok(None)
            } else {
                Err(broken())
            };
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let line = loop {
                if let Some(at) = rest.windows(2).position(|w| w == b"\r\n") {
                    break rest.drain(..at + 2).collect::<Vec<u8>>();
                }
                if !fill(stream, rest)? {
                    return Err(broken());
                }
            };
            let size = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken())?;
            while rest.len() < size + 2 {
                if !fill(stream, rest)? {
                    return Err(broken());
                }
            }
            rest.drain(..size + 2);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = headers
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        while rest.len() < length {
            if !fill(stream, rest)? {
                return Err(broken());
            }
        }
        rest.drain(..length);
    }
    Ok(Some(Message { first, headers }))
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 * 1024];
    let count = stream.read(&mut part)?;
    rest.extend_from_slice(&part[..count]);
    Ok(count > 0)
}

/// One call on a connection of its own.
fn call(address: SocketAddr, request: &str, body: &str, wait: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let message = format!(
        "{request} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(message.as_bytes())?;
    let reply = read_message(&mut stream, &mut Vec::new())?;
    reply.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A run of a request: its id, the server's id and start, and when it began.
type Run = (String, String, u32, Instant);

/// What the servers have begun to run.
#[derive(Default)]
struct Runs(Mutex<Vec<Run>>);

impl Runs {
    fn add(&self, request: &str, server: &str, start: u32) {
        let run = (request.to_owned(), server.to_owned(), start, Instant::now());
        self.0.lock().unwrap().push(run);
    }
}

/// One start of a server of the one service, as the pages describe it: six slots, its load told, its
/// `id` kept over a restart, and `born` as its clock tells it.
struct Server {
    id: String,
    /// Names the start in the record, and in no message.
    start: u32,
    born: u64,
    address: SocketAddr,
    ended: AtomicBool,
    sequence: AtomicU64,
    running: AtomicU64,
    /// The idle timeout that answers to requests state, in whole seconds; answers to health checks
    /// state none.
    idle_secs: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

const SLOTS: u32 = 6;

impl Server {
    fn start(
        id: &str,
        start: u32,
        born: u64,
        address: SocketAddr,
        runs: &Arc<Runs>,
        record: &Record,
    ) -> Fallible<Arc<Self>> {
        let listener = TcpListener::bind(address).map_err(text)?;
        listener.set_nonblocking(true).map_err(text)?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            start,
            born,
            address,
            ended: AtomicBool::default(),
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            idle_secs: AtomicU64::new(10),
            streams: Mutex::default(),
        });
        record.note(format!("start {start} of {id} at {address}, born {born}"));
        let (this, runs, record) = (Arc::clone(&server), Arc::clone(runs), record.clone());
        thread::spawn(move || {
            while !this.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    this.streams.lock().unwrap().push(copy);
                }
                let (this, runs, record) = (Arc::clone(&this), Arc::clone(&runs), record.clone());
                thread::spawn(move || this.serve(stream, &runs, &record));
            }
        });
        Ok(server)
    }

    /// Ends this start: its listener, its connections and its heartbeats.
    fn end(&self, record: &Record) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        record.note(format!("start {} of {} has ended", self.start, self.id));
    }

    fn serve(&self, mut stream: TcpStream, runs: &Runs, record: &Record) {
        let mut rest = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let load = format!("{},0,{SLOTS}", self.running.load(Ordering::SeqCst));
            let expected = request.header("expected-instance");
            let id = request.header("attempt-id").to_owned();
            let reply = if !expected.is_empty() && expected != self.id {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )
            } else if request.first.starts_with("GET /health ") {
                format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nInstance-Load: {load}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                )
            } else {
                record.note(format!(
                    "{id} reaches start {} of {}, which runs it",
                    self.start, self.id
                ));
                runs.add(&id, &self.id, self.start);
                self.running.fetch_add(1, Ordering::SeqCst);
                thread::sleep(WORK);
                self.running.fetch_sub(1, Ordering::SeqCst);
                let body = format!("done {id}");
                format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s.{id}\r\n\
                     Instance-Load: {load}\r\nKeep-Alive: timeout={}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.idle_secs.load(Ordering::SeqCst),
                    body.len()
                )
            };
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Tells the system of this start; returns whether a hub acknowledged it within a second.
    fn beat(&self, control: &[SocketAddr], state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"concurrency\":{SLOTS},\"state\":\"{state}\",\"warmup-left\":\"0ms\",\
             \"sequence\":{sequence},\"born\":{}}}",
            self.address, self.born
        );
        let request = format!("POST /-/Instances.Heartbeat/{}", self.id);
        control.iter().any(|address| {
            call(*address, &request, &body, Duration::from_secs(1)).is_ok_and(|r| r.status() == 200)
        })
    }

    fn deregister(&self, control: &[SocketAddr]) -> bool {
        let body = format!("{{\"born\":{}}}", self.born);
        let request = format!("POST /-/Instances.Deregister/{}", self.id);
        control.iter().any(|address| {
            call(*address, &request, &body, Duration::from_secs(1)).is_ok_and(|r| r.status() == 200)
        })
    }

    /// Sends heartbeats until the start ends or leaves.
    fn announce(self: &Arc<Self>, control: &[SocketAddr], leaving: &Arc<AtomicBool>) {
        let (this, control, leaving) = (Arc::clone(self), control.to_vec(), Arc::clone(leaving));
        thread::spawn(move || {
            while !this.ended.load(Ordering::SeqCst) && !leaving.load(Ordering::SeqCst) {
                this.beat(&control, "ready");
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

const SERVICE: &str = "concessioni";
const HOST: &str = "possessi.example";

/// The processes of the system, killed when this is dropped.
struct System {
    folder: PathBuf,
    children: Vec<(String, Child)>,
    control: Vec<SocketAddr>,
    fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
}

impl Drop for System {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(127, 91, 2, host).into(), port)
}

/// Ports that are free now: five in a row for the processes, and one for the servers.
fn free_ports() -> Fallible<(u16, u16)> {
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(text)?
        .subsec_nanos();
    for step in 0..200_u32 {
        let base = 21_000 + u16::try_from((seed / 1_000 + step * 37) % 10_000).unwrap_or(0);
        let hosts = (11..14).chain(21..23).chain(31..35);
        let is_free =
            |host| (base..base + 10).all(|port| TcpListener::bind(address(host, port)).is_ok());
        if hosts.into_iter().all(is_free) {
            return Ok((base, base + 9));
        }
    }
    Err("no free ports".into())
}

impl System {
    fn start(base: u16) -> Fallible<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{base}", std::process::id()));
        fs::create_dir_all(&folder).map_err(text)?;
        let (front, ready, control, directory, internal) =
            (base + 3, base + 4, base + 5, base + 6, base);
        let hubs: Vec<u8> = (11..).take(HUBS).collect();
        let entries: Vec<u8> = (21..).take(ENTRIES).collect();
        let seeds: Vec<String> = hubs
            .iter()
            .map(|h| address(*h, control).to_string())
            .collect();
        let seeds = seeds.join(",");
        let mut system = Self {
            folder,
            children: Vec::new(),
            control: hubs.iter().map(|h| address(*h, control)).collect(),
            fronts: entries.iter().map(|h| address(*h, front)).collect(),
            ready: entries.iter().map(|h| address(*h, ready)).collect(),
        };
        let zones = ["zone-a", "zone-b", "zone-c"];
        for (index, host) in hubs.iter().enumerate() {
            let name = format!("core-{}", index + 1);
            let ip = address(*host, 0).ip();
            let data = system.folder.join(&name);
            let settings = format!(
                "[hub]\nhost = {name}\ndomain = {}\nregion = nord\ndata = {}\naddress = {ip}\n\
                 port = {internal}\nseeds = {seeds}\nfound = yes\n\n[platform]\n\
                 control = {ip}:{control}\n\n[metrics]\nlisten = {ip}:{}\n",
                zones[index],
                data.display(),
                base + 7
            );
            system.spawn("platform-hub", &name, &settings)?;
        }
        for (index, host) in entries.iter().enumerate() {
            let name = format!("edge-{}", index + 1);
            let ip = address(*host, 0).ip();
            let settings = format!(
                "[entry]\nhost = {name}\ndomain = {}\nregion = nord\nfront = {ip}:{front}\n\
                 ready = {ip}:{ready}\nready-path = /-/ready\nport = {internal}\nspread = 3\nttl = 5s\n\
                 seeds = {seeds}\n\n[stop]\ngrace = {}s\n\n[retry]\nbase = 60\nwindow = 10s\n\n\
                 [cost]\ncrossing = 13000\n\n[platform]\ndirectory = {ip}:{directory}\n\n[probe]\n\
                 per-second = 60\n\n[metrics]\nlisten = {ip}:{}\n\n[place]\nlisten = {ip}:{}\n\
                 parts = no\n\n[relay]\nport = {internal}\n\n[quota]\ndomains = zone-a,zone-b,zone-c\n",
                zones[index],
                6,
                base + 7,
                base + 8
            );
            system.spawn("platform-entry", &name, &settings)?;
        }
        Ok(system)
    }

    fn spawn(&mut self, program: &str, name: &str, settings: &str) -> Fallible<()> {
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings).map_err(text)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).map_err(text)?;
        let child = Command::new(format!("target/release/{program}"))
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log)
            .spawn()
            .map_err(text)?;
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    /// Sends the configuration until it is acknowledged, and waits until all entries are ready.
    fn configure(&self, record: &Record) -> Fallible<()> {
        let body = format!(
            "{{\"version\":\"00000003\",\"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\
             \"max-connections\":240,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
             \"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}},\
             \"virtual-hosts\":[{{\"host\":\"{HOST}\",\"path-rules\":[{{\"name\":\"r-grant\",\
             \"path-prefix\":\"/grant/\",\"kind\":\"unsafe\",\"timeout\":\"8000ms\",\"target-latency\":\"400ms\",\
             \"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":2}}]}}]}}"
        );
        let until = Instant::now() + Duration::from_secs(20);
        let mut acknowledged = false;
        while Instant::now() < until {
            for control in &self.control {
                if !acknowledged {
                    let reply = call(
                        *control,
                        "POST /-/Config.Put",
                        &body,
                        Duration::from_secs(1),
                    );
                    acknowledged = reply.is_ok_and(|r| r.status() == 200);
                }
            }
            let is_ready = |at: &SocketAddr| {
                call(*at, "GET /-/ready", "", Duration::from_secs(1))
                    .is_ok_and(|r| r.status() == 200)
            };
            if acknowledged && self.ready.iter().all(is_ready) {
                record.note("the configuration is acknowledged, and all entries are ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the system didn't get ready".into())
    }
}

/// Sends one grant on a connection of its own; returns the status, or why there is none.
fn grant(front: SocketAddr, id: &str) -> Fallible<u16> {
    let deadline = Duration::from_secs(2);
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(deadline)).map_err(text)?;
    let body = "block=7";
    let request = format!(
        "POST /grant/7 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nRequest-Deadline: {}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(text)?;
    let reply = read_message(&mut stream, &mut Vec::new()).map_err(text)?;
    reply
        .map(|reply| reply.status())
        .ok_or_else(|| "the connection ended without an answer".into())
}

/// Clients that send a grant every 40 ms, to each entry in turn, until they are told to stop.
fn send_grants(
    fronts: &[SocketAddr],
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (fronts, stop, record) = (fronts.to_vec(), Arc::clone(stop), record.clone());
    thread::spawn(move || {
        for number in 0_usize.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (front, record) = (fronts[number % fronts.len()], record.clone());
            thread::spawn(move || {
                let id = format!("g-{number}");
                record.note(format!("{id} is sent to {front}"));
                let end = grant(front, &id);
                record.note(format!("{id} ends: {end:?}"));
            });
            thread::sleep(Duration::from_millis(40));
        }
    })
}

/// The time of day in milliseconds.
fn unix_ms() -> Fallible<u64> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(text)?;
    u64::try_from(now.as_millis()).map_err(text)
}

/// A server crashes and starts again under its id, and its machine's clock has jumped back meanwhile;
/// then it says that it leaves.
fn older_start(record: &Record, trouble: bool) -> Fallible<bool> {
    // The largest jump of the pages.
    const JUMP_MS: u64 = 2_000;
    const DRAIN: Duration = Duration::from_millis(2_000);
    let (base, port) = free_ports()?;
    let runs = Arc::new(Runs::default());
    let system = System::start(base)?;
    let control = system.control.clone();
    let never = Arc::new(AtomicBool::new(false));
    for number in 1..3_u8 {
        let id = format!("i-{number}");
        let server = Server::start(
            &id,
            1,
            unix_ms()?,
            address(31 + number, port),
            &runs,
            record,
        )?;
        server.announce(&control, &never);
    }
    system.configure(record)?;
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = send_grants(&system.fronts, &stop, record);

    let ahead = if trouble { JUMP_MS } else { 0 };
    let at = address(31, port);
    let first = Server::start("i-0", 1, unix_ms()? + ahead, at, &runs, record)?;
    first.announce(&control, &never);
    thread::sleep(Duration::from_millis(1_000));
    if trouble {
        record.note("the clock of the machine of i-0 jumps back");
    }
    first.end(record);
    thread::sleep(Duration::from_millis(300));
    let leaving = Arc::new(AtomicBool::new(false));
    let second = Server::start("i-0", 2, unix_ms()?, at, &runs, record)?;
    second.announce(&control, &leaving);
    thread::sleep(Duration::from_millis(1_000));
    leaving.store(true, Ordering::SeqCst);
    if !second.beat(&control, "draining") {
        return Err("no hub acknowledged that the server leaves".into());
    }
    let acknowledged_at = Instant::now();
    record.note("it is acknowledged that start 2 of i-0 is draining");
    thread::sleep(DRAIN + Duration::from_millis(2_000));
    let deregistered = second.deregister(&control);
    record.note(format!(
        "it is acknowledged that start 2 of i-0 is gone: {deregistered}"
    ));
    thread::sleep(Duration::from_millis(1_500));
    second.end(record);
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    thread::sleep(Duration::from_millis(2_200));

    let runs = runs.0.lock().unwrap();
    let of_second = || {
        runs.iter()
            .filter(|(_, server, start, _)| server == "i-0" && *start == 2)
    };
    let late = of_second().filter(|(.., at)| *at > acknowledged_at + DRAIN);
    let last = of_second()
        .map(|(.., at)| at.saturating_duration_since(acknowledged_at))
        .max();
    let (all, late) = (of_second().count(), late.count());
    record.note(format!(
        "start 2 of i-0 ran {all} of {} requests, {late} of them later than {DRAIN:?} after the \
         acknowledgement, the last {last:?} after it",
        runs.len()
    ));
    if all == 0 {
        return Err("start 2 of i-0 got no request at all".into());
    }
    Ok(late > 0)
}

/// A client's kept connection.
struct Kept {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Kept {
    fn open(front: SocketAddr) -> Fallible<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let wait = Some(Duration::from_secs(3));
        stream.set_read_timeout(wait).map_err(text)?;
        let rest = Vec::new();
        Ok(Self { stream, rest })
    }

    /// Sends a grant; returns the status, or `None` if the connection ends without an answer.
    fn grant(&mut self, id: &str) -> Fallible<Option<u16>> {
        let request = format!(
            "POST /grant/7 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
             Request-Deadline: 2000\r\nContent-Length: 7\r\n\r\nblock=7"
        );
        self.stream.write_all(request.as_bytes()).map_err(text)?;
        match read_message(&mut self.stream, &mut self.rest) {
            Ok(reply) => Ok(reply.map(|reply| reply.status())),
            Err(err) if err.kind() == io::ErrorKind::ConnectionReset => Ok(None),
            Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
            Err(err) => Err(text(err)),
        }
    }
}

/// Servers state an idle timeout that never ends.
fn endless_idle(record: &Record, trouble: bool) -> Fallible<bool> {
    const CLIENTS: usize = 12;
    // What the rule allows.
    const MAX_LOST: usize = 3;
    let (base, port) = free_ports()?;
    let runs = Arc::new(Runs::default());
    let system = System::start(base)?;
    let never = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for number in 0..3_u8 {
        let id = format!("i-{number}");
        let server = Server::start(
            &id,
            1,
            unix_ms()?,
            address(31 + number, port),
            &runs,
            record,
        )?;
        server.announce(&system.control, &never);
        servers.push(server);
    }
    system.configure(record)?;
    thread::sleep(Duration::from_secs(4));
    let mut kept = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Kept::open(system.fronts[number % ENTRIES])?;
        let status = client.grant(&format!("before-{number}"))?;
        record.note(format!("before-{number}: {status:?}"));
        if status != Some(200) {
            return Err("a request before the disruption wasn't served".into());
        }
        kept.push(client);
    }
    if trouble {
        for server in &servers {
            server
                .idle_secs
                .store(i64::MAX.unsigned_abs(), Ordering::SeqCst);
        }
        record.note(format!(
            "all servers state an idle timeout of {} s",
            i64::MAX
        ));
    }
    let mut lost = 0;
    for (number, client) in kept.iter_mut().enumerate() {
        let id = format!("grant-{number}");
        record.note(format!("{id} is sent on a kept connection"));
        let status = client.grant(&id)?;
        let begun = runs
            .0
            .lock()
            .unwrap()
            .iter()
            .filter(|(request, ..)| *request == id)
            .count();
        record.note(format!("{id}: {status:?}, begun {begun} times"));
        lost += usize::from(status.is_none() && begun > 0);
        thread::sleep(Duration::from_millis(100));
    }
    record.note(format!(
        "run, and the kept connection closed without an answer: {lost} of {CLIENTS}"
    ));
    Ok(lost > MAX_LOST)
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.note(format!(
        "{case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let broken = match case.as_str() {
        "older-start" => older_start(&record, trouble),
        "endless-idle" => endless_idle(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let code = match &broken {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    record.note(format!("end: {broken:?}"));
    record.save(Path::new(&path));
    println!("{case}: {broken:?}");
    ExitCode::from(code)
}
