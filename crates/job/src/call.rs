use crate::queue::Queue;

/// What a client asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Submit the job that the body holds.
    Submit {
        /// The job's name.
        id: String,
    },
    /// Tell a job's state.
    State {
        /// The job's name.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        /// The job's name.
        id: String,
    },
    /// Tell how many jobs of the queue wait.
    Waiting,
}

/// A call and the queue that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// What is asked for.
    pub call: Call,
    /// The queue.
    pub queue: Queue,
    /// The caller's team; empty on a queue that is open to all.
    pub team: String,
    /// The answer depends on a key, so on a current configuration.
    pub requires_key: bool,
}

impl Call {
    /// The job that is meant, if it is one.
    pub fn id(&self) -> Option<&str> {
        match self {
            Call::Submit { id } | Call::State { id } | Call::Cancel { id } => Some(id),
            Call::Waiting => None,
        }
    }
}

/// True for a job's name: 16 hexadecimal digits.
pub fn is_job_id(id: &str) -> bool {
    id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit())
}
