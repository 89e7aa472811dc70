/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// The client sends a request.
    Receiving,
    /// The server works on the reply.
    Serving,
    /// The client takes the reply.
    Replying,
}
