//! A whole cell: the stand-ins, relays in front of each process, and the
//! settings of the processes. Tests start real processes with it.

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

/// First port that is tried; below the range that the system gives to
/// outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Number of ports that are tried.
const PORTS: u16 = 12_000;

/// Shape of a cell.
#[derive(Clone, Debug)]
pub struct CellPlan {
    /// Number of processes.
    pub processes: usize,
    /// Number of shards.
    pub shards: u16,
    /// Time limits of ownership.
    pub lease: LeaseSettings,
    /// The platform.
    pub platform: PlatformPlan,
    /// Seed of the relays.
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

/// One process of a cell.
#[derive(Debug)]
pub struct Member {
    /// Its settings.
    pub settings: Settings,
    /// Relay between it and the table.
    pub table: Relay,
    /// Relay between the other processes and it.
    pub peer: UdpRelay,
    file: PathBuf,
    child: Option<Child>,
}

impl Member {
    /// Where callers reach it.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.settings.http.listen
    }

    /// Number of its process while it runs.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to it.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else {
            return;
        };
        if let Ok(id) = i32::try_from(child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until it has ended by itself; whether it ended with success.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Option<bool> {
        let until = Instant::now() + timeout;
        let child = self.child.as_mut()?;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Some(status.success());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

/// A test that fails does not get to close its cell, and its processes would
/// run on: one such joined the cell of a later test, whose table had the port of
/// its own, and owned shards there that nobody could reach.
impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A whole cell.
#[derive(Debug)]
pub struct Cell {
    /// The stand-ins.
    pub platform: Platform,
    /// The processes.
    pub members: Vec<Member>,
    /// Client of a caller.
    pub caller: CellClient,
    /// Client of an operator.
    pub operator: CellClient,
    folder: TempDir,
    plan: CellPlan,
}

impl Cell {
    /// Starts the stand-ins and writes the settings; no process runs yet.
    ///
    /// # Errors
    /// A port cannot be bound or a file cannot be written.
    pub async fn open(plan: CellPlan) -> std::io::Result<Cell> {
        let folder = TempDir::new()?;
        let keys = folder.path().join("keys");
        peer::make_keys(&keys).map_err(std::io::Error::other)?;
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

    /// Adds a process that does not run yet; returns its index.
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

    /// Starts a process from the given program; its arguments come before
    /// `--settings FILE`.
    ///
    /// # Errors
    /// It cannot be started.
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

    /// Where callers reach a process.
    #[must_use]
    pub fn http(&self, index: usize) -> SocketAddr {
        self.members[index].http()
    }

    /// Log of a process so far.
    #[must_use]
    pub fn log(&self, index: usize) -> String {
        let file = self.members[index].file.with_extension("log");
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Makes version 1 of the configuration, with room for everything.
    ///
    /// # Errors
    /// The patch was refused, or no answer came.
    pub async fn configure(&self) -> Result<(), String> {
        let most = json!({
            "cpu_milli": 100_000_000, "memory_mib": 100_000_000, "accelerators": 100_000,
            "slots": 100_000, "power_watts": 100_000_000,
        });
        let teams = json!({ TEAM: { "quota": most, "queue": 100_000 } });
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

    /// Waits until each shard has a live owner, that serves it, with workers:
    /// a lookup of each shard is answered through each running process.
    ///
    /// # Errors
    /// It took longer than `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), String> {
        let running = self.members.iter().filter(|member| member.child.is_some());
        self.wait_ready_through(running, timeout).await
    }

    /// The same, asking through the given processes.
    ///
    /// # Errors
    /// It took longer than `timeout`.
    pub async fn wait_ready_through(
        &self,
        members: impl IntoIterator<Item = &Member>,
        timeout: Duration,
    ) -> Result<(), String> {
        let until = Instant::now() + timeout;
        for member in members {
            for shard in 0..self.plan.shards {
                self.wait_shard(member.http(), shard, until).await?;
            }
        }
        Ok(())
    }

    async fn wait_shard(&self, http: SocketAddr, shard: u16, until: Instant) -> Result<(), String> {
        for round in 0u32.. {
            let id = id_in_shard(
                &format!("probe-{round}-{}", http.port()),
                shard,
                self.plan.shards,
            );
            let answer = self
                .caller
                .submit(http, &crate::lookup_request(&id), Duration::from_secs(3))
                .await;
            if matches!(&answer, Ok(body) if body.number == 100) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("shard {shard} through {http}: {answer:?}"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Kills all processes and stops the stand-ins.
    pub fn close(mut self) {
        for member in &mut self.members {
            member.kill();
        }
        self.platform.close();
    }
}

/// An id that begins with `prefix` and belongs to `shard`.
#[must_use]
pub fn id_in_shard(prefix: &str, shard: u16, shards: u16) -> String {
    let ids = (0u32..).map(|number| format!("{prefix}-{number}"));
    let mut fitting = ids.filter(|id| {
        let key = model::request_key(TEAM, id);
        TeamShards::new(TEAM, shards, shards).home(&key) == shard
    });
    fitting.next().unwrap_or_default()
}

/// A loopback address whose port is free for TCP and UDP.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process = u16::try_from(std::process::id() % u32::from(PORTS)).unwrap_or_default();
    for _ in 0..PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        // Spread the processes of a test run over the range.
        let port = FIRST_PORT + (process.wrapping_mul(97).wrapping_add(step) % PORTS);
        let address = SocketAddr::from((loopback(), port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    SocketAddr::from((loopback(), 0))
}

/// Loopback address of this test's process, from its id. A test that is killed
/// cannot end its processes; they look for their table at its address, where no
/// later test has one, though ports are used again.
#[must_use]
pub fn loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), middle, low)
}
