//! Mechanisms that can be switched off in the settings.

mod template;

use cell::CellSettings;
use job::Mechanism;

/// Parses the deployment's settings template, followed by `rest`.
fn settings(rest: &str) -> Result<CellSettings, String> {
    CellSettings::parse(&(template::filled() + rest))
}

#[test]
fn every_mechanism_is_on_by_default() {
    let settings = settings("").expect("settings");

    for mechanism in Mechanism::all() {
        assert!(settings.policy().switches.enabled(mechanism), "{mechanism}");
    }
}

#[test]
fn each_mechanism_can_be_switched_off_by_its_name() {
    for mechanism in Mechanism::all() {
        let settings = settings(&format!("off: [{mechanism}]\n")).expect("settings");

        let off = Mechanism::all().filter(|one| !settings.policy().switches.enabled(*one));

        assert_eq!(off.collect::<Vec<_>>(), vec![mechanism]);
        assert!(!settings.has(mechanism));
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
