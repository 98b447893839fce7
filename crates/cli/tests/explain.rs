//! Runs `clovermount explain` and `clovermount check --cell` on temporary files.

use std::io::Write;
use std::process::Command;

use tempfile::NamedTempFile;

const PROGRAM: &str = env!("CARGO_BIN_EXE_clovermount");

fn temp_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("file");
    file.write_all(text.as_bytes()).expect("written");
    file
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("program");
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn explain_prints_the_lines_of_a_job_in_order_of_time() {
    let owner = temp_file(concat!(
        r#"{"code":350,"message":"start","task":"00000000000000a1.0.0.0","timestamp":1030}"#,
        "\nnot a line of ours\n",
        r#"{"code":350,"message":"start","task":"00000000000000a2.0.0.0","timestamp":1031}"#,
        "\n",
    ));
    let entry = temp_file(
        r#"{"code":401,"message":"job accepted","job":"00000000000000a1","timestamp":1000}"#,
    );
    let paths = [owner.path(), entry.path()].map(|path| path.display().to_string());

    let (code, printed, _) = run(&["explain", "00000000000000a1", &paths[0], &paths[1]]);

    let lines: Vec<&str> = printed.lines().collect();
    assert_eq!(code, Some(0));
    assert_eq!(lines.len(), 2, "{printed}");
    assert!(lines[0].contains("401 job accepted"), "{printed}");
    assert!(lines[1].starts_with("+    30 ms"), "{printed}");
}

#[test]
fn explain_rejects_an_invalid_id() {
    let (code, _, error) = run(&["explain", "a1"]);

    assert_eq!(code, Some(2));
    assert!(error.contains("16 hexadecimal digits"), "{error}");
}

#[test]
fn check_validates_settings_of_a_cell_process() {
    let settings = temp_file("node: n\nzone: z\nip: nowhere\n");

    let (code, _, error) = run(&["check", "--cell", &settings.path().display().to_string()]);

    assert_eq!(code, Some(2));
    assert!(error.contains("line 3"), "{error}");
}
