//! Settings template of the deployment, with its placeholders filled in.

const TEMPLATE: &str = include_str!("../../../../deploy/settings.yaml");

/// Returns the template with a value for each placeholder: the addresses that tests check, `x`
/// for other quoted values and `1` for the rest. The line with the optional mechanisms is left out, so
/// that a test can add its own.
pub fn filled() -> String {
    let mut text = String::new();
    let lines = TEMPLATE.lines();
    for line in lines.filter(|line| !line.starts_with("on:")) {
        let filled = line
            .replace("{{ip}}", "10.1.0.13")
            .replace("{{listen.front}}", "10.1.0.13:8161")
            .replace("{{listen.ready}}", "10.1.0.13:8167")
            .replace("{{port_range.0}}", "7720")
            .replace("{{platform.address}}", "10.200.1.7:8169")
            .replace("{{advice}}", "")
            .replace("{{cloud.address}}", "10.200.0.79:8169");
        let filled = match filled.find("{{") {
            Some(at) if filled.contains('"') => format!("{}x\"", &filled[..at]),
            Some(at) => format!("{}1", &filled[..at]),
            None => filled,
        };
        text.push_str(&filled);
        text.push('\n');
    }
    text
}
