use quincewheel_conf::{Definition, Error, Resolver, Values};

pub(crate) const CLAIM_AFTER: Definition = Definition::optional(
    "claim-after-ms",
    "MS",
    "2000",
    "Milliseconds that a gang waits before it may claim capacity, 0 for no claims, to 60000",
);
pub(crate) const DOUBT: Definition = Definition::optional(
    "doubt-ms",
    "MS",
    "10000",
    "Milliseconds for which the failures of a worker count against it, 0 for never, to 600000",
);
pub(crate) const UNEVEN: Definition = Definition::optional(
    "uneven-percent",
    "PERCENT",
    "10",
    "Percent by which a machine's speed differs before placement considers it, 0 for never, to 100",
);
pub(crate) const SHARE_HALF_LIFE: Definition = Definition::optional(
    "share-half-life-s",
    "S",
    "10",
    "Seconds in which the recorded usage of a team halves, 0 for no shares, to 3600",
);

/// Settings of scheduling under load on the users' platform. Times are in milliseconds; 0 turns
/// off what a setting controls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scheduling {
    /// How long a gang waits before it may claim capacity.
    pub claim_after: u64,
    /// How long the failures of a worker count against it.
    pub doubt: u64,
    /// Percent by which the speed of a machine differs before it counts.
    pub uneven_percent: u64,
    /// Time in which the recorded usage of a team halves.
    pub share_half_life: u64,
}

impl Scheduling {
    /// Validates the values. Returns all errors found.
    pub fn resolve(values: &Values) -> Result<Scheduling, Vec<Error>> {
        let mut r = Resolver::new(values);
        let scheduling = Scheduling {
            claim_after: r.number(&CLAIM_AFTER, 0, 60_000),
            doubt: r.number(&DOUBT, 0, 600_000),
            uneven_percent: r.number(&UNEVEN, 0, 100),
            share_half_life: r.number::<u64>(&SHARE_HALF_LIFE, 0, 3600) * 1000,
        };
        r.finish(scheduling)
    }
}
