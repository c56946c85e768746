//! Parts that the cases share: a small deployment of real processes on loopback addresses, HTTP by plain sockets, and
//! the record of a run.
//!
//! The store is the project's own stand-in. Backend servers are processes of the case's own program, started as
//! `PROGRAM worker ID ADDRESS ...`.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::panic::UnwindSafe;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Host name of all routes.
pub const HOST: &str = "site.example";

/// API key of the only tenant.
pub const KEY: &str = "k1";

/// What a run ends with.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

/// The record of a run, `record.txt` in the folder of the case.
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static STARTED: OnceLock<Instant> = OnceLock::new();

/// Writes a line to the record, with the time since the start.
pub fn record(line: &str) {
    let at = STARTED.get_or_init(Instant::now).elapsed().as_millis();
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {line}");
    }
}

/// Whether the run is to go without the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Runs a case: opens the record in `folder`, runs `body` and ends with the exit code of its verdict.
pub fn run_case(folder: &Path, body: impl FnOnce() -> Result<Verdict, String> + UnwindSafe) -> ! {
    let file = File::create(folder.join("record.txt")).expect("cannot write record.txt");
    RECORD.set(Mutex::new(file)).unwrap();
    record(&format!("trouble: {}", has_trouble()));
    // The processes of the run end with its `Site`, also if the run fails.
    let result = std::panic::catch_unwind(body);
    let result = result.unwrap_or_else(|_| Err("the case failed".to_owned()));
    let verdict = result.unwrap_or_else(Verdict::CannotRun);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::CannotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record(&text);
    println!("{text}");
    std::process::exit(code);
}

/// A process that is killed when its handle is dropped.
pub struct Process(pub Child);

impl Process {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal by its name, as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        record(&format!(
            "SIG{name} to process {id}: {:?}",
            sent.map(|s| s.success())
        ));
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A gateway process and its addresses.
pub struct Gateway {
    pub name: String,
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
}

/// A backend server process.
pub struct Worker {
    pub id: String,
    pub process: Process,
    pub addr: SocketAddr,
}

/// The deployment of one run.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub store: SocketAddr,
    store_process: Option<Process>,
    pub gateways: Vec<Gateway>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gateways.clear();
        self.store_process = None;
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Data centres, given to processes in turn.
pub const CENTRES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A loopback address that only this run uses, by its process id, and the number `n`.
pub fn ip(n: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 30 + (id >> 8) as u8 % 200, id as u8, n)
}

/// A free port on an address.
pub fn free(ip: Ipv4Addr) -> SocketAddr {
    let [addr] = free_ports(ip);
    addr
}

/// Different free ports on an address.
pub fn free_ports<const N: usize>(ip: Ipv4Addr) -> [SocketAddr; N] {
    // All are bound until the last one is, as the system may give out a port again once it is closed.
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("no free port"));
    listeners.map(|l| l.local_addr().expect("no local address"))
}

impl Site {
    /// Starts the store.
    pub fn start() -> Result<Self, String> {
        let root = std::env::current_dir().map_err(|e| e.to_string())?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store = free(ip(1));
        let file = folder.join("store.json");
        std::fs::write(&file, format!("{{\"listen\": \"{store}\"}}")).map_err(|e| e.to_string())?;
        let program = root.join("target/release/gooseberry-standin");
        let arguments = ["site-store", "--settings"].map(str::to_owned);
        let mut arguments = arguments.to_vec();
        arguments.push(file.display().to_string());
        let process = spawn(&program, &arguments, &[], &folder.join("store.log"))?;
        let site = Self {
            root,
            folder,
            store,
            store_process: Some(process),
            gateways: Vec::new(),
        };
        wait_for("the store", || {
            TcpStream::connect_timeout(&store, Duration::from_millis(200)).is_ok()
        })?;
        Ok(site)
    }

    /// Writes a row as the operator or a server does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> Result<(), String> {
        let value = value.unwrap_or("null");
        let body = format!("{{\"table\":\"{table}\",\"key\":\"{key}\",\"value\":{value}}}");
        let request = format!(
            "POST /standin/put HTTP/1.1\r\nhost: store\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = Caller::open(self.store).and_then(|mut c| c.ask(request.as_bytes()));
        match answer {
            Ok(answer) if answer.status == 200 => Ok(()),
            other => Err(format!("the store did not take {table}/{key}: {other:?}")),
        }
    }

    /// Registers a server.
    pub fn list(
        &self,
        id: &str,
        service: &str,
        addr: SocketAddr,
        n: usize,
        slots: usize,
    ) -> Result<(), String> {
        let zone = CENTRES[n % CENTRES.len()];
        let born = 1_700_000_000_000_u64 + n as u64;
        let row = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\"born\":{born}}}"
        );
        self.put("servers", id, Some(&row))
    }

    /// Writes the settings of gateway `n` as `deploy/settings.json.template` gives them and starts it as the deploy file
    /// does.
    pub fn add_gateway(&mut self, n: usize) -> Result<(), String> {
        let own = ip(10 + n as u8);
        let [callers, ready, peers, metrics, tunnels] = free_ports(own);
        let zone = CENTRES[n % CENTRES.len()];
        let text = format!(
            "{{\"host\": \"front-{n}\", \"data_centre\": \"{zone}\", \"listen\": {{\"callers\": \"{callers}\", \
             \"ready\": \"{ready}\", \"peers\": \"{peers}\", \"metrics\": \"{metrics}\", \"tunnels\": \"{tunnels}\"}}, \
             \"store\": \"{}\", \"retries\": {{\"window_s\": 10, \"ratio\": 0.8, \"extra\": 150}}, \"grace_s\": 8, \
             \"leave_ms\": 2000, \"limits\": {{\"cores\": 0.25, \"link_mbps\": 1000.0}}}}",
            self.store
        );
        let settings = self.folder.join(format!("front-{n}.json"));
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let process = self.start_gateway(&settings)?;
        self.gateways.push(Gateway {
            name: format!("front-{n}"),
            process,
            callers,
            ready,
            settings,
        });
        Ok(())
    }

    fn start_gateway(&self, settings: &Path) -> Result<Process, String> {
        let program = self.root.join("target/release/gooseberry-gateway");
        let boot = [("GOOSEBERRYSTEP_BOOT", settings.display().to_string())];
        spawn(&program, &[], &boot, &settings.with_extension("log"))
    }

    /// Starts a gateway again whose process has ended.
    pub fn restart_gateway(&mut self, n: usize) -> Result<(), String> {
        let settings = self.gateways[n].settings.clone();
        self.gateways[n].process = self.start_gateway(&settings)?;
        Ok(())
    }

    /// The log of a gateway.
    pub fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.gateways[n].settings.with_extension("log")).unwrap_or_default()
    }

    /// Waits until all gateways are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        for gateway in &self.gateways {
            wait_for(&gateway.name, || is_ready(gateway.ready))?;
        }
        Ok(())
    }

    /// Starts a server process of this program.
    pub fn worker(&self, id: &str, n: u8, arguments: &[String]) -> Result<Worker, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let addr = free(ip(n));
        let mut all = vec!["worker".to_owned(), id.to_owned(), addr.to_string()];
        all.extend_from_slice(arguments);
        let process = spawn(&program, &all, &[], &self.folder.join(format!("{id}.log")))?;
        wait_for(id, || {
            TcpStream::connect_timeout(&addr, Duration::from_millis(200)).is_ok()
        })?;
        Ok(Worker {
            id: id.to_owned(),
            process,
            addr,
        })
    }
}

/// Whether a gateway answers 200 to the balancer's check.
pub fn is_ready(addr: SocketAddr) -> bool {
    let answer =
        Caller::open(addr).and_then(|mut c| c.ask(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"));
    answer.is_ok_and(|a| a.status == 200)
}

pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(15);
    while !is_met() {
        if Instant::now() > end {
            return Err(format!("{what} did not start"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

pub fn spawn(
    program: &Path,
    arguments: &[String],
    env: &[(&str, String)],
    log: &Path,
) -> Result<Process, String> {
    let file = File::options()
        .create(true)
        .append(true)
        .open(log)
        .map_err(|e| e.to_string())?;
    let errors = file.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(file)
        .stderr(errors);
    for (name, value) in env {
        command.env(name, value);
    }
    let child = command
        .spawn()
        .map_err(|e| format!("cannot start {}: {e}", program.display()))?;
    Ok(Process(child))
}

/// A route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> String {
    let is_stream = kind == "streaming";
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\
         \"slo-ms\":4500,\"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\
         \"sticky\":{is_stream},\"resumable\":{is_stream},\"gap-aim-ms\":700}}"
    )
}

/// A configuration with the services `draft-model` (engines) and `booking-app`.
pub fn config(version: u64, routes: &[String], has_backups: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"draft-model\",\"health-path\":\"/healthz\",\
         \"max-conns\":370,\"engine\":{{\"slots\":64,\"kv-capacity\":55000,\"stride\":7,\"backups\":{has_backups}}}}},\
         {{\"name\":\"booking-app\",\"health-path\":\"/healthz\",\"max-conns\":110}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"crew\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a head and what follows it in the buffer.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Head> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&rest[..at]).into_owned();
            rest.drain(..at + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
            return Ok(Head {
                first,
                headers: headers.collect(),
            });
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&buffer[..count]);
    }
}

/// Reads a request with a body of known length.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<(Head, Vec<u8>)> {
    let head = read_head(stream, rest)?;
    let length: usize = head.get("content-length").parse().unwrap_or(0);
    let mut buffer = [0; 16 << 10];
    while rest.len() < length {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&buffer[..count]);
    }
    let body = rest.drain(..length).collect();
    Ok((head, body))
}

/// An answer as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
    /// Why it did not.
    pub error: String,
}

/// A caller's connection.
pub struct Caller {
    pub stream: TcpStream,
    rest: Vec<u8>,
    /// Bytes of a body after which the caller leaves.
    pub max_bytes: usize,
}

impl Caller {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        Ok(Self {
            stream,
            rest: Vec::new(),
            max_bytes: usize::MAX,
        })
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, request: &[u8]) -> io::Result<Answer> {
        self.stream.write_all(request)?;
        let head = read_head(&mut self.stream, &mut self.rest)?;
        let status = head
            .first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let mut answer = Answer {
            status,
            head,
            ..Answer::default()
        };
        let read = if answer.head.get("transfer-encoding") == "chunked" {
            self.read_chunks(&mut answer.body)
        } else {
            let length = answer.head.get("content-length").parse().unwrap_or(0);
            self.read_exact(length, &mut answer.body)
        };
        answer.is_whole = read.is_ok();
        answer.error = read.err().map(|e| e.to_string()).unwrap_or_default();
        Ok(answer)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn read_exact(&mut self, length: usize, out: &mut Vec<u8>) -> io::Result<()> {
        while self.rest.len() < length {
            self.fill()?;
        }
        out.extend(self.rest.drain(..length));
        Ok(())
    }

    fn read_chunks(&mut self, out: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let end = loop {
                match self.rest.windows(2).position(|w| w == b"\r\n") {
                    Some(at) => break at,
                    None => self.fill()?,
                }
            };
            let size = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            self.rest.drain(..end + 2);
            self.read_exact(size, out)?;
            let mut line_end = Vec::new();
            self.read_exact(2, &mut line_end)?;
            if size == 0 {
                return Ok(());
            }
            if out.len() > self.max_bytes {
                return Err(io::Error::other("the caller has read enough and leaves"));
            }
        }
    }
}

/// A request of a caller.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\nDeadline-Ms: {deadline_ms}\r\n\
         {extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request for a generation with a prompt of 5,200 tokens.
pub fn generation(path: &str, id: &str, events: u64) -> Vec<u8> {
    let extra = format!(
        "Model: m\r\nToken-Count: 5200,{}\r\nPrompt-Prefix: 5c1e07a2:200,{id}:5000\r\n",
        events * 7
    );
    request("POST", path, id, 25_000, &extra, "Draft the call sheet.")
}

/// Answers the calls that ask a server about itself, and rejects what is meant for another one; `None` for a request
/// that is to be run.
pub fn control(head: &Head, id: &str, running: usize, born: u64) -> Option<String> {
    let path = head.first.split(' ').nth(1).unwrap_or_default();
    let json = |body: String| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    match path {
        "/report" => Some(json(format!(
            "{{\"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":1,\
             \"queued\":0,\"running\":{running},\"kv-used\":{},\"kv-total\":55000,\"handles\":0,\"born\":{born}}}",
            running * 5_500
        ))),
        "/healthz" => Some(format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )),
        "/kv-list" => Some(json("{\"epoch\":1,\"next\":1,\"held\":[]}".to_owned())),
        "/kv-move" => {
            Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned())
        }
        _ if !head.get("expect-instance").is_empty() && head.get("expect-instance") != id => {
            Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ))
        }
        // No copy of a run is kept here.
        _ if !head.get("kv-from").is_empty() => Some(
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
        ),
        _ => None,
    }
}

/// An event of a generation, of about 55 bytes.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} tokens {number:04} of this generation\n\n")
}

/// The numbers of the events in the body of a stream, and the bytes that belong to none.
pub fn split_events(id: &str, body: &[u8]) -> (Vec<u64>, usize) {
    let mut numbers = Vec::new();
    let mut foreign = 0;
    let mut at = 0;
    let mut next = 1;
    while at < body.len() {
        // Events come in order, each once; another number is found by its own text.
        let here = (next..next + 400)
            .chain(1..next)
            .find(|n| body[at..].starts_with(event(id, *n).as_bytes()));
        match here {
            Some(number) => {
                numbers.push(number);
                at += event(id, number).len();
                next = number + 1;
            }
            None => {
                foreign = body.len() - at;
                break;
            }
        }
    }
    (numbers, foreign)
}
