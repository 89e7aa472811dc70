//! Carries the owner's wishes about machines to the platform.

use std::rc::Rc;
use std::time::Duration;

use quincewheel_platform::{MachineService, wave_status_row};

use super::own::step;
use super::state::{Shared, Site};

/// A call is given up after this time. The platform may be slow; what was sent
/// may have been carried out, and is asked for again.
const TIMEOUT: Duration = Duration::from_millis(1200);
/// A status row is written again after this time until the table has it.
const PAUSE: Duration = Duration::from_millis(500);

/// A wish of the owner.
#[derive(Clone, Debug)]
pub(crate) enum Wish {
    /// List all machines.
    List,
    /// Take a machine down.
    Take { wave: u64, machine: String },
    /// Tell operators how a wave goes.
    Tell { number: u64, done: bool },
}

/// Carries wishes out for ever, each on its own: a call that hangs must not
/// hold up the others.
pub(crate) async fn run(shared: Shared) {
    let machines = shared.settings.machines_address.as_deref().unwrap_or_default();
    let machines = Rc::new(MachineService::new(machines, Rc::clone(&shared.skip)));
    loop {
        let wishes = std::mem::take(&mut *shared.wishes.borrow_mut());
        for wish in wishes {
            let (shared, machines) = (Rc::clone(&shared), Rc::clone(&machines));
            actix_rt::spawn(async move {
                carry_out(&shared, &machines, wish).await;
                step(&shared);
            });
        }
        shared.wished.notified().await;
    }
}

async fn carry_out(shared: &Site, machines: &MachineService, wish: Wish) {
    match wish {
        Wish::List => list(shared, machines).await,
        Wish::Take { wave, machine } => take(shared, machines, wave, &machine).await,
        Wish::Tell { number, done } => tell(shared, number, done).await,
    }
}

async fn list(shared: &Site, machines: &MachineService) {
    let sent = quincewheel_clock::boot();
    match machines.list(TIMEOUT).await {
        Ok(listed) => {
            if let Some(owner) = shared.owner.borrow_mut().as_mut() {
                owner.on_machines(listed.machines, listed.complete, listed.page_count, sent);
            }
        }
        Err(error) => log::warn!(event = "machines"; "{error}"),
    }
}

async fn take(shared: &Site, machines: &MachineService, wave: u64, machine: &str) {
    let Some(epoch) = shared.owner.borrow().as_ref().map(|owner| owner.epoch()) else { return };
    let holder = shared.settings.name.as_str();
    let taken = machines.take_down((machine, wave), (holder, epoch), TIMEOUT).await;
    let now = quincewheel_clock::boot();
    let mut owner = shared.owner.borrow_mut();
    if let Some(owner) = owner.as_mut().filter(|owner| owner.epoch() == epoch) {
        owner.on_take_down(wave, machine, taken, now);
    }
}

/// Writes a wave's status. Only while this entry owns: another owner tells it
/// by itself.
async fn tell(shared: &Site, number: u64, done: bool) {
    let (key, value) = wave_status_row(number, done);
    while shared.owner.borrow().is_some() {
        match shared.table.write_status(&key, &value, TIMEOUT).await {
            Ok(()) => return,
            Err(error) => log::warn!(event = "wave status"; "{error}"),
        }
        tokio::time::sleep(PAUSE).await;
    }
}
