//! Discovery: the list of backends as known at the start, and the watch that keeps it up to date.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use amberlever::interface::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

use crate::driver::Driver;
use crate::socket::Socket;

/// How long a watch waits for news.
const WAIT: Duration = Duration::from_secs(20);
/// An answer that has not come by then, after the wait, will not come.
const LATE: Duration = Duration::from_millis(1500);
/// Pause before asking again where lists are pushed and the decisions do not ask.
const PUSHED_PAUSE: Duration = Duration::from_millis(250);
/// The largest list that is read, in bytes.
const MOST_LIST: usize = 8 << 20;

/// A list of backends, in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct HostList {
    seq: u64,
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Clone, Debug, Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    site: String,
    class: String,
    block: Option<u64>,
    health: Health,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Health {
    Serving,
    Draining,
    Deleted,
}

fn one() -> f64 {
    1.0
}

pub struct Watch {
    address: SocketAddr,
    known: RefCell<Option<HostList>>,
    seq: Cell<Option<u64>>,
    ids: RefCell<Vec<(u32, String)>>,
    task: RefCell<Option<AbortHandle>>,
    complained: Cell<bool>,
}

impl Watch {
    pub fn new(address: SocketAddr, known: Option<HostList>) -> Watch {
        Watch {
            address,
            known: RefCell::new(known),
            seq: Cell::new(None),
            ids: RefCell::default(),
            task: RefCell::default(),
            complained: Cell::new(false),
        }
    }

    /// Hands over the list as last known, maybe out of date.
    pub fn start(&self, driver: &Rc<Driver>) {
        match self.known.take() {
            Some(list) => self.apply(driver, list, ListScope::Cached),
            None => driver.list(ListScope::Cached, Vec::new()),
        }
        if !driver.settings.ask_discovery {
            self.subscribe(driver);
        }
    }

    /// Watches from now on. A failure ends the watch and is told; asking again is up to the decisions.
    pub fn subscribe(&self, driver: &Rc<Driver>) {
        self.stop();
        let driver = Rc::clone(driver);
        let address = self.address;
        let task = spawn_local(async move {
            loop {
                follow(&driver, address).await;
                if driver.settings.ask_discovery {
                    driver.list(ListScope::Failed, Vec::new());
                    return;
                }
                tokio::time::sleep(PUSHED_PAUSE).await;
            }
        });
        self.task.replace(Some(task.abort_handle()));
    }

    pub fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    pub fn has_list(&self) -> bool {
        self.seq.get().is_some()
    }

    /// Takes a list in, before anything else is sent.
    fn apply(&self, driver: &Rc<Driver>, list: HostList, scope: ListScope) {
        self.seq.set(Some(list.seq));
        let entries: Vec<BackendEntry> = list
            .hosts
            .iter()
            .map(|host| {
                let entry = self.entry(driver, host);
                driver.backends.update(&entry, host.dial);
                entry
            })
            .collect();
        if scope != ListScope::Delta {
            driver.backends.retain(|id| entries.iter().any(|e| e.id == id));
        }
        driver.list(scope, entries);
    }

    fn entry(&self, driver: &Driver, host: &Host) -> BackendEntry {
        let mut names = driver.names.borrow_mut();
        BackendEntry {
            id: self.id(&host.host),
            stage: match host.health {
                Health::Serving => Stage::Ready,
                Health::Draining => Stage::Draining,
                Health::Deleted => Stage::Gone,
            },
            weight: host.share,
            up_since: driver.clock.at_unix_ms(host.born_ms),
            zone: names.zone(&host.site),
            kind: names.kind(&host.class),
            cell: host.block,
        }
    }

    /// A host's id: the same at every proxy, because all of them cut parts out of the same order of ids.
    fn id(&self, host: &str) -> BackendId {
        let mut ids = self.ids.borrow_mut();
        if let Some((id, _)) = ids.iter().find(|(_, name)| name == host) {
            return BackendId(*id);
        }
        // FNV-1a; a hash that is taken moves on to the next.
        let mut id = host.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        while ids.iter().any(|(taken, _)| *taken == id) {
            id = id.wrapping_add(1);
        }
        ids.push((id, host.to_owned()));
        BackendId(id)
    }
}

/// Watches until something fails.
async fn follow(driver: &Rc<Driver>, address: SocketAddr) {
    let watch = driver.discovery();
    let Ok(Ok(stream)) = timeout(LATE, TcpStream::connect(address)).await else { return };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(Socket::new(stream))).await else {
        return;
    };
    let connection = spawn_local(connection);
    loop {
        let path = match watch.seq.get() {
            Some(seq) => format!("/v1/servers?after={seq}&wait_ms={}", WAIT.as_millis()),
            None => "/v1/servers".to_owned(),
        };
        let Ok(Some(list)) = timeout(WAIT + LATE, ask(watch, &mut sender, &path)).await else { break };
        let scope = if list.whole { ListScope::Full } else { ListScope::Delta };
        watch.apply(driver, list, scope);
    }
    connection.abort();
}

async fn ask(watch: &Watch, sender: &mut SendRequest<Empty<Bytes>>, path: &str) -> Option<HostList> {
    let mut request = Request::new(Empty::new());
    *request.uri_mut() = path.parse().ok()?;
    request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), MOST_LIST).collect().await.ok()?.to_bytes();
    match serde_json::from_slice(&body) {
        Ok(list) => Some(list),
        Err(e) => {
            if !watch.complained.replace(true) {
                eprintln!("passing over a malformed list of backends: {e}");
            }
            None
        }
    }
}
