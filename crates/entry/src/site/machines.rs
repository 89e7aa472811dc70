//! Performs the owner's calls about machines: to the platform, and to the table for a wave's
//! status.

use std::rc::Rc;
use std::time::Duration;

use quincewheel_platform::{MachineService, wave_status_row};

use super::ownership::tick;
use super::state::{Shared, Site};

/// Time limit for a call. The platform may be slow, and a call that timed out may have been
/// carried out; the owner repeats it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay after which a status row is written again if the table did not confirm it.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A call that the owner requests.
#[derive(Clone, Debug)]
pub(crate) enum MachineCall {
    /// Lists all machines.
    List,
    /// Takes a machine down.
    TakeDown { wave: u64, machine: String },
    /// Writes the status of a wave for operators.
    WriteStatus { number: u64, done: bool },
}

/// Performs the requested calls concurrently, so that one that hangs does not delay the others.
pub(crate) async fn run(shared: Shared) {
    let machines = shared.settings.machines_address.as_deref().unwrap_or_default();
    let machines = Rc::new(MachineService::new(machines, Rc::clone(&shared.on_skipped)));
    loop {
        let calls = std::mem::take(&mut *shared.machine_calls.borrow_mut());
        for call in calls {
            let (shared, machines) = (Rc::clone(&shared), Rc::clone(&machines));
            actix_rt::spawn(async move {
                execute(&shared, &machines, call).await;
                tick(&shared);
            });
        }
        shared.machine_call_added.notified().await;
    }
}

async fn execute(shared: &Site, machines: &MachineService, call: MachineCall) {
    match call {
        MachineCall::List => list(shared, machines).await,
        MachineCall::TakeDown { wave, machine } => {
            take_down(shared, machines, wave, &machine).await
        }
        MachineCall::WriteStatus { number, done } => write_status(shared, number, done).await,
    }
}

async fn list(shared: &Site, machines: &MachineService) {
    let sent_at = quincewheel_clock::boot();
    match machines.list(CALL_TIMEOUT).await {
        Ok(listed) => {
            if let Some(owner) = shared.owner.borrow_mut().as_mut() {
                let times = (sent_at, quincewheel_clock::boot());
                owner.on_machines(listed.machines, listed.complete, listed.page_count, times);
            }
        }
        Err(error) => log::warn!(event = "machines"; "{error}"),
    }
}

async fn take_down(shared: &Site, machines: &MachineService, wave: u64, machine: &str) {
    let Some(epoch) = shared.owner.borrow().as_ref().map(|owner| owner.epoch()) else { return };
    let holder = shared.settings.name.as_str();
    let result = machines.take_down((machine, wave), (holder, epoch), CALL_TIMEOUT).await;
    let now = quincewheel_clock::boot();
    let mut owner = shared.owner.borrow_mut();
    if let Some(owner) = owner.as_mut().filter(|owner| owner.epoch() == epoch) {
        owner.on_take_down(wave, machine, result, now);
    }
}

/// Writes a wave's status until the table confirms it or this entry no longer owns; the next owner
/// writes the status again.
async fn write_status(shared: &Site, number: u64, done: bool) {
    let (key, value) = wave_status_row(number, done);
    while shared.owner.borrow().is_some() {
        match shared.table.write_status(&key, &value, CALL_TIMEOUT).await {
            Ok(()) => return,
            Err(error) => log::warn!(event = "wave status"; "{error}"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
