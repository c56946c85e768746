//! Faults in declarations are reported with the file, the path in it, the value found and a remedy.

use gooseberryctl::declarations;

#[test]
fn declaration_errors() {
    datadriven::walk("tests/scenarios/declarations", |file| {
        let name = file.filename.replace(['/', '.'], "-");
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        file.run(|case| match case.directive.as_str() {
            "file" => {
                let word = |name: &str| &case.args.get(name).expect("an argument")[0];
                let path = folder.join(format!("{}/{}.json", word("kind"), word("name")));
                std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
                std::fs::write(path, &case.input).expect("a file");
                String::new()
            }
            "read" => {
                let read = declarations::read(&folder);
                let _ = std::fs::remove_dir_all(&folder);
                let prefix = format!("{}/", folder.display());
                match read {
                    Ok(_) => "correct\n".to_owned(),
                    Err(faults) => faults.join("\n").replace(&prefix, "") + "\n",
                }
            }
            other => panic!("unknown directive {other}"),
        });
    });
}
