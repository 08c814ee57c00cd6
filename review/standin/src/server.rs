//! A server behind the system: registers in the store, runs requests in slots and records them.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{Message, Wire, response},
    record::Record,
    store::Store,
};

/// Interval at which a server looks whether its entry has changed.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Interval at which a running request looks whether its connection has been closed.
const WATCH: Duration = Duration::from_millis(5);

/// Part of the path of requests that crash each server that begins to run them.
const DEADLY: &str = "deadly";
/// Part of the path of requests whose answers have no length.
const STREAM: &str = "stream";
/// Time between the two parts of such an answer.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Time after which a crashed server is back.
const RESTART: Duration = Duration::from_secs(2);

#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub queue: u32,
    /// Time for which a server is cold after a start during traffic.
    pub cold: Duration,
}

/// One arrival of a request that the server runs.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub zone: String,
    pub method: String,
    /// When the request arrived, began to run, and ended.
    pub arrived: Instant,
    pub began: Option<Instant>,
    pub ended: Option<Instant>,
    /// Whether its connection was closed before it ended.
    pub is_cut: bool,
    /// Whether the server was cold.
    pub is_cold: bool,
    /// Whether the request crashes the server that begins to run it.
    pub is_deadly: bool,
    /// Whether the server was slow.
    pub is_slow: bool,
}

struct Slots {
    running: u32,
    waiting: u32,
}

pub struct Server {
    pub options: Options,
    me: Weak<Server>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Number of the current life; connections of earlier ones are closed.
    life: AtomicU64,
    is_up: AtomicBool,
    /// Factor by which work takes longer than usual.
    slowness: AtomicU64,
    cold_until: Mutex<Instant>,
    slots: Mutex<Slots>,
    freed: Condvar,
    open: Mutex<Vec<TcpStream>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    /// Starts a server that is warm, before there is traffic.
    pub fn start(
        options: Options,
        store: Arc<Store>,
        record: Arc<Record>,
        runs: Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let server = Arc::new_cyclic(|me| Self {
            options,
            me: me.clone(),
            store,
            record,
            life: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            slowness: AtomicU64::new(1),
            cold_until: Mutex::new(Instant::now()),
            slots: Mutex::new(Slots {
                running: 0,
                waiting: 0,
            }),
            freed: Condvar::new(),
            open: Mutex::default(),
            runs,
        });
        server.clone().begin_life(Duration::ZERO, Duration::ZERO);
        server
    }

    /// Ends the server's process: its listener and all its connections close.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, so that it ends and closes the listener.
        let _ = TcpStream::connect(self.options.addr);
        self.freed.notify_all();
        self.record
            .note(&format!("server {} is down", self.options.id));
    }

    /// Lets all work that begins from now on take `factor` times as long.
    pub fn slow_down(&self, factor: u64) {
        self.slowness.store(factor, Ordering::SeqCst);
        self.record
            .note(&format!("server {} turns slow", self.options.id));
    }

    /// Starts it again at the same address under the same id: a new life that is cold. Its first
    /// entry is written `entry_after` the start.
    pub fn restart(self: Arc<Self>, entry_after: Duration) {
        let cold = self.options.cold;
        self.record
            .note(&format!("server {} starts again", self.options.id));
        self.begin_life(cold, entry_after);
    }

    fn begin_life(self: Arc<Self>, cold: Duration, entry_after: Duration) {
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        *self.slots.lock().unwrap() = Slots {
            running: 0,
            waiting: 0,
        };
        *self.cold_until.lock().unwrap() = Instant::now() + cold;
        let listener = bind(self.options.addr);
        self.is_up.store(true, Ordering::SeqCst);
        let accepting = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.life.load(Ordering::SeqCst) != life {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.open.lock().unwrap().push(copy);
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(Wire::new(stream), life));
            }
        });
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = since.unwrap_or_default().as_millis();
        thread::spawn(move || {
            thread::sleep(entry_after);
            self.keep_entry(life, born);
        });
    }

    /// Writes the entry, and writes it again when more than its `sequence` has changed.
    fn keep_entry(&self, life: u64, born: u128) {
        let mut sequence = 0;
        let mut written = String::new();
        while self.life.load(Ordering::SeqCst) == life {
            let left = self
                .cold_until
                .lock()
                .unwrap()
                .saturating_duration_since(Instant::now());
            let Options {
                id,
                service,
                zone,
                addr,
                slots,
                ..
            } = &self.options;
            let cold = if left.is_zero() {
                0.0
            } else {
                left.as_secs_f64()
            };
            let fixed = format!(
                "\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"born\":{born}"
            );
            let state = format!("{fixed},{}", !left.is_zero());
            if state != written {
                let entry = format!("{{{fixed},\"coldLeftS\":{cold:.3},\"sequence\":{sequence}}}");
                self.store.put("servers", id, &entry);
                self.record.note(&format!("entry of {id}: {entry}"));
                written = state;
            }
            sequence += 1;
            thread::sleep(HEARTBEAT);
        }
    }

    fn is_alive(&self, life: u64) -> bool {
        self.is_up.load(Ordering::SeqCst) && self.life.load(Ordering::SeqCst) == life
    }

    fn serve(&self, mut wire: Wire, life: u64) {
        while let Ok(request) = wire.read() {
            if !self.is_alive(life) {
                return;
            }
            let Some(answer) = self.handle(&wire, &request, life) else {
                let _ = wire.stream.shutdown(Shutdown::Both);
                return;
            };
            if request.first.contains(STREAM) {
                self.stream(&mut wire, &answer, life);
                return;
            }
            if wire.write(&answer).is_err() {
                return;
            }
        }
    }

    /// Sends an answer without a length, its body in two parts, and ends the connection behind it.
    fn stream(&self, wire: &mut Wire, answer: &[u8], life: u64) {
        let text = String::from_utf8_lossy(answer).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return;
        };
        let lines = head
            .split("\r\n")
            .filter(|line| !line.starts_with("Content-Length"));
        let head: Vec<&str> = lines
            .filter(|line| !line.starts_with("Keep-Alive"))
            .collect();
        let head = format!("{}\r\nConnection: close\r\n\r\n", head.join("\r\n"));
        let (first, second) = body.split_at(body.len() / 2);
        let _ = wire.write(format!("{head}{first}").as_bytes());
        thread::sleep(PAUSE);
        if self.is_alive(life) {
            let _ = wire.write(second.as_bytes());
        }
        let _ = wire.stream.shutdown(Shutdown::Both);
    }

    /// Returns the answer, or `None` if the connection was closed meanwhile.
    fn handle(&self, wire: &Wire, request: &Message, life: u64) -> Option<Vec<u8>> {
        let id = self.options.id.as_str();
        let mut words = request.first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let attempt = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("X-Attempt-Id", attempt.as_str());
        if request
            .header("x-target-instance")
            .is_some_and(|name| name != id)
        {
            let headers = [echo, ("X-Instance-Id", id)];
            return Some(response(421, &headers, b""));
        }
        if path == "/health" {
            return Some(response(200, &[("X-Instance-Id", id)], b""));
        }
        if attempt.is_empty() {
            return Some(response(400, &[("X-Not-Executed", "1")], b""));
        }
        let arrived = Instant::now();
        let deadline = request
            .header("x-deadline-ms")
            .and_then(|ms| ms.parse().ok());
        let deadline = arrived + Duration::from_millis(deadline.unwrap_or(60_000));
        let is_cold = arrived < *self.cold_until.lock().unwrap();
        let idx = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                attempt: attempt.clone(),
                server: id.to_owned(),
                zone: self.options.zone.clone(),
                method,
                arrived,
                began: None,
                ended: None,
                is_cut: false,
                is_cold,
                is_deadly: path.contains(DEADLY),
                is_slow: self.slowness.load(Ordering::SeqCst) > 1,
            });
            runs.len() - 1
        };
        let not_run = |status: u16| Some(response(status, &[echo, ("X-Not-Executed", "1")], b""));
        {
            let mut slots = self.slots.lock().unwrap();
            if slots.running >= self.options.slots && slots.waiting >= self.options.queue {
                return not_run(503);
            }
            slots.waiting += 1;
            while slots.running >= self.options.slots {
                let wait = Duration::from_millis(5);
                slots = self.freed.wait_timeout(slots, wait).unwrap().0;
                let is_late = Instant::now() >= deadline;
                if !self.is_alive(life) || is_late || wire.is_closed() {
                    slots.waiting = slots.waiting.saturating_sub(1);
                    drop(slots);
                    return if is_late { not_run(503) } else { None };
                }
            }
            slots.waiting = slots.waiting.saturating_sub(1);
            slots.running += 1;
        }
        let began = Instant::now();
        self.runs.lock().unwrap()[idx].began = Some(began);
        if path.contains(DEADLY) {
            let server = self.me.upgrade()?;
            server.crash();
            thread::spawn(move || {
                thread::sleep(RESTART);
                server.restart(Duration::ZERO);
            });
            return None;
        }
        let work: u64 = path
            .split_once("w=")
            .and_then(|(_, text)| text.split('&').next()?.parse().ok())
            .unwrap_or(20);
        let work = work * self.slowness.load(Ordering::SeqCst);
        let until = began + Duration::from_millis(work);
        let is_cut = loop {
            let now = Instant::now();
            if now >= until.min(deadline) {
                break false;
            }
            if !self.is_alive(life) || wire.is_closed() {
                break true;
            }
            thread::sleep(WATCH.min(until - now));
        };
        if self.life.load(Ordering::SeqCst) == life {
            let mut slots = self.slots.lock().unwrap();
            slots.running = slots.running.saturating_sub(1);
            self.freed.notify_one();
        }
        {
            let run = &mut self.runs.lock().unwrap()[idx];
            run.ended = Some(Instant::now());
            run.is_cut = is_cut;
        }
        if is_cut {
            return None;
        }
        let status = if Instant::now() >= deadline { 504 } else { 200 };
        let seal = format!("{id}.{attempt}.{status}");
        let load = {
            let slots = self.slots.lock().unwrap();
            format!("{},{},{}", slots.running, slots.waiting, self.options.slots)
        };
        let headers = [
            echo,
            ("X-Response-Seal", seal.as_str()),
            ("X-Server-Load", load.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        let body = format!("{id} {attempt} {path}");
        Some(response(status, &headers, body.as_bytes()))
    }
}

/// Binds an address that a former life may just have left.
fn bind(addr: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(addr) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{addr} is in use");
}
