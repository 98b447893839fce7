//! Unix signals by which the platform stops a process or makes it reload its settings.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Handlers of SIGTERM, SIGINT and SIGHUP.
///
/// Until [`Signals::install`], the default action of these signals applies, which ends the
/// process. A SIGHUP for changed settings may arrive while the process starts, so the handlers
/// must be installed before anything else is done.
#[derive(Debug)]
pub struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a Tokio runtime.
    ///
    /// # Errors
    /// The operating system refuses to install a handler.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal and returns the action that it requests.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }

    /// Waits for SIGTERM or SIGINT and ignores SIGHUP.
    pub async fn wait_for_stop(&mut self) {
        while self.next().await != SignalAction::Stop {}
    }
}

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Finish the requests in progress and exit (SIGTERM, SIGINT).
    Stop,
    /// Reload the settings file (SIGHUP).
    Reload,
}
