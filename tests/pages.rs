//! Checks that `KNOWN-RED.txt` lists exactly the ignored tests and that the tests named in
//! `docs/PROMISES.md` exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Start of the attribute of a test that CI skips.
const IGNORE_ATTRIBUTE: &str = "#[ignore";

#[test]
fn ignored_tests_equal_the_known_red_list() {
    let page = read("KNOWN-RED.txt");
    let listed: BTreeSet<String> = page
        .lines()
        .filter(|line| !line.starts_with(' ') && line.contains('('))
        .filter_map(|line| line.split_whitespace().next())
        .map(|name| test_name(name).to_owned())
        .collect();
    let ignored: BTreeSet<String> = tests()
        .filter(|test| test.is_ignored)
        .map(|t| t.name)
        .collect();
    assert_eq!(ignored, listed);
}

#[test]
fn every_test_named_in_promises_exists() {
    let page = read("docs/PROMISES.md");
    let known: BTreeSet<String> = tests().map(|test| test.name).collect();
    let named: BTreeSet<String> = page
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|code| code.contains("::"))
        .map(|code| test_name(code).to_owned())
        .collect();
    assert!(
        !named.is_empty(),
        "the page names its tests as `file::name`"
    );
    let missing: Vec<&String> = named.difference(&known).collect();
    assert!(
        missing.is_empty(),
        "named by the page but missing: {missing:?}"
    );
}

struct TestFunction {
    name: String,
    is_ignored: bool,
}

/// Returns the tests in the `tests` folders of all packages.
fn tests() -> impl Iterator<Item = TestFunction> {
    let workspace = workspace_root();
    let packages = fs::read_dir(&workspace).expect("the root can be read");
    let mut files = Vec::new();
    for package in packages {
        let package = package.expect("the root can be read").path();
        let is_package = package.join("Cargo.toml").exists();
        if is_package {
            add_files(&package.join("tests"), &mut files);
        }
    }
    add_files(&workspace.join("tests"), &mut files);
    files.into_iter().flat_map(|file| {
        let text = fs::read_to_string(file).expect("a source file can be read");
        functions_in(&text)
    })
}

fn add_files(folder: &Path, files: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries {
        let path = entry.expect("a folder can be read").path();
        if path.is_dir() {
            add_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the functions of a test file. Helper functions among them do no harm.
fn functions_in(text: &str) -> Vec<TestFunction> {
    let mut tests = Vec::new();
    let mut is_ignored = false;
    for line in text.lines().map(str::trim_start) {
        if line.starts_with(IGNORE_ATTRIBUTE) {
            is_ignored = true;
        }
        let rest = line
            .strip_prefix("fn ")
            .or_else(|| line.strip_prefix("pub(crate) fn "));
        if let Some(rest) = rest {
            let name: String = rest
                .chars()
                .take_while(|c| c.is_alphanumeric() || *c == '_')
                .collect();
            tests.push(TestFunction { name, is_ignored });
            is_ignored = false;
        }
    }
    tests
}

fn test_name(name: &str) -> &str {
    name.rsplit("::").next().unwrap_or(name)
}

fn read(name: &str) -> String {
    fs::read_to_string(workspace_root().join(name)).expect("the page exists")
}

fn workspace_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}
