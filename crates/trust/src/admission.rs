use crate::attempt::Attempt;
use crate::grade::Grade;
use crate::member::{Demand, Member};

/// Which workers tasks of one step may use now, by index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Admission {
    /// Workers that must not be used. Doubtful ones with a trial running or in backoff, and for
    /// a last attempt others as well.
    pub excluded: Vec<usize>,
    /// The excluded workers that are unknown: a wait for a sound worker ends there.
    pub unknown: Vec<usize>,
    /// Doubtful workers that may be given one task as a trial.
    pub trials: Vec<usize>,
    /// Workers that are the last choice.
    pub least: Vec<usize>,
}

impl Admission {
    /// Decides which of the members tasks of this demand may use at `now`.
    ///
    /// Trials are for single tasks, as a member of a gang that fails costs the work of all members,
    /// and an attempt of them all. A gang uses doubtful workers only if no others could hold it.
    ///
    /// A last attempt uses sound workers as long as they could ever hold the demand, and doubtful
    /// ones only if no others could. An urgent one also uses unknown workers, as the last choice.
    pub fn decide(
        members: &[Member<'_>],
        demand: &Demand,
        attempt: Attempt,
        now: u64,
    ) -> Admission {
        let mut admission = Admission::default();
        let graded = |member: &Member<'_>, grade| member.standing.grade == grade;
        let is_sound = |member: &Member<'_>| graded(member, Grade::Sound);
        let is_doubtful = |member: &Member<'_>| graded(member, Grade::Doubtful);
        let doubt_matters = members.iter().any(is_doubtful);
        if attempt == Attempt::Spare && !doubt_matters {
            return admission;
        }
        let affords_trial = attempt == Attempt::Spare && !demand.is_joint();
        let tries_doubtful = affords_trial
            || (doubt_matters && !demand.is_held_by(members, |member| !is_doubtful(member)));
        let sound_suffice = attempt != Attempt::Spare && demand.is_held_by(members, is_sound);
        for member in members {
            let index = member.index;
            match member.standing.grade {
                Grade::Doubtful if tries_doubtful && member.standing.is_trial_due(now) => {
                    admission.trials.push(index);
                    admission.least.push(index);
                }
                Grade::Doubtful => admission.excluded.push(index),
                Grade::Unknown if sound_suffice && attempt == Attempt::Last => {
                    admission.excluded.push(index);
                    admission.unknown.push(index);
                }
                Grade::Unknown if sound_suffice => admission.least.push(index),
                Grade::Unknown | Grade::Sound => {}
            }
        }
        admission
    }
}
