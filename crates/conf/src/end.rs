use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process is told to end, by SIGTERM or SIGINT.
///
/// SIGHUP announces changed settings. It must not end the process, which is
/// what it does by default; `reload` is called instead.
pub async fn ending(reload: impl Fn()) -> io::Result<()> {
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
