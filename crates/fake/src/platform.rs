//! All stand-ins of one cell, each on a loopback port of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use store::Host;
use store::HostState;
use tokio::net::TcpListener;
use tokio::sync::watch;
use web::Handler;
use web::Limits;

use crate::FakeHosts;
use crate::FakeObjects;
use crate::FakeTable;
use crate::FakeWorker;
use crate::RunLog;
use crate::TableRates;
use crate::loopback;

/// Workers in one rack.
const RACK_WORKERS: usize = 8;

/// Shape of the platform of one cell.
#[derive(Clone, Debug)]
pub struct PlatformPlan {
    /// Number of workers.
    pub workers: usize,
    /// What each worker has.
    pub capacity: Resources,
    /// Names of the failure domains; racks are dealt to them in order.
    pub domains: Vec<String>,
    /// Rates of the table.
    pub rates: TableRates,
    /// Latency of the table.
    pub table_latency: Duration,
    /// Lag of the host list.
    pub host_lag: Duration,
}

impl Default for PlatformPlan {
    /// The stores order desk of the brief.
    fn default() -> Self {
        PlatformPlan {
            workers: 48,
            capacity: Resources {
                cpu_milli: 16_000,
                memory_mib: 65_536,
                accelerators: 1,
                slots: 8,
                power_watts: 800,
            },
            domains: ["tacoma", "spokane", "portland"]
                .map(str::to_owned)
                .to_vec(),
            rates: TableRates::default(),
            table_latency: Duration::from_millis(5),
            host_lag: Duration::from_millis(200),
        }
    }
}

/// All stand-ins of one cell.
#[derive(Debug)]
pub struct Platform {
    /// The table.
    pub table: FakeTable,
    /// Where it listens.
    pub table_address: SocketAddr,
    /// The object store.
    pub objects: FakeObjects,
    /// Where it listens.
    pub objects_address: SocketAddr,
    /// The host list.
    pub hosts: FakeHosts,
    /// Where it listens.
    pub hosts_address: SocketAddr,
    /// The workers.
    pub workers: Vec<FakeWorker>,
    /// What really ran.
    pub log: RunLog,
    /// What each worker has.
    pub capacity: Resources,
    stop: watch::Sender<bool>,
}

impl Platform {
    /// Starts all stand-ins.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(plan: &PlatformPlan) -> std::io::Result<Platform> {
        let (stop, stopped) = watch::channel(false);
        let log = RunLog::default();
        let mut workers = Vec::new();
        let mut hosts = Vec::new();
        for index in 0..plan.workers {
            let worker = FakeWorker::new(&format!("w{index:04}"), plan.capacity, log.clone());
            let address = serve(worker.clone(), &stopped).await?;
            tokio::spawn(worker.clone().enforce_lease());
            let rack = index / RACK_WORKERS;
            let racks = plan.workers.div_ceil(RACK_WORKERS);
            let domain = rack * plan.domains.len() / racks.max(1);
            hosts.push(Host {
                id: worker.id.clone(),
                address,
                domain: plan.domains[domain].clone(),
                rack: format!("rack{rack:03}"),
                state: HostState::Live,
            });
            workers.push(worker);
        }
        let table = FakeTable::new(plan.rates);
        table
            .faults
            .update(|faults| faults.latency = plan.table_latency);
        let objects = FakeObjects::default();
        let hosts = FakeHosts::new(hosts, plan.host_lag);
        Ok(Platform {
            table_address: serve(table.clone(), &stopped).await?,
            table,
            objects_address: serve(objects.clone(), &stopped).await?,
            objects,
            hosts_address: serve(hosts.clone(), &stopped).await?,
            hosts,
            workers,
            log,
            capacity: plan.capacity,
            stop,
        })
    }

    /// A worker by its name.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<&FakeWorker> {
        self.workers.iter().find(|worker| worker.id == id)
    }

    /// Sets table and object store down, or up again.
    pub fn set_outage(&self, down: bool) {
        self.table.faults.update(|faults| faults.down = down);
        self.objects.faults.update(|faults| faults.down = down);
    }

    /// Stops all stand-ins.
    pub fn close(self) {
        self.stop.send_replace(true);
    }
}

async fn serve<H: Handler>(
    handler: H,
    stop: &watch::Receiver<bool>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((loopback(), 0)).await?;
    let address = listener.local_addr()?;
    let limits = Limits {
        body_bytes: 64 * 1024 * 1024,
        ..Limits::default()
    };
    tokio::spawn(web::serve(
        listener,
        Arc::new(handler),
        limits,
        stop.clone(),
    ));
    Ok(address)
}
