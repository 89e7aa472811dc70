//! Serves an endpoint's stand-in at the address given.

use std::time::Duration;

fn main() {
    let address = std::env::args().nth(1).expect("usage: stand-in-endpoint IP:PORT");
    let _server = quincewheel_stand_in::endpoint::bind(&address).expect("listen");
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}
