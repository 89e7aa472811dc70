//! Settings shared by both binaries.

use crate::definition::Definition;

/// Address on which other processes of the system connect.
pub const LISTEN: Definition = Definition::required(
    "listen",
    "IP:PORT",
    "Address on which the system's other processes reach this one",
);

/// Address of the platform's services.
pub const PLATFORM: Definition = Definition::required(
    "platform",
    "IP:PORT",
    "Address of the platform's table service and object store",
);

/// Key by which processes of the system authenticate each other.
pub const FLEET_KEY: Definition = Definition::required(
    "fleet-key",
    "SECRET",
    "Key that all processes of the system share; 16 characters or more. Prefer the variable: \
     flags can be read by others on the machine",
)
.secret();

/// Minimum level of log lines.
pub const LOG_LEVEL: Definition =
    Definition::optional("log-level", "LEVEL", "info", "One of error, warn, info, debug, trace");

/// Whether events for the invariant checker are written.
pub const EVENTS: Definition = Definition::optional(
    "events",
    "",
    "false",
    "Write events for the invariant checker to standard output, one JSON object a line",
);

/// Port of the metrics page on the users' platform.
pub const METRICS_PORT: Definition = Definition::optional(
    "metrics-port",
    "PORT",
    "9464",
    "Port on which a process on the users' platform shows its metrics, 1 to 65535",
);

/// Memory of the machine, of which clients may take a part.
pub const MEMORY_MB: Definition = Definition::optional(
    "memory-mb",
    "MB",
    "256",
    "Memory that the machine gives this process, in MB; three eighths are for connections of \
     clients, two for large bodies. The platform's settings go first; 32 to 1048576",
);

/// File descriptors of the machine, of which clients may take a part.
pub const MAX_FDS: Definition = Definition::optional(
    "max-fds",
    "COUNT",
    "4096",
    "File descriptors that the machine gives this process; 200 are for files, half of the others \
     for clients. The platform's settings go first; 256 to 1048576",
);
