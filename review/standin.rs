//! Stand-ins for the review's scripts: platform, operator, instances and clients, with the
//! standard library alone. `standin SCENARIO` starts hubs and entry processes of a small
//! deployment on loopback addresses, plays the scenario, writes `record.txt` and exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case couldn't run.

use std::collections::HashMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const FRONT: u16 = 8641;
pub const READY: u16 = 8640;
pub const DIRECTORY: u16 = 8644;
pub const CONTROL: u16 = 8649;
pub const INTERNAL: u16 = 7620;
pub const PLACE: u16 = 7635;
pub const METRICS: u16 = 9464;
const ZONES: [&str; 3] = ["milano-sala-a", "torino-sala-b", "genova-sala-c"];

pub type Fail = String;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, a line each.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::default(),
        })
    }
    pub fn add(&self, line: String) {
        let at = self.start.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, line));
    }
    pub fn save(&self, path: &str) {
        let lines = self.lines.lock().unwrap();
        let text: String = lines
            .iter()
            .map(|(at, l)| format!("{at:>7} ms  {l}\n"))
            .collect();
        let _ = fs::write(path, text);
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with what was read of the next message.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        Ok(Self::new(stream))
    }
    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16384];
        let n = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n)
    }
    /// Reads a head; `None` if the peer closed before one began.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|l| {
                    let (n, v) = l.split_once(':')?;
                    Some((n.trim().to_owned(), v.trim().to_owned()))
                });
                return Ok(Some(Message {
                    first,
                    headers: headers.collect(),
                    body: Vec::new(),
                }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }
    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    /// Reads the body that `head` announces.
    pub fn read_body(&mut self, head: &Message, is_response: bool) -> io::Result<Vec<u8>> {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
        if chunked {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.line()?;
            }
        }
        if let Some(length) = head.header("content-length").and_then(|v| v.parse().ok()) {
            return self.take(length);
        }
        if is_response && head.status() != 204 && head.status() != 304 {
            let mut body = std::mem::take(&mut self.buffer);
            self.stream.read_to_end(&mut body)?;
            return Ok(body);
        }
        Ok(Vec::new())
    }
    pub fn read_response(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.read_head()? else {
            return Ok(None);
        };
        head.body = self.read_body(&head, true)?;
        Ok(Some(head))
    }
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, Fail> {
    let run = || -> io::Result<Message> {
        let mut conn = Conn::open(to, timeout)?;
        conn.stream.set_read_timeout(Some(timeout))?;
        let kind = if body.is_empty() {
            ""
        } else {
            "Content-Type: application/json\r\n"
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n{kind}Content-Length: {}\r\n\r\n",
            body.len()
        );
        conn.stream.write_all(head.as_bytes())?;
        conn.stream.write_all(body)?;
        conn.read_response()?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    run().map_err(|err| format!("{method} {path} at {to}: {err}"))
}

// ---------------------------------------------------------------- deployment

pub struct Process {
    pub name: String,
    binary: &'static str,
    settings: PathBuf,
    out: PathBuf,
    pub child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> Result<(), Fail> {
        let out = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.out)
            .map_err(|e| e.to_string())?;
        let err = out.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(self.binary);
        command
            .arg("--config")
            .arg(&self.settings)
            .env("REDWINGRIDGE_BOOT", &self.settings);
        command.stdin(Stdio::null()).stdout(out).stderr(err);
        // The process ends with this one, also if that is killed.
        // SAFETY: prctl is async-signal-safe and touches no memory of this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .map_err(|e| format!("start {}: {e}", self.binary))?;
        self.child = Some(child);
        Ok(())
    }
    /// Rewrites the settings as they are after the first start of the whole system.
    pub fn settings_after_first_start(&self) -> Result<(), Fail> {
        let text = fs::read_to_string(&self.settings).map_err(|e| e.to_string())?;
        fs::write(&self.settings, text.replace("found = yes", "found = no"))
            .map_err(|e| e.to_string())
    }
    pub fn id(&self) -> i32 {
        self.child.as_ref().map_or(0, |c| c.id() as i32)
    }
    /// Sends a signal to the process that this test started.
    pub fn signal(&self, name: &str) {
        if self.child.is_some() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(self.id().to_string())
                .status();
        }
    }
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
    pub fn log(&self) -> String {
        fs::read_to_string(&self.out).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Hubs, entry processes and their addresses.
pub struct Site {
    pub net: [u8; 2],
    pub dir: PathBuf,
    pub hubs: Vec<Process>,
    pub entries: Vec<Process>,
}

impl Site {
    pub fn hub(&self, i: usize) -> SocketAddr {
        addr(self.net, [1, i as u8 + 1], CONTROL)
    }
    pub fn front(&self, i: usize) -> SocketAddr {
        addr(self.net, [2, i as u8 + 1], FRONT)
    }
    pub fn ready(&self, i: usize) -> SocketAddr {
        addr(self.net, [2, i as u8 + 1], READY)
    }

    /// Starts three hubs and `entries` entry processes with empty disks.
    pub fn start(entries: usize) -> Result<Self, Fail> {
        let mut site = Self::prepare(entries)?;
        for process in site.hubs.iter_mut().chain(&mut site.entries) {
            process.start()?;
        }
        Ok(site)
    }

    /// Writes the settings of a first start, and starts nothing.
    pub fn prepare(entries: usize) -> Result<Self, Fail> {
        let net = free_net(entries)?;
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut site = Self {
            net,
            dir,
            hubs: Vec::new(),
            entries: Vec::new(),
        };
        let seeds: Vec<String> = (0..3).map(|i| site.hub(i).to_string()).collect();
        let seeds = seeds.join(",");
        for i in 0..3 {
            let ip = site.hub(i).ip();
            let data = site.dir.join(format!("hub-{i}"));
            fs::create_dir_all(&data).map_err(|e| e.to_string())?;
            let text = format!(
                "[hub]\nhost = core-{zone}-1\ndomain = {zone}\nregion = nord-ovest\ndata = {data}\naddress = {ip}\nport = {INTERNAL}\nseeds = {seeds}\nfound = yes\n\n[platform]\ncontrol = {ip}:{CONTROL}\n\n[metrics]\nlisten = {ip}:{METRICS}\n",
                zone = ZONES[i],
                data = data.display()
            );
            let process =
                site.process(&format!("hub-{i}"), "target/release/platform-hub", &text)?;
            site.hubs.push(process);
        }
        for i in 0..entries {
            let ip = site.front(i).ip();
            let zone = ZONES[i % 3];
            let text = format!(
                "[entry]\nhost = edge-{zone}-{n}\ndomain = {zone}\nregion = nord-ovest\nfront = {ip}:{FRONT}\nready = {ip}:{READY}\nready-path = /-/ready\nport = {INTERNAL}\nspread = 3\nttl = 5s\nseeds = {seeds}\n\n[stop]\ngrace = 6s\n\n[retry]\nbase = 60\nwindow = 10s\n\n[cost]\ncrossing = 13000\n\n[cold]\n\n[platform]\ndirectory = {ip}:{DIRECTORY}\n\n[probe]\nper-second = 60\n\n[metrics]\nlisten = {ip}:{METRICS}\n\n[keys]\n\n[place]\nlisten = {ip}:{PLACE}\nparts = no\n\n[relay]\nport = {INTERNAL}\n\n[quota]\ndomains = {zones}\n",
                n = i / 3 + 1,
                zones = ZONES.join(",")
            );
            let process =
                site.process(&format!("edge-{i}"), "target/release/platform-entry", &text)?;
            site.entries.push(process);
        }
        Ok(site)
    }

    fn process(&self, name: &str, binary: &'static str, text: &str) -> Result<Process, Fail> {
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let out = self.dir.join(format!("{name}.log"));
        Ok(Process {
            name: name.to_owned(),
            binary,
            settings,
            out,
            child: None,
        })
    }

    /// Sends a configuration to the hubs in turn until one acknowledges it.
    pub fn put(&self, document: &str, patience: Duration) -> Result<Message, Fail> {
        let until = Instant::now() + patience;
        let mut last = String::from("no call");
        while Instant::now() < until {
            for i in 0..3 {
                match call(
                    self.hub(i),
                    "POST",
                    "/-/Config.Put",
                    document.as_bytes(),
                    Duration::from_secs(1),
                ) {
                    Ok(answer) if answer.status() == 200 => return Ok(answer),
                    Ok(answer) if answer.status() < 500 => return Ok(answer),
                    Ok(answer) => last = answer.first,
                    Err(err) => last = err,
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("configuration not acknowledged: {last}"))
    }

    /// Waits until all entry processes are ready.
    pub fn wait_ready(&self, patience: Duration) -> Result<(), Fail> {
        let until = Instant::now() + patience;
        loop {
            let ready = (0..self.entries.len()).all(|i| {
                call(
                    self.ready(i),
                    "GET",
                    "/-/ready",
                    b"",
                    Duration::from_secs(1),
                )
                .is_ok_and(|a| a.status() == 200)
            });
            if ready {
                return Ok(());
            }
            if Instant::now() > until {
                return Err("entry processes don't become ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.hubs) {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn addr(net: [u8; 2], host: [u8; 2], port: u16) -> SocketAddr {
    let _ = net[0];
    // The second byte tells test runs apart, the third classes of machines.
    SocketAddr::from(([127, net[1], host[0], host[1]], port))
}

/// A loopback network on which all ports of the deployment are free.
fn free_net(entries: usize) -> Result<[u8; 2], Fail> {
    let first = std::process::id() % 200;
    for step in 0..40 {
        let net = [127, (20 + (first + step * 7) % 200) as u8];
        let hubs = (0..3).flat_map(|i| {
            [CONTROL, INTERNAL, INTERNAL + 1, INTERNAL + 2, METRICS]
                .map(|p| addr(net, [1, i + 1], p))
        });
        let fronts = (0..entries as u8).flat_map(|i| {
            [FRONT, READY, DIRECTORY, INTERNAL, PLACE, METRICS].map(|p| addr(net, [2, i + 1], p))
        });
        if hubs.chain(fronts).all(|a| TcpListener::bind(a).is_ok()) {
            return Ok(net);
        }
    }
    Err("no free loopback network".into())
}

// ---------------------------------------------------------------- instances

/// How an instance misbehaves, beside what a sound one does.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Share of its refusals of which a second copy comes where the next response is expected.
    pub extra_refusals: f64,
    /// Share of the requests that it refuses although it has room.
    pub shed: f64,
    /// Share of its answers in chunks whose head also states the length of the first chunk.
    pub two_lengths: f64,
}

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub faults: Mutex<Faults>,
    slots_taken: Mutex<Slots>,
    freed: Condvar,
    pub runs: Arc<Runs>,
    record: Arc<Record>,
    dice: AtomicU64,
    pub extras: AtomicUsize,
    pub refused: AtomicUsize,
    stop: AtomicBool,
}

/// The timeout of idle connections that instances usually state, in seconds.
const KEEP_ALIVE: u64 = 10;

/// Which attempts began to run, and where.
#[derive(Default)]
pub struct Runs(pub Mutex<HashMap<String, Vec<String>>>);

impl Instance {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        site: &Site,
        n: u8,
        service: &str,
        slots: usize,
        queue: usize,
        work: Duration,
        runs: &Arc<Runs>,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>, Fail> {
        let listener =
            TcpListener::bind(addr(site.net, [3, n + 1], 8080)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let instance = Arc::new(Self {
            id: format!("i-{:08x}", 0x7f3a_0000_u32 + u32::from(n)),
            service: service.to_owned(),
            address,
            zone: ZONES[n as usize % 3],
            slots,
            queue,
            work,
            faults: Mutex::default(),
            slots_taken: Mutex::default(),
            freed: Condvar::new(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            dice: AtomicU64::new(0x9e37_79b9 + u64::from(n) * 7919),
            extras: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
        });
        let serving = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let instance = Arc::clone(&serving);
                thread::spawn(move || {
                    // A broken connection ends its request only.
                    let _ = instance.serve(stream);
                });
            }
        });
        let beating = Arc::clone(&instance);
        let hubs: Vec<SocketAddr> = (0..3).map(|i| site.hub(i)).collect();
        thread::spawn(move || beating.beat(&hubs));
        Ok(instance)
    }

    fn beat(&self, hubs: &[SocketAddr]) {
        let mut sequence = 0;
        while !self.stop.load(SeqCst) {
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"concurrency\":{},\"state\":\"ready\",\"warmup-left\":\"0ms\",\"sequence\":{sequence}}}",
                self.service, self.address, self.zone, self.slots
            );
            let path = format!("/-/Instances.Heartbeat/{}", self.id);
            for hub in hubs {
                let sent = call(*hub, "POST", &path, body.as_bytes(), Duration::from_secs(1));
                if sent.is_ok_and(|a| a.status() == 200) {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(1500));
        }
    }

    fn roll(&self) -> f64 {
        let mut x = self.dice.fetch_add(0x9e37_79b9_7f4a_7c15, SeqCst);
        x ^= x >> 33;
        x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
        x ^= x >> 33;
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    fn load(&self) -> String {
        let taken = self.slots_taken.lock().unwrap();
        format!(
            "Instance-Load: {},{},{},100\r\n",
            taken.running, taken.waiting, self.slots
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream);
        // A second copy of a refusal, to be sent where the next response is expected.
        let mut extra: Option<(String, String)> = None;
        while let Some(head) = conn.read_head()? {
            if let Some((bytes, old)) = extra.take() {
                self.extras.fetch_add(1, SeqCst);
                self.record.add(format!(
                    "{} EXTRA response of {old} comes where that of {} is expected",
                    self.id,
                    head.header("attempt-id").unwrap_or("a probe")
                ));
                conn.stream.write_all(bytes.as_bytes())?;
            }
            let body = conn.read_body(&head, false)?;
            let mut words = head.first.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let id = head.header("attempt-id").unwrap_or("").to_owned();
            if head
                .header("expected-instance")
                .is_some_and(|e| e != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                conn.stream.write_all(text.as_bytes())?;
                continue;
            }
            if path == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{}Keep-Alive: timeout={}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    self.load(),
                    KEEP_ALIVE
                );
                conn.stream.write_all(text.as_bytes())?;
                continue;
            }
            let deadline = head
                .header("request-deadline")
                .and_then(|d| d.parse().ok())
                .unwrap_or(30_000);
            let deadline = Instant::now() + Duration::from_millis(deadline);
            let (extra_share, shed, two_lengths) = {
                let faults = self.faults.lock().unwrap();
                (faults.extra_refusals, faults.shed, faults.two_lengths)
            };
            if self.roll() < shed || !self.enter(deadline) {
                self.refused.fetch_add(1, SeqCst);
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n{}Keep-Alive: timeout={}\r\nContent-Length: 0\r\n\r\n",
                    self.load(),
                    KEEP_ALIVE
                );
                self.record.add(format!("{} refuses {id}", self.id));
                conn.stream.write_all(text.as_bytes())?;
                if self.roll() < extra_share {
                    extra = Some((text, id));
                }
                continue;
            }
            self.record.add(format!(
                "{} RUNS {id} {method} {path} ({} bytes)",
                self.id,
                body.len()
            ));
            self.runs
                .0
                .lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(self.id.clone());
            thread::sleep(self.work);
            self.leave();
            let text = body_of(&id, &self.id);
            let base = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {id}.{}\r\n{}Keep-Alive: timeout={}\r\n",
                self.id,
                self.load(),
                KEEP_ALIVE
            );
            let answer = if self.roll() < two_lengths {
                self.extras.fetch_add(1, SeqCst);
                self.record.add(format!(
                    "{} SPOILS its answer to {id}: in chunks, and with the length of the first one",
                    self.id
                ));
                let (first, rest) = text.split_at(text.len() / 2);
                format!(
                    "{base}Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n",
                    first.len(),
                    first.len(),
                    rest.len()
                )
            } else {
                format!("{base}Content-Length: {}\r\n\r\n{text}", text.len())
            };
            conn.stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    /// Waits for a slot; false if the queue is full or the deadline passes in it.
    fn enter(&self, deadline: Instant) -> bool {
        let mut taken = self.slots_taken.lock().unwrap();
        if taken.running >= self.slots && taken.waiting >= self.queue {
            return false;
        }
        taken.waiting += 1;
        while taken.running >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                taken.waiting -= 1;
                return false;
            }
            taken = self.freed.wait_timeout(taken, left).unwrap().0;
        }
        taken.waiting -= 1;
        taken.running += 1;
        true
    }

    fn leave(&self) {
        self.slots_taken.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}

// ---------------------------------------------------------------- documents and clients

pub const UNSAFE_HOST: &str = "jepu9.example";

pub fn document(version: u32, service: &str, kind: &str, attempts: u32) -> String {
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{{\"name\":\"{service}\",\"health-path\":\"/health\",\"max-connections\":240,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}},\"virtual-hosts\":[{{\"host\":\"{UNSAFE_HOST}\",\"path-rules\":[{{\"name\":\"r-1\",\"path-prefix\":\"/puka111/\",\"kind\":\"{kind}\",\"timeout\":\"1000ms\",\"target-latency\":\"400ms\",\"priority\":1,\"service\":\"{service}\",\"max-attempts\":{attempts}}}]}}]}}"
    )
}

/// The body of an instance's answer.
fn body_of(id: &str, instance: &str) -> String {
    format!("{id} was run by {instance}; {}", "0123456789".repeat(20))
}

/// What a client got for a request.
#[derive(Clone, Default)]
pub struct Answer {
    pub status: u16,
    /// Why the answer isn't the instance's whole answer to this request.
    pub fault: Option<String>,
}

pub type Answers = Arc<Mutex<HashMap<String, Answer>>>;

/// Whether a success is the whole answer of an instance to request `id`.
fn check_success(id: &str, answer: &Message) -> Option<String> {
    let signature = answer.header("response-signature").unwrap_or("");
    let Some(instance) = signature.strip_prefix(&format!("{id}.")) else {
        return Some(format!("a success with the signature {signature:?}"));
    };
    let body = String::from_utf8_lossy(&answer.body);
    let whole = body_of(id, instance);
    (body != whole).then(|| {
        format!(
            "a success with {} of {} bytes of the instance's body",
            body.len(),
            whole.len()
        )
    })
}

/// Clients that send one request after another, each with an id of its own, on a kept connection.
pub struct Clients {
    pub count: usize,
    pub pause: Duration,
    pub body: usize,
    pub until: Instant,
}

impl Clients {
    pub fn start(
        &self,
        site: &Site,
        answers: &Answers,
        record: &Arc<Record>,
    ) -> Vec<thread::JoinHandle<()>> {
        let fronts = site.entries.len();
        let start = |n: usize| {
            let (to, answers, record) = (
                site.front(n % fronts),
                Arc::clone(answers),
                Arc::clone(record),
            );
            let (pause, body, until) = (self.pause, self.body, self.until);
            thread::spawn(move || client(to, n, pause, until, body, &answers, &record))
        };
        (0..self.count).map(start).collect()
    }
}

fn client(
    to: SocketAddr,
    n: usize,
    pause: Duration,
    until: Instant,
    body: usize,
    answers: &Answers,
    record: &Record,
) {
    let mut conn: Option<Conn> = None;
    let mut k = 0;
    thread::sleep(Duration::from_millis(7 * n as u64));
    while Instant::now() < until {
        k += 1;
        let id = format!("{n:04x}{k:012x}");
        let mut got = Answer::default();
        if conn.is_none() {
            conn = Conn::open(to, Duration::from_secs(1)).ok();
        }
        if let Some(c) = &mut conn {
            let _ = c.stream.set_read_timeout(Some(Duration::from_secs(2)));
            let head = format!(
                "POST /puka111/2f HTTP/1.1\r\nHost: {UNSAFE_HOST}\r\nAttempt-Id: {id}\r\nRequest-Deadline: 2000\r\nContent-Length: {body}\r\n\r\n"
            );
            record.add(format!("client {n} sends {id} to {to}"));
            let mut bytes = head.into_bytes();
            bytes.extend(std::iter::repeat_n(b'x', body));
            match c.stream.write_all(&bytes).and_then(|()| c.read_response()) {
                Ok(Some(answer)) => {
                    got.status = answer.status();
                    if !answer.first.starts_with("HTTP/1.1 ") {
                        got.fault = Some(format!("bytes that are no answer: {:?}", answer.first));
                        conn = None;
                    } else if (200..300).contains(&got.status) {
                        got.fault = check_success(&id, &answer);
                    }
                    if answer
                        .header("connection")
                        .is_some_and(|v| v.eq_ignore_ascii_case("close"))
                    {
                        conn = None;
                    }
                }
                Ok(None) | Err(_) => conn = None,
            }
        }
        let fault = got
            .fault
            .as_deref()
            .map_or(String::new(), |f| format!(": {f}"));
        record.add(format!("client {n} got {} for {id}{fault}", got.status));
        answers.lock().unwrap().insert(id, got);
        thread::sleep(pause);
    }
}

// ---------------------------------------------------------------- scenarios

/// A deployment with one service that serves one route, and the record of its day.
struct Scene {
    site: Site,
    instances: Vec<Arc<Instance>>,
    runs: Arc<Runs>,
    answers: Answers,
    record: Arc<Record>,
}

impl Scene {
    fn start(
        entries: usize,
        instances: u8,
        slots: usize,
        work: Duration,
        kind: &str,
        record: &Arc<Record>,
    ) -> Result<Self, Fail> {
        let site = Site::start(entries)?;
        let runs = Arc::new(Runs::default());
        let service = "wuno96b";
        let answer = site.put(&document(1, service, kind, 2), Duration::from_secs(15))?;
        if answer.status() != 200 {
            return Err(format!("configuration refused: {}", answer.first));
        }
        let start = |n| Instance::start(&site, n, service, slots, 2 * slots, work, &runs, record);
        let instances = (0..instances).map(start).collect::<Result<_, _>>()?;
        site.wait_ready(Duration::from_secs(15))?;
        // The instances become known.
        thread::sleep(Duration::from_secs(3));
        Ok(Self {
            site,
            instances,
            runs,
            answers: Answers::default(),
            record: Arc::clone(record),
        })
    }

    /// Plays clients for `length` while `trouble` acts on the instances.
    fn play(
        &self,
        clients: usize,
        pause: Duration,
        length: Duration,
        trouble: impl FnOnce(Instant),
    ) {
        let until = Instant::now() + length;
        let clients = Clients {
            count: clients,
            pause,
            body: 300,
            until,
        };
        let clients = clients.start(&self.site, &self.answers, &self.record);
        trouble(until);
        for client in clients {
            let _ = client.join();
        }
        // Runs that are still open begin or end.
        thread::sleep(Duration::from_secs(1));
    }

    /// Sets the faults of all instances; `spoilt` is the share of them that spoils answers.
    fn set(&self, spoilt: f64, faults: Faults) {
        for (n, instance) in self.instances.iter().enumerate() {
            let spoils = (n as f64) < spoilt * self.instances.len() as f64;
            *instance.faults.lock().unwrap() = if spoils {
                faults
            } else {
                Faults {
                    shed: faults.shed,
                    ..Faults::default()
                }
            };
        }
    }

    fn count(&self, of: impl Fn(&Instance) -> usize) -> usize {
        self.instances.iter().map(|i| of(i)).sum()
    }

    fn say(&self, text: String) {
        println!("{text}");
        self.record.add(text);
    }
}

/// Share of requests that instances shed, share of instances that spoil answers, and share of
/// their answers that they spoil.
const SHED: f64 = 0.4;
const SPOILT: f64 = 0.6;
const EXTRA: f64 = 0.03;

/// Instances shed requests; of a few refusals a second copy comes late, where the next response on
/// that connection is expected.
fn late_refusal(trouble: bool, record: &Arc<Record>) -> Result<bool, Fail> {
    let scene = Scene::start(6, 20, 2, Duration::from_millis(120), "unsafe", record)?;
    // Bouts of 8.5 s in which the instances shed requests, with 5 s in each in which copies come.
    scene.play(
        80,
        Duration::from_millis(300),
        Duration::from_secs(70),
        |until| {
            let shed = Faults {
                shed: SHED,
                ..Faults::default()
            };
            let extra = Faults {
                extra_refusals: EXTRA,
                ..shed
            };
            while Instant::now() + Duration::from_secs(12) < until {
                thread::sleep(Duration::from_millis(2_000));
                if trouble {
                    scene.set(SPOILT, shed);
                    thread::sleep(Duration::from_millis(1_000));
                    scene.set(SPOILT, extra);
                    thread::sleep(Duration::from_millis(5_000));
                    scene.set(SPOILT, shed);
                    thread::sleep(Duration::from_millis(2_500));
                }
                scene.set(0.0, Faults::default());
            }
        },
    );
    let (mut twice, mut denied) = (0, 0);
    let runs = scene.runs.0.lock().unwrap();
    let answers = scene.answers.lock().unwrap();
    for (id, at) in runs.iter() {
        let status = answers.get(id).map_or(0, |a| a.status);
        if at.len() > 1 {
            twice += 1;
            record.add(format!("BROKEN (TWICE): {id} ran at {}", at.join(" and ")));
        }
        if [429, 503, 408, 421].contains(&status) {
            denied += 1;
            record.add(format!(
                "BROKEN (REFUSED): {id} ran at {} and was answered {status}",
                at.join(" and ")
            ));
        }
    }
    let served = answers.values().filter(|a| a.status == 200).count();
    scene.say(format!(
        "requests {}, served {served}, refused by instances {}, late copies {}, ran twice {twice}, answered as not run though run {denied}",
        answers.len(), scene.count(|i| i.refused.load(SeqCst)), scene.count(|i| i.extras.load(SeqCst))
    ));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(denied > 0)
}

/// A few answers of instances come in chunks, and their heads also state a length: that of the
/// first chunk.
fn two_lengths(trouble: bool, record: &Arc<Record>) -> Result<bool, Fail> {
    let scene = Scene::start(3, 8, 6, Duration::from_millis(60), "unsafe", record)?;
    scene.play(
        40,
        Duration::from_millis(250),
        Duration::from_secs(30),
        |until| {
            while Instant::now() + Duration::from_secs(8) < until {
                thread::sleep(Duration::from_secs(2));
                if trouble {
                    scene.set(
                        0.35,
                        Faults {
                            two_lengths: 0.02,
                            ..Faults::default()
                        },
                    );
                    thread::sleep(Duration::from_millis(5_500));
                }
                scene.set(0.0, Faults::default());
            }
        },
    );
    let answers = scene.answers.lock().unwrap();
    let mut mixed = 0;
    for (id, answer) in answers.iter() {
        if let Some(fault) = &answer.fault {
            mixed += 1;
            record.add(format!("BROKEN (MIXED): {id} got {fault}"));
        }
    }
    let served = answers.values().filter(|a| a.status == 200).count();
    scene.say(format!(
        "requests {}, served {served}, spoilt by instances {}, wrong answers {mixed}",
        answers.len(),
        scene.count(|i| i.extras.load(SeqCst))
    ));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(mixed > 0)
}

/// The operator numbers its configurations from 0.
fn first_version(trouble: bool, record: &Arc<Record>) -> Result<bool, Fail> {
    let site = Site::start(2)?;
    let version = u32::from(!trouble);
    let answer = site.put(
        &document(version, "wuno96b", "unsafe", 2),
        Duration::from_secs(15),
    )?;
    record.add(format!(
        "configuration {version:08x} sent: {}",
        answer.first
    ));
    println!("configuration {version:08x} sent: {}", answer.first);
    if answer.status() != 200 {
        return Ok(false);
    }
    // Read back for longer than `contact`, at all hubs.
    let until = Instant::now() + Duration::from_secs(10);
    let (mut read, mut refused) = (0, 0);
    while Instant::now() < until {
        for i in 0..3 {
            match call(
                site.hub(i),
                "GET",
                "/-/Config.Get",
                b"",
                Duration::from_secs(1),
            ) {
                Ok(answer) if answer.status() == 200 => read += 1,
                Ok(answer) => {
                    refused += 1;
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    record.add(format!("hub-{i} answers the read: {} {text}", answer.first));
                }
                Err(err) => record.add(err),
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    let text = format!("acknowledged with 200; read back {read} times, refused {refused} times");
    println!("{text}");
    record.add(text);
    if read == 0 {
        record.add(format!("BROKEN (CONFIG): configuration {version:08x} was acknowledged, and doesn't come when it is read back"));
    }
    Ok(read == 0)
}

/// How long the operator tries to get the first configuration acknowledged, all hubs running.
const FIRST_CONFIG: Duration = Duration::from_secs(45);

/// At the first start of the system, the process of one hub is killed before the others are up, and
/// restarted by the platform after a short delay.
fn first_start(trouble: bool, record: &Arc<Record>) -> Result<bool, Fail> {
    let mut site = Site::prepare(3)?;
    site.hubs[0].start()?;
    record.add("hub-0 started, bootstrap true".into());
    thread::sleep(Duration::from_millis(150));
    if trouble {
        site.hubs[0].kill();
        record.add("hub-0 killed (SIGKILL)".into());
    }
    thread::sleep(Duration::from_millis(100));
    for process in site.hubs.iter_mut().skip(1).chain(&mut site.entries) {
        process.start()?;
    }
    record.add("hub-1, hub-2 and the entry processes started, bootstrap true".into());
    if trouble {
        thread::sleep(Duration::from_millis(400));
        site.hubs[0].settings_after_first_start()?;
        site.hubs[0].start()?;
        record.add("hub-0 started again, its disk as it was, bootstrap false".into());
    }
    let runs = Arc::new(Runs::default());
    let service = "wuno96b";
    let instances = (0..4).map(|n| {
        Instance::start(
            &site,
            n,
            service,
            6,
            12,
            Duration::from_millis(60),
            &runs,
            record,
        )
    });
    let instances = instances.collect::<Result<Vec<_>, _>>()?;
    let put = site.put(&document(1, service, "unsafe", 2), FIRST_CONFIG);
    record.add(match &put {
        Ok(answer) => format!("first configuration: {}", answer.first),
        Err(err) => err.clone(),
    });
    thread::sleep(Duration::from_secs(3));
    let scene = Scene {
        site,
        instances,
        runs,
        answers: Answers::default(),
        record: Arc::clone(record),
    };
    scene.play(
        20,
        Duration::from_millis(250),
        Duration::from_secs(15),
        |_| {},
    );
    let mut scene = scene;
    let ended = scene
        .site
        .hubs
        .iter_mut()
        .chain(&mut scene.site.entries)
        .any(Process::has_ended);
    if ended {
        return Err("a process ended by itself".into());
    }
    let answers = scene.answers.lock().unwrap();
    let served = answers.values().filter(|a| a.status == 200).count();
    let acknowledged = put.is_ok_and(|answer| answer.status() == 200);
    scene.say(format!(
        "first configuration acknowledged: {acknowledged}; requests {}, served {served}",
        answers.len()
    ));
    if served == 0 {
        record.add(format!("BROKEN (Fault): no request is served; no configuration was acknowledged in {FIRST_CONFIG:?}"));
    }
    Ok(served == 0)
}

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let out = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new();
    let result = match name.as_str() {
        "late-refusal" => late_refusal(trouble, &record),
        "two-lengths" => two_lengths(trouble, &record),
        "first-start" => first_start(trouble, &record),
        "first-version" => first_version(trouble, &record),
        _ => Err(format!("unknown scenario {name:?}")),
    };
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(err) => {
            eprintln!("{err}");
            record.add(format!("couldn't run: {err}"));
            2
        }
    };
    record.save(&out);
    std::process::exit(code);
}
