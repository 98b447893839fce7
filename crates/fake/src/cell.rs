//! Harness for a whole cell: the stand-ins, the settings files, and for each
//! process a relay to the table and one in front of its peer port. Tests use it
//! to start real processes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use daemon::CellSettings;
use daemon::HttpSettings;
use daemon::LeaseSettings;
use daemon::PeerSettings;
use daemon::PlatformSettings;
use daemon::Settings;
use entry::Role;
use entry::Token;
use model::TeamShards;
use model::digest;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;
use shard::Patch;
use tempfile::TempDir;

use crate::CALLER_TOKEN;
use crate::CellClient;
use crate::OPERATOR_TOKEN;
use crate::Platform;
use crate::PlatformPlan;
use crate::Relay;
use crate::TEAM;
use crate::UdpRelay;

/// First port that [`free_address`] considers; below the ephemeral port range,
/// from which the system assigns ports to outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Number of consecutive ports that [`free_address`] considers.
const PORT_COUNT: u16 = 12_000;

/// Parameters of a cell.
#[derive(Clone, Debug)]
pub struct CellPlan {
    /// Number of entry processes.
    pub processes: usize,
    /// Number of shards.
    pub shards: u16,
    /// Lease settings of the processes.
    pub lease: LeaseSettings,
    /// Parameters of the platform.
    pub platform: PlatformPlan,
    /// Seed for the random faults of the relays.
    pub seed: u64,
}

impl Default for CellPlan {
    fn default() -> Self {
        CellPlan {
            processes: 3,
            shards: 16,
            lease: LeaseSettings::default(),
            platform: PlatformPlan::default(),
            seed: 1,
        }
    }
}

/// One entry process of a cell: a process of the scheduler that serves callers and
/// owns shards.
#[derive(Debug)]
pub struct Member {
    /// Settings of the process.
    pub settings: Settings,
    /// Relay between the process and the table.
    pub table: Relay,
    /// Relay between the other processes and the peer port of this one.
    pub peer: UdpRelay,
    file: PathBuf,
    child: Option<Child>,
}

impl Member {
    /// Address for callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.settings.http.listen
    }

    /// Id of the operating system process; `None` if it does not run.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process if it runs.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else {
            return;
        };
        if let Ok(id) = i32::try_from(child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has exited by itself; returns whether it exited
    /// with success, or `None` if it still runs after `timeout`.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Option<bool> {
        let deadline = Instant::now() + timeout;
        let child = self.child.as_mut()?;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Some(status.success());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

/// Kills the process, since a failing test does not close its cell. A process
/// that is left running joins the cell of a later test if that cell's table gets
/// the same address, and owns shards there that no process of that test can reach.
impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A cell with its stand-ins and processes.
#[derive(Debug)]
pub struct Cell {
    /// The stand-in services and workers.
    pub platform: Platform,
    /// The entry processes, whether they run or not.
    pub members: Vec<Member>,
    /// Client with the token of a caller.
    pub caller: CellClient,
    /// Client with the token of an operator.
    pub operator: CellClient,
    folder: TempDir,
    plan: CellPlan,
}

impl Cell {
    /// Starts the stand-ins and writes the settings files, but starts no entry
    /// process.
    ///
    /// # Errors
    /// A port cannot be bound or a file cannot be written.
    pub async fn open(plan: CellPlan) -> std::io::Result<Cell> {
        let folder = TempDir::new()?;
        let keys = folder.path().join("keys");
        peer::generate_keys(&keys).map_err(std::io::Error::other)?;
        let platform = Platform::open(&plan.platform).await?;
        let mut cell = Cell {
            platform,
            members: Vec::new(),
            caller: CellClient::new(CALLER_TOKEN),
            operator: CellClient::new(OPERATOR_TOKEN),
            folder,
            plan,
        };
        for _ in 0..cell.plan.processes {
            cell.add_member().await?;
        }
        Ok(cell)
    }

    /// Adds a process without starting it; returns its index.
    ///
    /// # Errors
    /// A port cannot be bound or a file cannot be written.
    pub async fn add_member(&mut self) -> std::io::Result<usize> {
        let index = self.members.len();
        let listen = free_address();
        let seed = self.plan.seed.wrapping_add(index as u64);
        let peer = UdpRelay::open(listen, seed).await?;
        let table = Relay::open(self.platform.table_address).await?;
        let settings = self.settings(index, listen, &peer, &table);
        let file = self.folder.path().join(format!("{}.yaml", settings.name));
        let text = serde_saphyr::to_string(&settings).map_err(std::io::Error::other)?;
        std::fs::write(&file, text)?;
        self.members.push(Member {
            settings,
            table,
            peer,
            file,
            child: None,
        });
        Ok(index)
    }

    fn settings(
        &self,
        index: usize,
        listen: SocketAddr,
        peer: &UdpRelay,
        table: &Relay,
    ) -> Settings {
        let domains = &self.plan.platform.domains;
        let token = |token: &str, role| Token {
            sha256: digest(token),
            role,
            team: TEAM.to_owned(),
        };
        Settings {
            name: format!("entry-{index}"),
            domain: domains[index % domains.len()].clone(),
            cell: CellSettings {
                shards: self.plan.shards,
                write_rate: self.plan.platform.rates.writes,
            },
            http: HttpSettings {
                listen: free_address(),
                connections: 4096,
                in_flight: 20_000,
                body_bytes: 1024 * 1024,
                head_bytes: 16 * 1024,
                idle_millis: 60_000,
                receive_millis: 30_000,
                memory_bytes: None,
            },
            peer: PeerSettings {
                listen,
                advertise: Some(peer.address()),
                keys: self.folder.path().join("keys"),
            },
            platform: PlatformSettings {
                table: table.address(),
                objects: self.platform.objects_address,
                hosts: self.platform.hosts_address,
                timeout_millis: 600,
            },
            lease: self.plan.lease.clone(),
            tokens: vec![
                token(CALLER_TOKEN, Role::Caller),
                token(OPERATOR_TOKEN, Role::Operator),
            ],
        }
    }

    /// Starts a process as `program arguments --settings FILE`. Its standard
    /// error is appended to a log file.
    ///
    /// # Errors
    /// The log file cannot be opened or the program cannot be started.
    pub fn start(
        &mut self,
        index: usize,
        program: &Path,
        arguments: &[&str],
    ) -> std::io::Result<()> {
        let member = &mut self.members[index];
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(member.file.with_extension("log"))?;
        let child = Command::new(program)
            .args(arguments)
            .arg("--settings")
            .arg(&member.file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        member.child = Some(child);
        Ok(())
    }

    /// Address of a process for callers.
    #[must_use]
    pub fn http(&self, index: usize) -> SocketAddr {
        self.members[index].http()
    }

    /// Reads the log of a process so far.
    #[must_use]
    pub fn log(&self, index: usize) -> String {
        let file = self.members[index].file.with_extension("log");
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Creates version 1 of the configuration, with quotas and power limits that
    /// no test reaches.
    ///
    /// # Errors
    /// The patch was refused or no complete reply arrived.
    pub async fn configure(&self) -> Result<(), String> {
        let unlimited = json!({
            "cpu_milli": 100_000_000, "memory_mib": 100_000_000, "accelerators": 100_000,
            "slots": 100_000, "power_watts": 100_000_000,
        });
        let teams = json!({ TEAM: { "quota": unlimited, "queue": 100_000 } });
        let patch = Patch {
            id: "first".to_owned(),
            version: 0,
            patch: json!({
                "site_watts": 100_000_000, "rack_watts": 100_000_000, "teams": teams,
            }),
        };
        let reply = self.operator.patch(self.http(0), &patch).await;
        let reply = reply.map_err(|error| error.to_string())?;
        if reply.status.is_success() {
            return Ok(());
        }
        Err(reply.text())
    }

    /// Waits until each shard has an owner that serves it and has workers: for each
    /// shard, a short request must succeed through each running process.
    ///
    /// # Errors
    /// A shard was not ready within `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), String> {
        let running = self.members.iter().filter(|member| member.child.is_some());
        self.wait_ready_through(running, timeout).await
    }

    /// Like [`Cell::wait_ready`], but sends the requests to the given processes.
    ///
    /// # Errors
    /// A shard was not ready within `timeout`.
    pub async fn wait_ready_through(
        &self,
        members: impl IntoIterator<Item = &Member>,
        timeout: Duration,
    ) -> Result<(), String> {
        let deadline = Instant::now() + timeout;
        for member in members {
            for shard in 0..self.plan.shards {
                self.wait_shard(member.http(), shard, deadline).await?;
            }
        }
        Ok(())
    }

    async fn wait_shard(
        &self,
        http: SocketAddr,
        shard: u16,
        deadline: Instant,
    ) -> Result<(), String> {
        for try_number in 0u32.. {
            let id = id_in_shard(
                &format!("probe-{try_number}-{}", http.port()),
                shard,
                self.plan.shards,
            );
            let answer = self
                .caller
                .submit(http, &crate::lookup_request(&id), Duration::from_secs(3))
                .await;
            // 100 is the number of `model::Code::Ok`, the code of a succeeded request.
            if matches!(&answer, Ok(body) if body.number == 100) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!(
                    "shard {shard} not ready: last answer through {http} was {answer:?}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Kills all processes and stops the stand-in services and workers.
    pub fn close(mut self) {
        for member in &mut self.members {
            member.kill();
        }
        self.platform.close();
    }
}

/// Finds a request id that starts with `prefix` and belongs to `shard`.
#[must_use]
pub fn id_in_shard(prefix: &str, shard: u16, shards: u16) -> String {
    let ids = (0u32..).map(|number| format!("{prefix}-{number}"));
    let mut matching = ids.filter(|id| {
        let key = model::request_key(TEAM, id);
        // The requests of the team are spread over all shards.
        TeamShards::new(TEAM, shards, shards).home(&key) == shard
    });
    matching.next().unwrap_or_default()
}

/// Returns a loopback address whose port is free for both TCP and UDP, or port 0
/// if no port is free.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let process = u16::try_from(std::process::id() % u32::from(PORT_COUNT)).unwrap_or_default();
    for _ in 0..PORT_COUNT {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        // Different test processes begin at different ports of the range, so that
        // they rarely choose the same port at the same time.
        let port = FIRST_PORT + (process.wrapping_mul(97).wrapping_add(offset) % PORT_COUNT);
        let address = SocketAddr::from((loopback(), port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    SocketAddr::from((loopback(), 0))
}

/// Returns a loopback IP address derived from the id of this test process. A
/// killed test process leaves its entry processes running. They keep calling
/// their table at this IP address, which a later test process does not use, so
/// they do not reach its table even if that gets the same port.
#[must_use]
pub fn loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), middle, low)
}
