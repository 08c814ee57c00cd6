//! A small deployment: a store, servers, nodes and an operator's configuration.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::Wire,
    link::Link,
    node::{Net, Node, wait_ready, zone_name},
    record::Record,
    server::{Options, Run, Server},
    store::{LinkPorts, Store},
};

const STORE_PORT: u16 = 8205;
const SERVER_PORT: u16 = 8542;
const LINK_PORT: u16 = 8600;
pub const HOST: &str = "a.example";
pub const KEY: &str = "k7q2m9x4t1v8b3n6z5w0";
pub const SECOND_KEY: &str = "r3d8f5h1j6l9p2s7u4y0";

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub servers: Vec<Arc<Server>>,
    pub nodes: Vec<Node>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The links of each node to the servers, in their order; empty where they are direct.
    pub links: Vec<Vec<Arc<Link>>>,
}

/// Describes the deployment of a case.
pub struct Spec {
    /// Zones in which a node runs, each as a number.
    pub nodes: Vec<usize>,
    pub servers_per_zone: u8,
    pub slots: u32,
    pub queue: u32,
    pub cold: Duration,
    /// Requests per second and burst of the tenant; zero for no limit.
    pub quota: (f64, f64),
    /// Milliseconds that the routes' operator wants requests kept waiting at most.
    pub timeout_s: f64,
    /// Whether each node has links of its own to the servers, which can be cut.
    pub has_links: bool,
}

impl World {
    /// Starts everything and waits until the nodes are ready; `None` if they don't get so.
    pub fn start(folder: &Path, spec: &Spec) -> Option<Self> {
        let record = Arc::new(Record::create(&folder.join("record.txt")));
        let net = Net::find()?;
        // The script makes this folder, and removes it and ends the nodes at last.
        let dir = PathBuf::from(std::env::var_os("REVIEW_TMP")?);
        let store = Store::start(net.addr(200, STORE_PORT));
        store.put(
            "op",
            "config",
            &document(7, spec, spec.timeout_s, &[KEY, SECOND_KEY]),
        );
        let runs = Arc::new(Mutex::new(Vec::new()));
        let mut servers = Vec::new();
        for zone in 0..4 {
            for idx in 0..spec.servers_per_zone {
                let options = Options {
                    id: format!("i-{}-{idx}", zone_name(zone)),
                    service: "ledger".to_owned(),
                    zone: zone_name(zone).to_owned(),
                    addr: net.addr(100 + zone as u8 * 10 + idx, SERVER_PORT),
                    slots: spec.slots,
                    queue: spec.queue,
                    cold: spec.cold,
                };
                let (store, record) = (store.clone(), record.clone());
                servers.push(Server::start(options, store, record, runs.clone()));
            }
        }
        let mut nodes = Vec::new();
        let mut links = Vec::new();
        for (idx, zone) in spec.nodes.iter().enumerate() {
            let mut store_addr = store.addr;
            if spec.has_links {
                let link = LINK_PORT + idx as u16;
                store_addr.set_port(STORE_PORT + 1 + idx as u16);
                let server = SERVER_PORT;
                store.listen(store_addr, Some(LinkPorts { server, link }));
                let of_node = servers.iter().map(|server| {
                    let mut addr = server.options.addr;
                    addr.set_port(link);
                    Link::start(addr, server.options.addr)
                });
                links.push(of_node.collect());
            }
            nodes.push(Node::start(net, 1 + idx as u8, *zone, store_addr, &dir));
        }
        let world = Self {
            record,
            store,
            servers,
            nodes,
            runs,
            links,
        };
        if !wait_ready(&world.nodes, Duration::from_secs(25)) {
            world.record.say("the nodes did not get ready");
            return None;
        }
        world.record.note("all nodes are ready");
        Some(world)
    }

    /// Whether all nodes still run.
    pub fn are_nodes_up(&mut self) -> bool {
        !self.nodes.iter_mut().any(Node::has_ended)
    }

    /// Writes each request that reached a server to the record.
    pub fn note_runs(&self) {
        for run in self.runs.lock().unwrap().iter() {
            let at = |time: Option<Instant>| {
                time.map_or("-".to_owned(), |time| {
                    format!("{:.3}", self.record.at(time))
                })
            };
            self.record.note(&format!(
                "run of {} ({}) on {} in {}: arrived {}, began {}, ended {}, cut {}, cold {}",
                run.attempt,
                run.method,
                run.server,
                run.zone,
                at(Some(run.arrived)),
                at(run.began),
                at(run.ended),
                run.is_cut,
                run.is_cold,
            ));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.nodes.clear();
    }
}

/// The operator's document: one service, a sticky route for reads, one for writes and one for
/// pages that isn't sticky, and one tenant with these keys.
pub fn document(version: u64, spec: &Spec, timeout: f64, keys: &[&str]) -> String {
    let (rate, burst) = spec.quota;
    let cold = spec.cold.as_secs_f64();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let rule = |name: &str, kind: &str, priority: u32, is_sticky: bool| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"targetLatencyS\":0.5,\
             \"priority\":{priority},\"public\":false,\"sticky\":{is_sticky},\
             \"match\":{{\"prefix\":\"/{name}/\"}},\"action\":{{\"service\":\"ledger\",\
             \"timeoutS\":{timeout},\"maxAttempts\":2,\"homeRegions\":[]}}}}"
        )
    };
    let rules = [
        rule("read", "idempotent", 2, true),
        rule("write", "non_idempotent", 1, true),
        rule("page", "idempotent", 2, false),
    ]
    .join(",");
    format!(
        "{{\"version\":\"{version:08x}\",\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\
         \"tenants\":[{{\"name\":\"sese880\",\"apiKeys\":[{keys}],\"priority\":1,\
         \"ratePerS\":{rate},\"burst\":{burst},\"homeRegions\":[]}}],\
         \"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{rules}]}}],\
         \"clusters\":[{{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConns\":390,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":{cold},\"coldPerS\":15.0}}]}}"
    )
}

/// The text of a client's request; `work_ms` is how long the server works on it.
pub fn request(
    method: &str,
    route: &str,
    attempt: &str,
    object: u32,
    work_ms: u64,
    deadline_ms: u64,
) -> String {
    request_with_key(KEY, method, route, attempt, object, work_ms, deadline_ms)
}

/// The same with another key.
pub fn request_with_key(
    key: &str,
    method: &str,
    route: &str,
    attempt: &str,
    object: u32,
    work_ms: u64,
    deadline_ms: u64,
) -> String {
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    format!(
        "{method} /{route}/{object}?w={work_ms} HTTP/1.1\r\nHost: {HOST}\r\n\
         X-Attempt-Id: {attempt}\r\nCookie: X-Affinity-Key={object}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nX-Credential: {key}\r\n{length}\r\n"
    )
}

/// Sends a request on a new connection and returns the status of the answer.
pub fn send(addr: SocketAddr, text: &str, limit: Duration) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut wire = Wire::new(stream);
    wire.write(text.as_bytes())?;
    Ok(wire.read()?.status())
}
