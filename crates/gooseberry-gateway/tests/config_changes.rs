//! Changes of the configuration and of the registry of backend servers take effect.

mod site;

use hyper::StatusCode;
use serde_json::json;
use site::{Site, config, request};

#[tokio::test]
async fn unavailable_before_a_configuration() {
    let site = Site::bare().await;
    let answer = site.send(request("1", "/safe/a")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(!site.is_ready().await);
}

#[tokio::test]
async fn routes_and_keys() {
    let site = Site::start().await;
    assert!(site.is_ready().await);
    assert_eq!(
        site.send(request("1", "/none/a")).await.status,
        StatusCode::NOT_FOUND
    );
    let mut unknown_key = request("2", "/safe/a");
    unknown_key
        .headers_mut()
        .insert("x-api-key", "k9".parse().unwrap());
    assert_eq!(
        site.send(unknown_key).await.status,
        StatusCode::UNAUTHORIZED
    );
    let mut open = request("3", "/open/a");
    open.headers_mut().remove("x-api-key");
    assert_eq!(site.send(open).await.status, StatusCode::OK);
    assert!(site.shared.runs("1").is_empty() && site.shared.runs("2").is_empty());
}

#[tokio::test]
async fn only_newer_versions_apply() {
    let site = Site::start().await;
    let mut dropped = config(9);
    dropped["routes"].as_array_mut().unwrap().remove(0);
    dropped["tenants"] = json!([{"name": "crew", "api-keys": ["k2"]}]);
    site.configure(9, &dropped);
    site.until("version 9", || site.version() == 9).await;
    let with = |id: &str, path: &str, key: &str| {
        let mut request = request(id, path);
        request
            .headers_mut()
            .insert("x-api-key", key.parse().unwrap());
        request
    };
    assert_eq!(
        site.send(with("1", "/safe/a", "k2")).await.status,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        site.send(with("2", "/once/a", "k1")).await.status,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(
        site.send(with("3", "/once/a", "k2")).await.status,
        StatusCode::OK
    );
    // An older version that arrives late, a malformed one and a removed row change nothing.
    site.configure(8, &config(8));
    site.put("op", "config", Some(json!({"version": "x"})));
    site.put("op", "config", None);
    site.put("op", "config", Some(config(10)));
    site.until("version 10", || site.version() == 10).await;
    assert_eq!(
        site.send(with("4", "/safe/a", "k1")).await.status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn leaving_server_gets_no_new_requests() {
    let site = Site::bare().await;
    site.configure(1, &config(1));
    let first = site.server("p-1", false, "a").await;
    site.server("p-2", false, "a").await;
    site.until("two servers", || {
        site.usable_count() == 2 && site.version() == 1
    })
    .await;
    site.list("p-1", first, false, "a", "draining");
    site.until("one server", || site.usable_count() == 1).await;
    for i in 0..20 {
        let id = format!("id-{i}");
        assert_eq!(
            site.send(request(&id, "/safe/a")).await.status,
            StatusCode::OK
        );
        assert_eq!(site.shared.runs(&id)[0].headers["expect-instance"], "p-2");
    }
}

#[tokio::test]
async fn malformed_rows_are_not_listed() {
    let site = Site::start().await;
    site.put("servers", "odd-1", Some(json!({"service": 5})));
    site.put("servers", "odd-2", Some(json!("text")));
    site.put("servers", "odd-3", None);
    site.server("p-3", false, "a").await;
    site.until("the well-formed rows are listed", || {
        site.listed_count() == 5
    })
    .await;
    assert_eq!(
        site.send(request("1", "/safe/a")).await.status,
        StatusCode::OK
    );
}
