use crate::queue::Queue;

/// An operation that a client calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Submit the job in the body.
    Submit {
        /// The job's name.
        id: String,
    },
    /// Get a job's state.
    State {
        /// The job's name.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        /// The job's name.
        id: String,
    },
    /// Count the waiting jobs of the queue.
    Waiting,
}

/// A call and the queue that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The operation.
    pub call: Call,
    /// The queue.
    pub queue: Queue,
    /// The caller's team; empty on a queue that is open to all.
    pub team: String,
    /// The reply depends on a key, and so on a current configuration.
    pub requires_key: bool,
}

impl Call {
    /// The job that the call refers to, if any.
    pub fn id(&self) -> Option<&str> {
        match self {
            Call::Submit { id } | Call::State { id } | Call::Cancel { id } => Some(id),
            Call::Waiting => None,
        }
    }
}

/// True if `id` is a valid job name: 16 hexadecimal digits.
pub fn is_job_id(id: &str) -> bool {
    id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit())
}
