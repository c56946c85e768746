//! Errors in settings name the file, the place, what was found and what to write.

use std::path::PathBuf;

use settings::agent::Agent;

#[test]
fn settings_errors() {
    datadriven::walk("tests/scenarios/errors", |file| {
        let path: PathBuf = std::env::temp_dir().join(format!("agent-{}.json", std::process::id()));
        file.run(|case| {
            let _ = std::fs::remove_file(&path);
            if case.directive == "load" {
                std::fs::write(&path, &case.input).expect("a file");
            }
            let loaded = settings::load::<Agent>(&path);
            let _ = std::fs::remove_file(&path);
            let told = match loaded {
                Ok(_) => "correct".to_owned(),
                Err(e) => e.to_string(),
            };
            told.replace(&path.display().to_string(), "FILE") + "\n"
        });
    });
}
