//! Hosts with loopback addresses, and the settings of their processes.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde_json::json;

/// Port for callers, the same on each host.
const CALLER_PORT: u16 = 7001;

/// Port for readiness checks.
const READY_PORT: u16 = 7002;

/// First port for the other processes of the cell.
const PEER_PORT: u16 = 7003;

/// Port for metrics.
const METRICS_PORT: u16 = 7004;

/// A host with a loopback address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackHost {
    index: u8,
    ip: Ipv4Addr,
}

impl LoopbackHost {
    /// Returns host `index` of a cell. `cell_number` is unique among the cells of a test program.
    /// The address also depends on the process id of the test program, so that several test
    /// programs can run at the same time.
    ///
    /// # Panics
    /// Panics if `index` is 255 or more.
    #[must_use]
    pub fn new(cell_number: u8, index: usize) -> LoopbackHost {
        let program = u8::try_from(std::process::id() % 200).expect("below 200") + 20;
        let index = u8::try_from(index).expect("index below 256");
        LoopbackHost {
            index,
            ip: Ipv4Addr::new(127, program, cell_number, index + 1),
        }
    }

    /// Returns the IP address of the host.
    #[must_use]
    pub fn ip(self) -> IpAddr {
        self.ip.into()
    }

    /// Returns the address at which the process serves callers.
    #[must_use]
    pub fn callers(self) -> SocketAddr {
        self.listen(CALLER_PORT)
    }

    /// Returns the address at which the process serves its readiness.
    #[must_use]
    pub fn ready(self) -> SocketAddr {
        self.listen(READY_PORT)
    }

    /// Returns the address at which the process serves its metrics.
    #[must_use]
    pub fn metrics(self) -> SocketAddr {
        self.listen(METRICS_PORT)
    }

    fn listen(self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(), port)
    }

    /// Returns the settings of the process as YAML. `store` is the address of the store,
    /// `services` that of the advice and of the list of machines, if there are such services.
    #[must_use]
    pub fn settings(self, store: SocketAddr, services: Option<SocketAddr>) -> String {
        let services = services.map_or(String::new(), |address| address.to_string());
        // JSON is valid YAML.
        let settings = json!({
            "node": format!("entry-{}", self.index), "zone": "z1", "ip": self.ip,
            "listen": {
                "callers": self.callers(), "ready": self.ready(), "metrics": self.metrics(),
            },
            "peers": {"first_port": PEER_PORT}, "cores": 1.0, "store": store,
            "advice": services, "machines": services,
            "bounds": {
                "lease_ms": 6000, "keep_s": 120.0, "grace_s": 6.0,
                "drain_ms": crate::DRAIN_BOUND.as_millis(),
            },
        });
        settings.to_string()
    }
}
