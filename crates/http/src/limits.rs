/// What the clients of a process may use of its machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of connections for calls.
    pub calls: usize,
    /// Maximum number of connections to each address that serves pages only.
    pub pages: usize,
    /// Maximum number of bytes of bodies that exceed the allowance of their connections.
    pub body_bytes: usize,
}

/// Bytes of a body that its connection may always hold. Ordinary calls need no more, so that large
/// bodies cannot keep them out.
pub const BODY_ALLOWANCE: usize = 16 << 10;
/// Bytes that the kernel may hold of a connection that is not read.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Bytes that a connection takes at most: the kernel's buffer, which doubles what is set, the
/// buffers of the HTTP library, requests in a row, and the allowance for a body.
const CONNECTION_BYTES: usize = 96 << 10;
/// Parts of the machine's memory that connections and large bodies may take, in eighths. The rest
/// is the process's own.
const CONNECTION_EIGHTHS: usize = 3;
const BODY_EIGHTHS: usize = 2;
/// Descriptors that a machine keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the sockets that connections for calls may take; the process's own connections need the
/// others.
const CALL_SHARE: usize = 2;
/// Connections for calls per connection for pages.
const PAGE_SHARE: usize = 16;
/// Bounds of the number of connections for pages: monitoring opens one or two.
const PAGE_CONNECTIONS: (usize, usize) = (8, 64);
/// Fewest connections for calls, on the smallest machine.
const MIN_CALLS: usize = 16;

impl Limits {
    /// Returns the limits for a process that its machine gives this memory and this number of
    /// descriptors.
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Limits {
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let fitting = memory_bytes / 8 * CONNECTION_EIGHTHS / CONNECTION_BYTES;
        let calls = fitting.min(sockets / CALL_SHARE).max(MIN_CALLS);
        let (least, most) = PAGE_CONNECTIONS;
        Limits {
            calls,
            pages: (calls / PAGE_SHARE).clamp(least, most),
            body_bytes: memory_bytes / 8 * BODY_EIGHTHS,
        }
    }
}
