//! Reads a directory of declarations: one JSON file per entry, named after the entry.

use std::path::{Path, PathBuf};

use base::prelude::*;
use profiles::check::{Fault, check};
use profiles::document::Document;
use serde::de::DeserializeOwned;

/// An entry and the file that declares it.
type Declared<T> = (PathBuf, T);

/// Reads and checks a directory of declarations.
///
/// # Errors
///
/// All faults found, each with file, path in the file, value found and remedy.
pub fn read(directory: &Path) -> Result<Document, Vec<String>> {
    let mut faults = Vec::new();
    if !directory.is_dir() {
        let path = directory.display();
        return Err(vec![format!(
            "{path}: no such directory; name the one with profiles/"
        )]);
    }
    let mut profiles = entries(directory, "profiles", &mut faults);
    let mut services = entries(directory, "services", &mut faults);
    let mut workspaces = entries(directory, "workspaces", &mut faults);
    check_names(
        &profiles,
        |p: &profiles::document::Profile| p.name.as_str(),
        &mut faults,
    );
    check_names(
        &services,
        |s: &profiles::document::Service| s.name.as_str(),
        &mut faults,
    );
    check_names(
        &workspaces,
        |w: &profiles::document::Workspace| w.name.as_str(),
        &mut faults,
    );
    // The check reports entries by their index in the sorted document.
    profiles.sort_by(|a, b| a.1.name.cmp(&b.1.name));
    services.sort_by(|a, b| a.1.name.cmp(&b.1.name));
    workspaces.sort_by(|a, b| a.1.name.cmp(&b.1.name));
    let files = [files(&profiles), files(&services), files(&workspaces)];
    let document = Document {
        version: Version(0),
        profiles: values(profiles),
        services: values(services),
        workspaces: values(workspaces),
    };
    // Checked only without earlier faults: a file that could not be read would make references to
    // its entry look wrong.
    if faults.is_empty() {
        faults.extend(check(&document).iter().map(|f| in_file(f, &files)));
    }
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(faults)
    }
}

/// Reads all entries of one kind, in order of file name.
fn entries<T: DeserializeOwned>(
    directory: &Path,
    kind: &str,
    faults: &mut Vec<String>,
) -> Vec<Declared<T>> {
    let folder = directory.join(kind);
    let Ok(listed) = std::fs::read_dir(&folder) else {
        // Each kind is optional.
        return Vec::new();
    };
    let mut files: Vec<PathBuf> = listed.flatten().map(|e| e.path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "json"));
    files.sort();
    let mut read = Vec::new();
    for file in files {
        match settings::load::read(&file) {
            Ok(entry) => read.push((file, entry)),
            Err(e) => faults.push(e.to_string()),
        }
    }
    read
}

/// Checks that each file is named after its entry.
fn check_names<T>(entries: &[Declared<T>], name: impl Fn(&T) -> &str, faults: &mut Vec<String>) {
    for (file, entry) in entries {
        let stem = file
            .file_stem()
            .and_then(|s| s.to_str())
            .unwrap_or_default();
        let name = name(entry);
        if stem != name {
            let path = file.display();
            faults.push(format!(
                "{path}: at name: found {name:?}; write {stem:?}, or rename the file to {name}.json"
            ));
        }
    }
}

/// Formats a fault of the document with the file and the path in it.
fn in_file(fault: &Fault, files: &[Vec<PathBuf>; 3]) -> String {
    let found = locate(&fault.place, files);
    let (file, place) = found.unwrap_or_else(|| (String::new(), fault.place.clone()));
    format!(
        "{file}: at {place}: found {}; {}",
        fault.found, fault.remedy
    )
}

/// Resolves the document path `kind[index].path` to the file and the path in it.
fn locate(place: &str, files: &[Vec<PathBuf>; 3]) -> Option<(String, String)> {
    let (kind, rest) = place.split_once('[')?;
    let (index, rest) = rest.split_once(']')?;
    let kind = ["profiles", "services", "workspaces"]
        .iter()
        .position(|k| *k == kind)?;
    let file = files[kind].get(index.parse::<usize>().ok()?)?;
    let inner = rest.trim_start_matches('.').to_owned();
    Some((file.display().to_string(), inner))
}

fn files<T>(entries: &[Declared<T>]) -> Vec<PathBuf> {
    entries.iter().map(|(file, _)| file.clone()).collect()
}

fn values<T>(entries: Vec<Declared<T>>) -> Vec<T> {
    entries.into_iter().map(|(_, entry)| entry).collect()
}
