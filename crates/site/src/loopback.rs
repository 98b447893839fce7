//! Hosts on loopback, and the settings of a process on one of them.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde_json::json;

/// Ports on the address of each host.
const CALLER_PORT: u16 = 7001;
const READY_PORT: u16 = 7002;
const PEER_PORT: u16 = 7003;
const METRICS_PORT: u16 = 7004;

/// A host with a loopback address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackHost {
    index: u8,
    ip: Ipv4Addr,
}

impl LoopbackHost {
    /// Host `at` of a cell, whose number `net` tells it apart from the other
    /// cells of one test program. Other programs have other addresses, so they
    /// may run at the same time.
    ///
    /// # Panics
    /// A cell has fewer hosts than 255.
    #[must_use]
    pub fn new(net: u8, index: usize) -> LoopbackHost {
        let program = u8::try_from(std::process::id() % 200).expect("below 200") + 20;
        let index = u8::try_from(index).expect("few hosts");
        LoopbackHost {
            index,
            ip: Ipv4Addr::new(127, program, net, index + 1),
        }
    }

    /// Its address.
    #[must_use]
    pub fn ip(self) -> IpAddr {
        self.ip.into()
    }

    /// Where callers reach its process.
    #[must_use]
    pub fn callers(self) -> SocketAddr {
        self.listen(CALLER_PORT)
    }

    /// Where its process tells whether it is ready.
    #[must_use]
    pub fn ready(self) -> SocketAddr {
        self.listen(READY_PORT)
    }

    /// Where its process serves its metrics.
    #[must_use]
    pub fn metrics(self) -> SocketAddr {
        self.listen(METRICS_PORT)
    }

    fn listen(self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(), port)
    }

    /// Text of the settings of its process. `services` has advice and machines;
    /// there may be none.
    #[must_use]
    pub fn settings(self, store: SocketAddr, services: Option<SocketAddr>) -> String {
        let services = services.map_or(String::new(), |address| address.to_string());
        // JSON is YAML.
        let settings = json!({
            "node": format!("entry-{}", self.index), "zone": "z1", "ip": self.ip,
            "listen": {
                "callers": self.callers(), "ready": self.ready(), "metrics": self.metrics(),
            },
            "peers": {"first_port": PEER_PORT}, "cores": 1.0, "store": store,
            "advice": services, "machines": services,
            "bounds": {"lease_ms": 6000, "keep_s": 120.0, "grace_s": 6.0},
        });
        settings.to_string()
    }
}
