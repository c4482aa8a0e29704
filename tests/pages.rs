//! Checks that the tests named in `KNOWN-RED.txt` and `docs/PROMISES.md` exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Start of the attribute of a test that CI skips.
const IGNORE: &str = "#[ignore";

#[test]
fn every_test_that_is_passed_over_is_listed_as_known_red() {
    let page = read("KNOWN-RED.txt");
    let listed: BTreeSet<String> = page
        .lines()
        .filter(|line| !line.starts_with(' ') && line.contains('('))
        .filter_map(|line| line.split_whitespace().next())
        .map(|name| last_part(name).to_owned())
        .collect();
    let ignored: BTreeSet<String> = tests()
        .filter(|test| test.is_ignored)
        .map(|t| t.name)
        .collect();
    assert_eq!(ignored, listed);
}

#[test]
fn every_test_that_the_promises_name_exists() {
    let page = read("docs/PROMISES.md");
    let known: BTreeSet<String> = tests().map(|test| test.name).collect();
    let named: BTreeSet<String> = page
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|code| code.contains("::"))
        .map(|code| last_part(code).to_owned())
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

struct Test {
    name: String,
    is_ignored: bool,
}

/// Returns the tests in the `tests` folders of all packages.
fn tests() -> impl Iterator<Item = Test> {
    let root = root();
    let packages = fs::read_dir(&root).expect("the root can be read");
    let mut files = Vec::new();
    for package in packages {
        let package = package.expect("the root can be read").path();
        let is_package = package.join("Cargo.toml").exists();
        if is_package {
            add_files(&package.join("tests"), &mut files);
        }
    }
    add_files(&root.join("tests"), &mut files);
    files.into_iter().flat_map(|file| {
        let text = fs::read_to_string(file).expect("a source file can be read");
        tests_of(&text)
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
fn tests_of(text: &str) -> Vec<Test> {
    let mut tests = Vec::new();
    let mut is_ignored = false;
    for line in text.lines().map(str::trim_start) {
        if line.starts_with(IGNORE) {
            is_ignored = true;
        }
        let after = line
            .strip_prefix("fn ")
            .or_else(|| line.strip_prefix("pub(crate) fn "));
        if let Some(after) = after {
            let name: String = after
                .chars()
                .take_while(|c| c.is_alphanumeric() || *c == '_')
                .collect();
            tests.push(Test { name, is_ignored });
            is_ignored = false;
        }
    }
    tests
}

fn last_part(name: &str) -> &str {
    name.rsplit("::").next().unwrap_or(name)
}

fn read(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect("the page exists")
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}
