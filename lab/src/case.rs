//! A case of an experiment: a plan with one seed, and its results.
use simulator::Results;

/// Separator between the experiment's name and the seed in a case name.
const SEED_SEPARATOR: &str = ", seed ";

/// A simulated run with its name and results.
pub struct Case {
    /// Name of the plan, or the key and value of a sweep, followed by the seed.
    pub name: String,
    /// Results of the simulation.
    pub results: Results,
}

impl Case {
    /// Returns the name of the case with the given experiment and seed.
    pub fn name_with_seed(experiment: &str, seed: u64) -> String {
        format!("{experiment}{SEED_SEPARATOR}{seed}")
    }

    /// Returns the case's name without its seed.
    pub fn name_without_seed(&self) -> &str {
        self.name.rsplit_once(SEED_SEPARATOR).map_or(&self.name, |(name, _)| name)
    }

    /// Whether the run violated a rule.
    pub fn violates_rules(&self) -> bool {
        !self.results.violations.is_empty()
    }
}

/// The cases of one experiment, which differ only in their seed.
pub struct CaseGroup<'a> {
    /// Name of the cases without the seed.
    pub name: &'a str,
    /// The cases in their original order.
    pub cases: Vec<&'a Case>,
}

/// Groups cases that differ only in their seed, in the order of their first appearance.
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
