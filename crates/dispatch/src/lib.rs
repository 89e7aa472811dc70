//! Scheduling of jobs by the process that owns the deployment.
//!
//! An [`Owner`] holds the state of all unfinished jobs and all workers. It decides which task
//! starts on which worker, processes the ends of runs, and returns what must be recorded in the
//! table before a worker may discard it. It performs no I/O and reads no clock. Two clocks are
//! inputs: a monotonic one that also advances while the machine is suspended, for leases, and the
//! time of day, for scheduled jobs.

mod agent;
mod avoidance;
mod batch;
mod candidate;
mod cause;
mod checkpoints;
mod claims;
mod clearance;
mod clearance_request;
mod clearance_service;
mod clearance_workers;
mod clock;
mod close_reason;
mod crashes;
mod diagnosis;
mod dismissal;
mod election;
mod ends;
mod entry;
mod estimator;
mod evacuation;
mod idle_jobs;
mod learned;
mod list;
mod listing;
mod load;
mod maintenance;
mod members;
mod mirror;
mod occupancy;
mod output;
mod owner;
mod ownership;
mod persisted;
mod placement;
mod plan;
mod preemption;
mod queues;
mod record;
mod refusals;
mod releases;
mod reports;
mod resolution;
mod review;
mod room;
mod round;
pub mod rows;
mod runs;
mod settings;
mod settlement;
mod shares;
mod snapshot;
mod speed_samples;
mod speeds;
mod stalled_runs;
mod standing;
mod standstill;
mod standstills;
mod starts;
mod suspects;
mod tally;
mod throttle;
mod times;
mod trust;
mod unanswered_writes;
mod unconfirmed_jobs;
mod unheard_ends;
mod unlisted_runs;
mod wait_detail;
mod waits;

pub use batch::{AcknowledgedEnds, Batch};
pub use cause::Cause;
pub use checkpoints::Checkpoints;
pub use clearance_request::ClearanceRequest;
pub use clearance_service::ClearanceCalls;
pub use election::Election;
pub use learned::Learned;
pub use maintenance::TakeDownResult;
pub use mirror::{ExpiredRows, JobView, Mirror, RowEvent};
pub use output::Output;
pub use owner::Owner;
pub use quincewheel_trust::Grade;
pub use settings::Settings;
pub use times::Times;
pub use unanswered_writes::UnansweredWrites;
pub use unconfirmed_jobs::UnconfirmedJobs;
