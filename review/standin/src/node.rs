//! The system's own program, run by the command of the deploy file with settings from its template.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions},
    io::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Wire, json::quote};

pub const FRONT: u16 = 8206;
pub const READY: u16 = 8201;
pub const DIRECTORY: u16 = 8209;
const INNER: u16 = 7600;
const OPERATOR: u16 = 9464;
const ZONES: [(&str, &str); 4] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
];

/// The bounds of the pages that the template or a check uses.
pub const BOUNDS: [(&str, &str); 9] = [
    ("retryBudgetRatio", "0.2"),
    ("retryBudgetSlack", "62"),
    ("budgetWindowS", "10"),
    ("quotaOverage", "0.1"),
    ("quotaSlack", "20"),
    ("maxRegionShift", "0.15"),
    ("graceS", "6"),
    ("contactS", "3"),
    ("ttl_max_s", "5"),
];

/// Loopback addresses of one run: `127.A.B.N`, with A and B drawn from the process's number.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    /// Finds a block of addresses at which the ports are free.
    pub fn find() -> Option<Self> {
        let pid = std::process::id();
        for step in 0..50 {
            let number = pid.wrapping_mul(7).wrapping_add(step * 131);
            let net = Self {
                a: 20 + (number % 200) as u8,
                b: 1 + (number / 200 % 250) as u8,
            };
            let ports = [FRONT, READY, DIRECTORY, INNER, OPERATOR];
            let is_free = |port: u16| TcpListener::bind(net.addr(1, port)).is_ok();
            if ports.into_iter().all(is_free) {
                return Some(net);
            }
        }
        None
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, host)
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddrV4::new(self.ip(host), port).into()
    }
}

pub struct Node {
    host: u8,
    net: Net,
    child: Child,
}

impl Node {
    /// Starts a node in a zone, numbered from zero, whose store is at `store`.
    pub fn start(net: Net, host: u8, zone: usize, store: SocketAddr, dir: &Path) -> Self {
        // The platform starts programs in the repository's root; the script has changed to it.
        let root = std::env::current_dir().expect("the repository");
        let (zone, region) = ZONES[zone];
        let name = format!("front-{zone}-{host}");
        let template =
            fs::read_to_string(root.join("deploy/settings.jsonc")).expect("the template");
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("{}:{}", quote(zone), quote(region)))
            .collect();
        let quoted = |port: u16| quote(&net.addr(host, port).to_string());
        let mut fields: BTreeMap<String, String> = BTreeMap::from([
            ("nodeName|json".to_owned(), quote(&name)),
            ("zone|json".to_owned(), quote(zone)),
            ("region|json".to_owned(), quote(region)),
            ("listen.front|json".to_owned(), quoted(FRONT)),
            ("listen.readyAddr|json".to_owned(), quoted(READY)),
            ("listen.directory|json".to_owned(), quoted(DIRECTORY)),
            ("ip".to_owned(), net.ip(host).to_string()),
            ("innerPorts.0".to_owned(), INNER.to_string()),
            ("limits.memoryMb|json".to_owned(), "260".to_owned()),
            (
                "platform.address|json".to_owned(),
                quote(&store.to_string()),
            ),
            ("zones|json".to_owned(), format!("{{{}}}", zones.join(","))),
        ]);
        for (bound, value) in BOUNDS {
            fields.insert(format!("bounds.{bound}|json"), value.to_owned());
        }
        let text = fields.iter().fold(template, |text, (field, value)| {
            text.replace(&format!("{{{{{field}}}}}"), value)
        });
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        let settings = dir.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = File::create(dir.join(format!("{name}.log"))).expect("the log can be written");
        let child = Command::new(root.join("target/release/godwitgauge-node"))
            .current_dir(&root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("GODWITGAUGE_CONFIG", settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log"))
            .stdout(log)
            .spawn()
            .expect("the node starts");
        let pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join("pids"));
        let noted = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        noted.expect("the process's number can be noted");
        Self { host, net, child }
    }

    pub fn front(&self) -> SocketAddr {
        self.net.addr(self.host, FRONT)
    }

    pub fn directory(&self) -> SocketAddr {
        self.net.addr(self.host, DIRECTORY)
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.net.addr(self.host, READY)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut wire = Wire::new(stream);
        let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        wire.write(request).is_ok() && wire.read().is_ok_and(|answer| answer.status() == 200)
    }

    /// The memory that the process holds, without the pages of its program.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all nodes are ready.
pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

pub fn zone_name(zone: usize) -> &'static str {
    ZONES[zone].0
}
