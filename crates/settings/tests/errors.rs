//! Settings errors name the file, the path within it, the value found and a remedy.

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
            let message = match loaded {
                Ok(_) => "correct".to_owned(),
                Err(e) => e.to_string(),
            };
            message.replace(&path.display().to_string(), "FILE") + "\n"
        });
    });
}
