//! Processes of the cell, started with the command of the deploy file and its settings template.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// Port of the metrics in `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;

/// Ports on the address of each process.
const CALLERS_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const PEER_PORT: u16 = 7720;

/// Time for a reply of a process to the platform.
const CHECK_TIMEOUT: Duration = Duration::from_millis(900);

/// A process of the cell, which can be killed and started again.
pub struct Process {
    pub name: String,
    ip: IpAddr,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// Returns the first of a row of loopback addresses on which all ports of a process are free.
fn free_addresses(count: u8) -> Ipv4Addr {
    let ports = [METRICS_PORT, CALLERS_PORT, READY_PORT, PEER_PORT];
    let seed = std::process::id();
    for step in 0..10_000 {
        let [_, _, second, third] = seed
            .wrapping_add(step)
            .wrapping_mul(2_654_435_761)
            .to_be_bytes();
        let first = Ipv4Addr::new(127, 1 + second % 250, third, 1);
        let all_free = (0..count).all(|at| {
            let [a, b, c, d] = first.octets();
            let ip = Ipv4Addr::new(a, b, c, d + at);
            ports
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if all_free {
            return first;
        }
    }
    Ipv4Addr::LOCALHOST
}

/// Starts `count` processes. Each has an address of its own.
pub fn start_cell(
    count: u8,
    (store, machines): (SocketAddr, SocketAddr),
    folder: &std::path::Path,
    record: &Record,
) -> std::io::Result<Vec<Process>> {
    let [a, b, c, d] = free_addresses(count).octets();
    let mut processes = Vec::new();
    for at in 0..count {
        let mut process = Process {
            name: format!("front-hall-{}", at + 1),
            ip: IpAddr::V4(Ipv4Addr::new(a, b, c, d + at)),
            folder: folder.to_owned(),
            child: None,
            record: record.clone(),
        };
        fs::write(process.settings_path(), process.settings(store, machines)?)?;
        process.start()?;
        processes.push(process);
    }
    Ok(processes)
}

impl Process {
    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.name))
    }

    /// Fills in the template of the deploy file with the figures of DEPLOY.md.
    fn settings(&self, store: SocketAddr, machines: SocketAddr) -> std::io::Result<String> {
        let ip = self.ip.to_string();
        let fields = [
            ("node_name", self.name.clone()),
            ("zone", "hall".to_owned()),
            ("ip", ip.clone()),
            ("listen.front", format!("{ip}:{CALLERS_PORT}")),
            ("listen.ready", format!("{ip}:{READY_PORT}")),
            ("port_range.0", PEER_PORT.to_string()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("platform.address", store.to_string()),
            ("advice", String::new()),
            ("cloud.address", machines.to_string()),
            ("bounds.hold_max_ms", "6000".to_owned()),
            ("bounds.status_s", "120".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.max_stretch_ms", "5000".to_owned()),
            ("bounds.quota_overshoot", String::new()),
        ];
        let mut settings = fs::read_to_string("deploy/settings.yaml")?;
        for (name, value) in fields {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        Ok(settings)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::File::options().create(true).append(true).open(log)?;
        let kept = ["PATH", "HOME", "LANG"];
        let kept = kept
            .iter()
            .filter_map(|name| Some((*name, std::env::var(name).ok()?)));
        let child = Command::new("target/release/clovermountd")
            .arg("--cell")
            .env_clear()
            .envs(kept)
            .env("CLOVERMOUNT_BOOT", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("platform: {} started", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("platform: {} killed", self.name));
        }
    }

    /// Whether the process says that it is ready.
    pub fn ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let reply = http::call(address, ("GET", "platform", "/-/readyz"), "", CHECK_TIMEOUT);
        reply.is_ok_and(|(status, _)| status == 200)
    }

    /// Whether the process gives the orders to the workers, by its metrics.
    pub fn leads(&self) -> bool {
        let address = SocketAddr::new(self.ip, METRICS_PORT);
        let Ok((_, metrics)) =
            http::call(address, ("GET", "platform", "/metrics"), "", CHECK_TIMEOUT)
        else {
            return false;
        };
        let lines = metrics
            .lines()
            .filter(|line| line.starts_with("clovermount_epoch "));
        let mut values = lines.filter_map(|line| line.split(' ').nth(1)?.parse::<f64>().ok());
        values.any(|epoch| epoch > 0.0)
    }

    /// Sends a call of a client and records it.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, Json)> {
        let address = SocketAddr::new(self.ip, CALLERS_PORT);
        let reply = http::call(address, (method, "desk.example", path), body, timeout);
        match reply {
            Ok((status, reply)) => {
                self.record.line(format!(
                    "client: {method} {path} {body} at {} -> {status} {reply}",
                    self.name
                ));
                Some((status, Json::parse(&reply).unwrap_or(Json::Null)))
            }
            Err(error) => {
                self.record.line(format!(
                    "client: {method} {path} {body} at {} -> {error}",
                    self.name
                ));
                None
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
