//! A listener whose balancer never answers: the request must still time out before its client does.

use std::io::{BufRead, BufReader, Write};

use decide::platform_settings;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use super::*;
use crate::clock::Clock;
use crate::driver::Driver;
use crate::platform_router::PlatformRouter;
use crate::upstream::UpstreamPool;

const SETTINGS: &str = r#"{"balancers":1,"stages":["front"],"limits":{"max_attempts":3},
    "request_classes":[{"name":"read","promise_ms":9000,"deadline_ms":9000,"semantics":"idempotent"}]}"#;

#[test]
fn request_without_decision_times_out() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let settings = platform_settings::parse(SETTINGS).expect("settings");
        let upstream = Rc::new(UpstreamPool::new(settings.transport, 9));
        // This driver never runs, so it decides nothing.
        let driver = Driver::new(settings.settings.clone(), 7, Clock::new(), upstream, None, Rc::default());
        let router = PlatformRouter {
            driver: driver.handle(),
            names: settings.names,
            settings: settings.settings,
            ready: Rc::default(),
            class_counters: Vec::new(),
        };
        let frontend = Frontend {
            router: Rc::new(router),
            ids: OpenRequestIds::default(),
            protocol: Protocol::Http,
            is_socket_shared: false,
            memory: MemoryBudget::without_limit(),
            cut_offs: Rc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, response) = oneshot::channel();
        std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).expect("listens");
            let request = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: 300\r\n\r\n";
            stream.write_all(request.as_bytes()).expect("written");
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line).expect("a response");
            let _ = sender.send(line);
        });
        let line = tokio::select! {
            line = response => line.expect("received"),
            () = run(frontend, listener, 9, std::future::pending()) => unreachable!("it is not stopped"),
        };
        assert_eq!(line.trim_end(), "HTTP/1.1 504 Gateway Timeout");
    });
}
