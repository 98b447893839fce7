//! A signal that arrives while a process starts.

use std::io::BufRead;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use site::Caller;
use site::LoopbackHost;
use tempfile::TempDir;

/// Address on which nothing listens, used for the store: a process serves its metrics even if
/// it cannot reach the store.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn kill_and_wait(mut child: Child) {
    child.kill().expect("kill");
    child.wait().expect("wait");
}

/// Guards against a process that ends right after its start, because SIGHUP for changed settings
/// arrives before the handler of this signal is installed: the default action of the signal ends
/// the process (seed 5 of the soak). The handlers must be installed before the first log line
/// (code 105) is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_survives_sighup_while_it_starts() {
    let host = LoopbackHost::new(250, 0);
    let folder = TempDir::new().expect("folder");
    let path = folder.path().join("settings");
    std::fs::write(&path, host.settings(UNUSED_ADDRESS, None)).expect("settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_clovermountd"))
        .arg("--cell")
        .env("CLOVERMOUNT_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let mut lines = BufReader::new(child.stdout.take().expect("stdout")).lines();
    let first_line = lines
        .next()
        .expect("a first line")
        .expect("readable output");
    assert!(first_line.contains("\"code\":105"), "{first_line}");
    let id = i32::try_from(child.id()).expect("id");
    kill(Pid::from_raw(id), Signal::SIGHUP).expect("signal");

    let caller = Caller::new();
    let serving = caller.wait_status(host.metrics(), "/metrics", 200);

    let served = tokio::time::timeout(Duration::from_secs(20), serving).await;
    kill_and_wait(child);
    assert!(served.is_ok(), "the process has ended");
}
