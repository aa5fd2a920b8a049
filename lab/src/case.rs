//! A case of an experiment: one plan with one seed, and its results.
use simulator::Results;

/// What separates the name of a case from its seed.
const SEED_SEPARATOR: &str = ", seed ";

/// A simulated run with its name.
pub struct Case {
    /// Name of the plan or value of the key, and the seed.
    pub name: String,
    /// Results of the run.
    pub results: Results,
}

impl Case {
    /// The name of a case of this experiment and seed.
    pub fn name_with_seed(experiment: &str, seed: u64) -> String {
        format!("{experiment}{SEED_SEPARATOR}{seed}")
    }

    /// The case's name without its seed.
    pub fn name_without_seed(&self) -> &str {
        self.name.rsplit_once(SEED_SEPARATOR).map_or(&self.name, |(name, _)| name)
    }

    /// Whether the run violated a rule.
    pub fn violates_rules(&self) -> bool {
        !self.results.violations.is_empty()
    }
}

/// The cases of all seeds of one experiment.
pub struct CaseGroup<'a> {
    /// Their name without the seed.
    pub name: &'a str,
    /// The cases in order.
    pub cases: Vec<&'a Case>,
}

/// Groups cases that differ in their seed alone, in the order in which they first appear.
pub fn group_by_seed(cases: &[Case]) -> Vec<CaseGroup<'_>> {
    let mut groups: Vec<CaseGroup<'_>> = Vec::new();
    for case in cases {
        let name = case.name_without_seed();
        match groups.iter_mut().find(|group| group.name == name) {
            Some(group) => group.cases.push(case),
            None => groups.push(CaseGroup { name, cases: vec![case] }),
        }
    }
    groups
}
