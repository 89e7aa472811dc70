//! Serves the platform's stand-in at the address given.

use std::time::Duration;

fn main() {
    let address = std::env::args().nth(1).expect("usage: stand-in-platform IP:PORT");
    let _server = quincewheel_stand_in::platform::bind(&address).expect("listen");
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}
