use crate::common::{MAX_FDS, MEMORY_MB};
use crate::resolver::Resolver;

/// What the machine gives a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of file descriptors.
    pub max_fds: u64,
}

/// Bounds of the settings.
const MEMORY_MB_RANGE: (u64, u64) = (32, 1 << 20);
const MAX_FDS_RANGE: (u64, u64) = (256, 1 << 20);

impl Machine {
    /// Reads the settings of the process itself.
    pub fn resolve(resolver: &mut Resolver<'_>) -> Machine {
        Machine {
            memory_mb: resolver.number(&MEMORY_MB, MEMORY_MB_RANGE.0, MEMORY_MB_RANGE.1),
            max_fds: resolver.number(&MAX_FDS, MAX_FDS_RANGE.0, MAX_FDS_RANGE.1),
        }
    }

    /// Replaces the values by those of the platform, of which 0 stands for none.
    pub fn overridden(self, memory_mb: u64, max_fds: u64) -> Machine {
        let chosen = |given: u64, own: u64| if given > 0 { given } else { own };
        Machine {
            memory_mb: chosen(memory_mb, self.memory_mb),
            max_fds: chosen(max_fds, self.max_fds),
        }
    }

    /// Returns the memory in bytes.
    pub fn memory_bytes(self) -> usize {
        self.memory_mb as usize * BYTES_PER_MB
    }

    /// Returns the number of file descriptors.
    pub fn descriptors(self) -> usize {
        self.max_fds as usize
    }
}

const BYTES_PER_MB: usize = 1_000_000;
