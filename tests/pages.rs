//! Checks that `KNOWN-RED.txt` lists exactly the ignored tests and that the tests, identifiers and
//! files that pages name exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Start of the attribute of a test that CI skips.
const IGNORE_ATTRIBUTE: &str = "#[ignore";

/// Names that pages mention and that no source file defines: system calls of Linux.
const OUTSIDE_NAMES: [&str; 1] = ["epoll_wait"];

/// Extensions of source files. Scripts have no extension or `sh`.
const SOURCE_EXTENSIONS: [&str; 6] = ["", "jsonc", "rs", "sh", "snap", "toml"];

/// Folders without source files: pages, journal entries, build products and history.
const SKIPPED_FOLDERS: [&str; 4] = [".git", "docs", "journal", "target"];

#[test]
fn ignored_tests_equal_the_known_red_list() {
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
fn every_test_named_in_promises_exists() {
    let page = read("docs/PROMISES.md");
    let known: BTreeSet<String> = tests().map(|test| test.name).collect();
    let named: BTreeSet<String> = code_spans(&page)
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

#[test]
fn every_identifier_and_file_named_by_pages_exists() {
    let sources = source_files();
    let known = words_in(&sources);
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("a page can be read");
        for code in code_spans(&text) {
            let exists = if is_rust_file(code) {
                sources.iter().any(|file| file.ends_with(code))
            } else if is_identifier(code) {
                let name = last_part(code);
                known.contains(name) || OUTSIDE_NAMES.contains(&name)
            } else {
                true
            };
            if !exists {
                missing.push(format!("{}: {code}", page.display()));
            }
        }
    }
    assert!(
        missing.is_empty(),
        "named by pages but missing: {missing:#?}"
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

/// Returns `README.md` and the pages in `docs`, without the reports of single incidents.
fn pages() -> Vec<PathBuf> {
    let docs = workspace_root().join("docs");
    let mut pages = Vec::new();
    add_files_with(&["md"], &["incidents"], &docs, &mut pages);
    pages.push(workspace_root().join("README.md"));
    pages
}

/// Returns the source files of all packages except this one, which lists names that no other file
/// defines.
fn source_files() -> Vec<PathBuf> {
    let workspace = workspace_root();
    let mut files = Vec::new();
    add_files_with(&SOURCE_EXTENSIONS, &SKIPPED_FOLDERS, &workspace, &mut files);
    files.retain(|file| *file != workspace.join("tests/pages.rs"));
    files
}

fn add_files_with(
    extensions: &[&str],
    skipped_folders: &[&str],
    folder: &Path,
    files: &mut Vec<PathBuf>,
) {
    for entry in fs::read_dir(folder).expect("a folder can be read") {
        let path = entry.expect("a folder can be read").path();
        let name = path.file_name().and_then(|name| name.to_str());
        if path.is_dir() {
            if !name.is_some_and(|name| skipped_folders.contains(&name)) {
                add_files_with(extensions, skipped_folders, &path, files);
            }
        } else {
            let extension = path.extension().map_or(Some(""), |end| end.to_str());
            if extension.is_some_and(|extension| extensions.contains(&extension)) {
                files.push(path);
            }
        }
    }
}

/// Returns the words in the texts and paths of files. A file that is not UTF-8 has only a path.
fn words_in(files: &[PathBuf]) -> BTreeSet<String> {
    let workspace = workspace_root();
    let mut words = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(file).unwrap_or_default();
        let path = file.strip_prefix(&workspace).unwrap_or(file);
        for text in [text.as_str(), &path.to_string_lossy()] {
            let found = text.split(|c: char| !is_word_character(c));
            words.extend(found.map(str::to_owned));
        }
    }
    words
}

/// Returns the code spans and code blocks of a page.
fn code_spans(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

fn is_rust_file(code: &str) -> bool {
    code.ends_with(".rs") && !code.contains(char::is_whitespace)
}

/// Returns whether a code span is one word that is clearly an identifier: with an underscore, a
/// path separator or a capital after a small letter.
fn is_identifier(code: &str) -> bool {
    let is_word = code
        .split("::")
        .all(|part| !part.is_empty() && part.chars().all(is_word_character));
    let letters = code.as_bytes();
    let has_inner_capital = letters
        .windows(2)
        .any(|pair| pair[0].is_ascii_lowercase() && pair[1].is_ascii_uppercase());
    is_word && (code.contains('_') || code.contains("::") || has_inner_capital)
}

fn is_word_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// Returns the part of a path such as `file::name` after the last `::`.
fn last_part(name: &str) -> &str {
    name.rsplit("::").next().unwrap_or(name)
}

fn read(name: &str) -> String {
    fs::read_to_string(workspace_root().join(name)).expect("the page exists")
}

fn workspace_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}
