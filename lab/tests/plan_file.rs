//! Tests setting a key of a plan, as a sweep does.
use damsonvale_lab::plan_file::set_key;
use simulator::Plan;

#[test]
fn key_is_set_in_table_list_and_top_level() {
    let text = "rate = 1.0\n[[trouble]]\nkind = 'hang'\nat_s = 1\n";
    let mut table: toml::Table = text.parse().unwrap();
    set_key(&mut table, "rate", "250").unwrap();
    set_key(&mut table, "name", "a b").unwrap();
    set_key(&mut table, "trouble.0.count", "3").unwrap();
    let plan = Plan::read(&toml::to_string(&table).unwrap()).unwrap();
    assert_eq!((plan.request_rate, plan.name.as_str(), plan.faults[0].count), (250.0, "a b", 3));
    assert!(set_key(&mut table, "trouble.7.count", "3").is_err());
    assert!(set_key(&mut table, "rate.x", "3").is_err());
    assert!(set_key(&mut table, "nothing.x", "3").is_err());
}
