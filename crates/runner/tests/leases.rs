//! Work needs a lease to run under.

mod world;

use insta::assert_snapshot;
use world::{World, job};

// Symptom: hundreds of orders a second to one worker while the table is away, and as many
// calls to it. Sequence: the table confirms the owner no more; after 8 s the owner grants no
// leases, and agents refuse what they have no lease for; each refusal makes the owner plan
// anew, and order the same start at the same place. Cause: the owner did not ask itself
// whether a start could have a lease.
#[test]
fn nothing_is_ordered_where_no_lease_would_be_granted() {
    let mut world = World::open(1, 1);
    world.report(0);
    world.link(0);
    world.pass(1000);
    world.confirmed = false;
    world.pass(14_000);
    world.owner.add_job("new", job(1), 150, None);
    world.pass(1000);
    let before = world.told();
    world.confirmed = true;
    world.pass(2000);
    assert_snapshot!(format!("{before}\n{}", world.told()), @r"
    nothing
    16200 ms: w0 start new.0.0.0 run 1
    ");
}
