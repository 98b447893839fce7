//! Mechanisms that can be switched off in the settings.

mod template;

use cell::CellSettings;
use job::Mechanism;

/// Parses the deployment's settings template, followed by `rest`.
fn settings(rest: &str) -> Result<CellSettings, String> {
    CellSettings::parse(&(template::filled() + rest))
}

/// Returns the disabled mechanisms.
fn disabled(settings: &CellSettings) -> Vec<Mechanism> {
    let switches = settings.policy().switches;
    let disabled = Mechanism::all().filter(|one| !switches.enabled(*one));
    disabled.collect()
}

#[test]
fn exactly_the_optional_mechanisms_are_off_by_default() {
    let settings = settings("").expect("settings");

    let optional = Mechanism::all().filter(|one| one.is_optional());

    assert_eq!(disabled(&settings), optional.collect::<Vec<_>>());
}

#[test]
fn each_mechanism_can_be_switched_off_by_its_name() {
    let optional = Mechanism::all().filter(|one| one.is_optional());
    let optional: Vec<String> = optional.map(|one| one.to_string()).collect();
    let on = format!("on: [{}]\n", optional.join(", "));
    assert_eq!(disabled(&settings(&on).expect("settings")), Vec::new());

    for mechanism in Mechanism::all() {
        let settings = settings(&format!("{on}off: [{mechanism}]\n")).expect("settings");

        assert_eq!(disabled(&settings), vec![mechanism]);
        assert!(!settings.has(mechanism));
    }
}

#[test]
fn each_optional_mechanism_can_be_switched_on_by_its_name() {
    for mechanism in Mechanism::all().filter(|one| one.is_optional()) {
        let settings = settings(&format!("on: [{mechanism}]\n")).expect("settings");

        assert!(settings.has(mechanism));
        assert!(!disabled(&settings).contains(&mechanism));
    }
}

#[test]
fn an_unknown_mechanism_is_rejected() {
    let error = settings("off: [luck]\n").expect_err("no such mechanism");

    assert!(
        error.contains("luck") && error.contains("preemption"),
        "{error}"
    );
}
