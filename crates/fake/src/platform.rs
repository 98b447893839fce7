//! All stand-in services and workers of one cell, each on its own loopback port.

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

/// Number of workers per rack.
const WORKERS_PER_RACK: usize = 8;

/// Parameters of the platform of one cell.
#[derive(Clone, Debug)]
pub struct PlatformPlan {
    /// Number of workers.
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Names of the failure domains; each contains a contiguous range of the racks.
    pub domains: Vec<String>,
    /// Rate limits of the table.
    pub rates: TableRates,
    /// Delay before each call to the table takes effect.
    pub table_latency: Duration,
    /// Delay until a change of the host list becomes visible.
    pub host_lag: Duration,
}

impl Default for PlatformPlan {
    /// Platform of the example site, which handles the orders of stores: 48 workers in
    /// 3 failure domains.
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

/// All stand-in services and workers of one cell.
#[derive(Debug)]
pub struct Platform {
    /// The transactional table.
    pub table: FakeTable,
    /// Address of the table.
    pub table_address: SocketAddr,
    /// The object store.
    pub objects: FakeObjects,
    /// Address of the object store.
    pub objects_address: SocketAddr,
    /// The host list.
    pub hosts: FakeHosts,
    /// Address of the host list.
    pub hosts_address: SocketAddr,
    /// The workers, ordered by id.
    pub workers: Vec<FakeWorker>,
    /// Run log of all workers.
    pub log: RunLog,
    /// Capacity of each worker.
    pub capacity: Resources,
    stop: watch::Sender<bool>,
}

impl Platform {
    /// Starts all stand-in services and workers.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(plan: &PlatformPlan) -> std::io::Result<Platform> {
        let (stop, stop_receiver) = watch::channel(false);
        let log = RunLog::default();
        let mut workers = Vec::new();
        let mut hosts = Vec::new();
        for index in 0..plan.workers {
            let worker = FakeWorker::new(&format!("w{index:04}"), plan.capacity, log.clone());
            let address = serve(worker.clone(), &stop_receiver).await?;
            tokio::spawn(worker.clone().enforce_lease());
            let rack = index / WORKERS_PER_RACK;
            let racks = plan.workers.div_ceil(WORKERS_PER_RACK);
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
            table_address: serve(table.clone(), &stop_receiver).await?,
            table,
            objects_address: serve(objects.clone(), &stop_receiver).await?,
            objects,
            hosts_address: serve(hosts.clone(), &stop_receiver).await?,
            hosts,
            workers,
            log,
            capacity: plan.capacity,
            stop,
        })
    }

    /// Finds a worker by its id.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<&FakeWorker> {
        self.workers.iter().find(|worker| worker.id == id)
    }

    /// Makes the table and the object store refuse all calls, or accept them again.
    pub fn set_outage(&self, down: bool) {
        self.table.faults.update(|faults| faults.down = down);
        self.objects.faults.update(|faults| faults.down = down);
    }

    /// Stops all stand-in services and workers.
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
