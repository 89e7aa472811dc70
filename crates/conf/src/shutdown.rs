use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT, on which the process is to shut down.
///
/// SIGHUP calls `reload`, as it announces changed settings. Without a handler, it
/// would terminate the process.
pub async fn wait_for_shutdown(reload: impl Fn()) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => reload(),
        }
    }
}
