//! The platform's store, by its published protocol: rows, transactions under conditions, a feed.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Wire, response},
    json::{Json, base64, quote},
};

const ROWS_PER_PAGE: usize = 500;
const READ_ONLY: [&str; 2] = ["op", "servers"];
/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(4);

type RowName = (String, String);

#[derive(Default)]
struct Tables {
    ver: u64,
    /// Version and base64 value of each row.
    rows: BTreeMap<RowName, (u64, String)>,
    /// Version of the last change of each row that has been deleted.
    deleted: BTreeMap<RowName, u64>,
    /// Text of the servers' entries.
    entries: BTreeMap<String, String>,
}

/// The link of a node to the servers: their port as the node sees it, in place of their own.
#[derive(Clone, Copy)]
pub struct LinkPorts {
    pub server: u16,
    pub link: u16,
}

pub struct Store {
    pub addr: SocketAddr,
    started: Instant,
    tables: Mutex<Tables>,
    changed: Condvar,
    /// Connections opened before this time are silent: they stay open and nothing comes on them.
    silent_before: Mutex<Option<Instant>>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            addr,
            started: Instant::now(),
            tables: Mutex::default(),
            changed: Condvar::new(),
            silent_before: Mutex::default(),
        });
        store.listen(addr, None);
        store
    }

    /// Serves the same tables at another address as well; with `ports`, the servers' entries name the
    /// ports of links.
    pub fn listen(self: &Arc<Self>, addr: SocketAddr, ports: Option<LinkPorts>) {
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(Wire::new(stream), ports));
            }
        });
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.ver += 1;
        let row = (tables.ver, base64(value.as_bytes()));
        let name = (table.to_owned(), key.to_owned());
        tables.deleted.remove(&name);
        tables.rows.insert(name, row);
        if table == "servers" {
            tables.entries.insert(key.to_owned(), value.to_owned());
        }
        self.changed.notify_all();
    }

    /// Lets all open connections go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        *self.silent_before.lock().unwrap() = Some(Instant::now());
    }

    fn serve(&self, mut wire: Wire, ports: Option<LinkPorts>) {
        let opened = Instant::now();
        let is_silent = || {
            let before = *self.silent_before.lock().unwrap();
            before.is_some_and(|before| opened < before)
        };
        while let Ok(request) = wire.read() {
            if is_silent() {
                continue;
            }
            let mut words = request.first.split(' ');
            let target = words.nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                .collect();
            thread::sleep(ANSWER);
            let (status, body) = match path {
                "/api/rows-get" => (200, self.get(&query, ports)),
                "/api/rows-feed" => (200, self.feed(&query, ports)),
                "/api/rows-tx" => {
                    let text = String::from_utf8_lossy(&request.body).into_owned();
                    self.transact(&Json::parse(&text).unwrap_or(Json::Null))
                }
                _ => (404, "{}".to_owned()),
            };
            if is_silent() {
                continue;
            }
            let head = [("Content-Type", "application/json")];
            if wire
                .write(&response(status, &head, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn get(&self, query: &BTreeMap<String, String>, ports: Option<LinkPorts>) -> String {
        let tables = self.tables.lock().unwrap();
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let target = query.get("target");
        let limit = query.get("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(ROWS_PER_PAGE).min(ROWS_PER_PAGE);
        let found = tables.rows.range((table.clone(), from)..);
        let mut found: Vec<_> = found
            .take_while(|((name, key), _)| {
                *name == table && target.is_none_or(|target| key < target)
            })
            .take(limit + 1)
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        let rows: Vec<String> = found
            .iter()
            .map(|((table, key), (ver, value))| {
                let value = tables.value_for(table, key, value, ports);
                row_text(table, key, *ver, Some(&value))
            })
            .collect();
        self.page(&rows, tables.ver, has_more)
    }

    fn feed(&self, query: &BTreeMap<String, String>, ports: Option<LinkPorts>) -> String {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut tables = self.tables.lock().unwrap();
        loop {
            let written = tables.rows.iter().filter(|((name, _), _)| *name == table);
            let written = written.map(|((_, key), (ver, value))| (*ver, key, Some(value)));
            let deleted = tables
                .deleted
                .iter()
                .filter(|((name, _), _)| *name == table);
            let deleted = deleted.map(|((_, key), ver)| (*ver, key, None));
            let mut changes: Vec<_> = written.chain(deleted).filter(|row| row.0 > after).collect();
            changes.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let rows: Vec<String> = changes
                    .iter()
                    .map(|(ver, key, value)| {
                        let value = value.map(|value| tables.value_for(&table, key, value, ports));
                        row_text(&table, key, *ver, value.as_deref())
                    })
                    .collect();
                return self.page(&rows, tables.ver, false);
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn page(&self, rows: &[String], ver: u64, has_more: bool) -> String {
        let (rows, now_s) = (rows.join(","), self.now_s());
        format!("{{\"rows\":[{rows}],\"hasMore\":{has_more},\"ver\":{ver},\"nowS\":{now_s:.3}}}")
    }

    /// Applies all entries of a call, or none.
    fn transact(&self, body: &Json) -> (u16, String) {
        let name = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let mut tables = self.tables.lock().unwrap();
        let changes = body
            .get("writes")
            .list()
            .iter()
            .chain(body.get("deletes").list());
        if changes
            .clone()
            .any(|row| READ_ONLY.contains(&row.get("table").text()))
        {
            return (403, "{}".to_owned());
        }
        let mut current = Vec::new();
        let mut is_met = true;
        for row in body.get("expected").list() {
            let found = tables.rows.get(&name(row));
            is_met &= row.get("ver").number() as u64 == found.map_or(0, |(ver, _)| *ver);
            if let Some((ver, value)) = found {
                let (table, key) = name(row);
                current.push(row_text(&table, &key, *ver, Some(value)));
            }
        }
        if !is_met {
            return (412, self.page(&current, tables.ver, false));
        }
        tables.ver += 1;
        let ver = tables.ver;
        for row in body.get("writes").list() {
            tables.deleted.remove(&name(row));
            let value = row.get("value").text().to_owned();
            tables.rows.insert(name(row), (ver, value));
        }
        for row in body.get("deletes").list() {
            tables.rows.remove(&name(row));
            tables.deleted.insert(name(row), ver);
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"ver\":{ver},\"nowS\":{:.3}}}", self.now_s()),
        )
    }
}

impl Tables {
    /// The value of a row as a node sees it that has links of its own to the servers.
    fn value_for(&self, table: &str, key: &str, value: &str, ports: Option<LinkPorts>) -> String {
        let entry = self.entries.get(key).filter(|_| table == "servers");
        let (Some(entry), Some(ports)) = (entry, ports) else {
            return value.to_owned();
        };
        let LinkPorts { server, link } = ports;
        base64(
            entry
                .replace(&format!(":{server}\""), &format!(":{link}\""))
                .as_bytes(),
        )
    }
}

fn row_text(table: &str, key: &str, ver: u64, value: Option<&str>) -> String {
    let (table, key) = (quote(table), quote(key));
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{ver},{rest}}}")
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
