//! Publishes the endpoints that serve the announced addresses to the announcer of these addresses.

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
    /// Publishes the state of the data plane. Called at a fixed interval, so that each call is also a
    /// liveness signal.
    fn update(&self, status: DataPlaneStatus);

    /// Applies the BGP settings of another configuration.
    fn reconfigure(&self, bgp: &Bgp);

    /// Withdraws the addresses while this process still serves; completes once no traffic is directed to this
    /// process anymore.
    fn withdraw(&self) -> Pin<Box<dyn Future<Output = ()>>>;

    /// Makes the wait of [`Self::withdraw`] end early.
    fn withdraw_now(&self);
}

const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// One update out of this number includes the endpoints even if no list has changed, because endpoints may
/// have warmed up in the meantime.
const UPDATES_PER_FULL_UPDATE: u32 = 10;

/// The task that publishes updates to the announcer.
pub(super) struct Announcing {
    announcer: Rc<dyn AddressAnnouncer>,
    task: JoinHandle<()>,
}

impl Announcing {
    pub fn start(announcer: Rc<dyn AddressAnnouncer>, current: &CurrentSnapshot) -> Announcing {
        let (current, publish_target) = (Rc::clone(current), Rc::clone(&announcer));
        let task = spawn_local(async move { publish_endpoints(&current, &*publish_target).await });
        Announcing { announcer, task }
    }

    /// Withdraws the addresses while this process still serves. A further shutdown signal ends the wait
    /// early.
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

/// Publishes updates for as long as it is polled.
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
