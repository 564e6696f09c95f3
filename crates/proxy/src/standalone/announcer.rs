//! Keeps the announcer of this proxy's addresses informed about the endpoints behind them.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bgp::DataPlaneStatus;
use config::Bgp;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use super::CurrentSnapshot;
use crate::process::ShutdownSignal;

/// Announces the addresses at which this process serves.
pub trait AddressAnnouncer {
    /// Publishes the state of the data plane. Called at a fixed interval, which doubles as a liveness signal.
    fn update(&self, status: DataPlaneStatus);

    /// Another configuration is being served.
    fn reconfigure(&self, bgp: &Bgp);

    /// The process is shutting down: completes once no traffic is directed here any more, while this process still
    /// serves.
    fn withdraw(&self) -> Pin<Box<dyn Future<Output = ()>>>;

    /// Ends the wait of [`Self::withdraw`] early.
    fn withdraw_now(&self);
}

const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Endpoints are published with every such update even if no list has changed, as some may have warmed up meanwhile.
const UPDATES_PER_FULL_UPDATE: u32 = 10;

/// The task that keeps the announcer informed.
pub(super) struct Announcing {
    announcer: Rc<dyn AddressAnnouncer>,
    task: JoinHandle<()>,
}

impl Announcing {
    pub fn start(announcer: Rc<dyn AddressAnnouncer>, current: &CurrentSnapshot) -> Announcing {
        let (current, informed) = (Rc::clone(current), Rc::clone(&announcer));
        let task = spawn_local(async move { publish_endpoints(&current, &*informed).await });
        Announcing { announcer, task }
    }

    /// Has the addresses withdrawn while this process still serves. A further shutdown signal ends the wait early.
    pub async fn stop(self, shutdown: &mut ShutdownSignal) {
        let mut withdrawn = self.announcer.withdraw();
        tokio::select! {
            () = &mut withdrawn => {}
            () = shutdown.received() => {
                self.announcer.withdraw_now();
                withdrawn.await;
            }
        }
        self.task.abort();
    }
}

/// Publishes the endpoints for as long as it is polled.
async fn publish_endpoints(current: &CurrentSnapshot, announcer: &dyn AddressAnnouncer) {
    let mut published_version = None;
    for update in 0u32.. {
        let snapshot = Rc::clone(&current.borrow());
        let version = Some(snapshot.list_version());
        let with_endpoints = published_version != version || update % UPDATES_PER_FULL_UPDATE == 0;
        published_version = version;
        let pools = with_endpoints.then(|| snapshot.announced_endpoints());
        announcer.update(DataPlaneStatus { accepting: true, pools });
        drop(snapshot);
        sleep(UPDATE_INTERVAL).await;
    }
}
