//! Gateway settings: a complete file, and the errors for invalid entries.

use std::path::Path;

use settings::gateway::{Gateway, Limits};

const FILE: &str = r#"{
  "host": "front-1", "data_centre": "a",
  "listen": {"callers": "10.1.0.19:8740", "ready": "10.1.0.19:8749",
             "peers": "10.1.0.19:7200", "metrics": "10.1.0.19:9464", "tunnels": "10.1.0.19:7215"},
  "store": "10.200.1.7:8742",
  "retries": {"window_s": 10, "ratio": 0.8, "extra": 150},
  "grace_s": 8, "leave_ms": 2000, "limits": {"cores": 0.25, "link_mbps": 1000.0}
}"#;

fn load(text: &str) -> Result<Gateway, String> {
    let id = std::process::id();
    let hash = base::hash::stable(text.as_bytes());
    let file = std::env::temp_dir().join(format!("gateway-{id}-{hash:x}.json"));
    std::fs::write(&file, text).unwrap();
    let loaded = settings::load(&file).map_err(|e| e.to_string());
    std::fs::remove_file(&file).unwrap();
    loaded
}

#[test]
fn complete_file() {
    let settings = load(FILE).unwrap();
    assert_eq!(settings.host.as_str(), "front-1");
    assert_eq!(settings.retries.ratio, 0.8);
    assert_eq!(settings.grace_s, 8.0);
    assert_eq!(settings.limits.link_mbps, 1_000.0);
    assert_eq!(
        settings.listen.tunnels,
        Some("10.1.0.19:7215".parse().unwrap())
    );
}

#[test]
fn without_tunnels() {
    let settings = load(&FILE.replace(", \"tunnels\": \"10.1.0.19:7215\"", "")).unwrap();
    assert_eq!(settings.listen.tunnels, None);
}

#[test]
fn without_limits() {
    let (start, _) = FILE.split_once(", \"limits\"").unwrap();
    let settings = load(&format!("{start}}}")).unwrap();
    assert_eq!(settings.limits, Limits::default());
}

#[test]
fn invalid_entries() {
    for (from, to, place, remedy) in [
        ("\"front-1\"", "\"\"", "host", "write the name"),
        ("\"grace_s\": 8", "\"grace_s\": 0", "grace_s", "above 0"),
        ("2000", "0", "leave_ms", "above 0"),
        ("0.8", "-1", "retries.ratio", "0 or a number above"),
        ("0.25", "-1", "limits.cores", "0 or a number above"),
        (
            "10.1.0.19:7200",
            "0.0.0.0:7200",
            "listen.peers",
            "IP number",
        ),
        (
            "10.1.0.19:7215",
            "0.0.0.0:7215",
            "listen.tunnels",
            "IP number",
        ),
        ("10.200.1.7:8742", "store", "store", "IP number and a port"),
        (
            "\"grace_s\": 8",
            "\"grace\": 8",
            "grace",
            "correct this entry",
        ),
        ("{\n", "<\n", "", "opening brace"),
    ] {
        let error = load(&FILE.replacen(from, to, 1)).unwrap_err();
        assert!(
            error.contains(place) && error.contains(remedy),
            "{to}: {error}"
        );
    }
    let missing = settings::load::<Gateway>(Path::new("no-such-file.json"));
    assert!(missing.unwrap_err().to_string().contains("cannot be read"));
}
