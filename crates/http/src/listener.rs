/// An address of a server.
#[derive(Clone, Copy, Debug)]
pub struct Listener<'a> {
    /// The IP address and port.
    pub address: &'a str,
    /// Who connects.
    pub purpose: Purpose,
}

/// What an address serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Calls of clients.
    Calls,
    /// Pages for monitoring.
    Pages,
}
