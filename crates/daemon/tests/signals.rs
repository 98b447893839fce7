//! Signals that reach a process while it starts.

use std::io::BufRead;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;
use site::Caller;
use tempfile::TempDir;

/// Ports on the loopback address of the process.
const CALLER_PORT: u16 = 7001;
const READY_PORT: u16 = 7002;
const PEER_PORT: u16 = 7003;
const METRICS_PORT: u16 = 7004;

/// Nobody answers there: the process serves its metrics all the same.
const NOBODY: &str = "127.0.0.1:1";

fn settings(ip: Ipv4Addr) -> String {
    let listen = |port| SocketAddr::new(ip.into(), port);
    let settings = json!({
        "node": "entry-0", "zone": "z1", "ip": ip,
        "listen": {
            "callers": listen(CALLER_PORT), "ready": listen(READY_PORT),
            "metrics": listen(METRICS_PORT),
        },
        "peers": {"first_port": PEER_PORT}, "cores": 1.0, "store": NOBODY,
        "bounds": {"lease_ms": 6000, "keep_s": 120.0, "grace_s": 6.0},
    });
    settings.to_string()
}

fn end(mut child: Child) {
    child.kill().expect("kill");
    child.wait().expect("wait");
}

/// Symptom: a process ended by itself right after its start (seed 5 of the
/// soak). Sequence: it starts; it is told that its settings have changed before
/// it serves. Cause: the handler was installed last, and the signal's default
/// ends a process. Now the first line says that signals are heeded.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_told_of_new_settings_while_it_starts_goes_on() {
    // Another run of this test may be under way on the same machine.
    let net = u8::try_from(std::process::id() % 200).expect("below 200") + 20;
    let ip = Ipv4Addr::new(127, net, 250, 1);
    let folder = TempDir::new().expect("folder");
    let path = folder.path().join("settings");
    std::fs::write(&path, settings(ip)).expect("settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_clovermountd"))
        .arg("--cell")
        .env("CLOVERMOUNT_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let first = lines.next().expect("a line").expect("readable");
    assert!(first.contains("\"code\":105"), "{first}");
    let id = i32::try_from(child.id()).expect("id");
    kill(Pid::from_raw(id), Signal::SIGHUP).expect("signal");

    let caller = Caller::new();
    let metrics = SocketAddr::new(ip.into(), METRICS_PORT);
    let serving = caller.wait_status(metrics, "/metrics", 200);

    let served = tokio::time::timeout(Duration::from_secs(20), serving).await;
    end(child);
    assert!(served.is_ok(), "the process has ended");
}
