use fastrand::Rng;

use super::DiscoveryPoller;
use crate::{Settings, UpdateScope};

fn poller(poll_discovery: bool) -> DiscoveryPoller {
    let settings = Settings { balancers: 1, poll_discovery, max_poll_interval: 1_000, ..Settings::default() };
    DiscoveryPoller::new(&settings)
}

/// Guards discovery against needless polls of a fleet whose list is pushed.
#[test]
fn pushed_list_is_never_polled() {
    let mut poller = poller(false);
    let mut rng = Rng::with_seed(1);
    assert_eq!(poller.first_poll_at(0, &mut rng), None);
    assert_eq!(poller.on_failure(0, &mut rng), None);
    assert!(!poller.on_timer());
}

/// Guards discovery against polls in quick succession while it fails, and the balancer against a backoff that
/// exceeds the poll interval or stays after a success.
#[test]
fn failed_polls_back_off_up_to_the_poll_interval() {
    let mut poller = poller(true);
    let mut rng = Rng::with_seed(1);
    for backoff in [200, 400, 800, 1_000, 1_000] {
        assert!(poller.on_timer());
        assert!(!poller.on_timer(), "a poll is under way");
        assert_eq!(poller.backoff, backoff);
        let next = poller.on_failure(0, &mut rng).expect("another poll");
        assert!((1..=backoff).contains(&next));
    }
    poller.on_update(UpdateScope::Cached);
    assert_eq!(poller.backoff, 1_000, "a cached list does not show that discovery answers");
    poller.on_update(UpdateScope::Full);
    assert_eq!(poller.backoff, 0);
}
