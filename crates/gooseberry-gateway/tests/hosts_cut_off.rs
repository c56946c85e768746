//! Hosts that reach no backend server by themselves, or none of a service, while other hosts do.

mod site;

use http_body_util::BodyExt;
use hyper::StatusCode;
use site::cut::{Cut, CutHost};
use site::{Answer, Site, events, generation, request};

/// Ways in which all paths of a host fail.
const CUTS: [Cut; 3] = [Cut::Reset, Cut::RefuseNew, Cut::Hang];

/// Requests by which a host may notice that its paths are cut; their answers are not checked.
const WARM_UP: usize = 4;

/// Requests of each kind that must be served afterwards.
const REQUESTS: usize = 5;

/// Lets the host notice a cut, as callers would: by requests that it may fail.
async fn notice(host: &CutHost, tag: &str) {
    for i in 0..WARM_UP {
        host.try_send(request(&format!("{tag}-first-{i}"), "/safe/a"))
            .await;
        host.try_send(generation(&format!("{tag}-first-s{i}"), "/draft/a"))
            .await;
    }
}

fn assert_stream(answer: &Answer, id: &str) {
    assert_eq!(answer.status, StatusCode::OK, "{id}: {}", answer.text());
    assert!(answer.is_whole, "{id} was cut: {}", answer.text());
    assert_eq!(answer.text(), events(id, 0), "{id}");
}

#[tokio::test]
async fn cut_off_calls_refused() {
    let site = Site::start().await;
    for cut in CUTS {
        let host = site.cut_host(&format!("host-{cut:?}"), &["host-1"]).await;
        host.cut_servers(cut).await;
        notice(&host, &format!("{cut:?}")).await;
        for i in 0..REQUESTS {
            for path in ["/safe/a", "/once/a"] {
                let id = format!("{cut:?}{path}{i}");
                let answer = host.send(request(&id, path)).await;
                assert_eq!(answer.status, StatusCode::OK, "{id}: {}", answer.text());
                assert_eq!(site.shared.runs(&id).len(), 1, "{id}");
            }
        }
    }
}

#[tokio::test]
async fn cut_off_streams_refused() {
    let site = Site::start().await;
    for cut in CUTS {
        let host = site.cut_host(&format!("host-{cut:?}"), &["host-1"]).await;
        host.cut_servers(cut).await;
        notice(&host, &format!("{cut:?}")).await;
        for i in 0..REQUESTS {
            let id = format!("{cut:?}-{i}");
            assert_stream(&host.send(generation(&id, "/draft/a")).await, &id);
        }
    }
}

#[tokio::test]
async fn cut_off_streams_lost() {
    let site = Site::start().await;
    for cut in [Cut::Reset, Cut::Hang] {
        let host = site.cut_host(&format!("host-{cut:?}"), &["host-1"]).await;
        let id = format!("running-{cut:?}");
        let mut link = host.open().await;
        let response = link.send(generation(&id, "/draft/a")).await.unwrap();
        let mut body = response.into_body();
        let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
        host.cut_servers(cut).await;
        let rest = body.collect().await.expect("the stream was cut").to_bytes();
        let text = [first, rest].concat();
        assert_eq!(String::from_utf8(text).unwrap(), events(&id, 0), "{id}");
    }
}

#[tokio::test]
async fn cut_off_calls_lost() {
    let site = Site::start().await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    let answer = host.send(request("first", "/safe/a")).await;
    assert_eq!(answer.status, StatusCode::OK, "its connection stays idle");
    host.cut_servers(Cut::Hang).await;
    let answer = host.send(request("1", "/safe/a")).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
}

#[tokio::test]
async fn one_service_cut_off() {
    let site = Site::start().await;
    let host = site.cut_host("host-2", &["host-1"]).await;
    host.cut("p-", Cut::Reset).await;
    notice(&host, "p").await;
    for i in 0..REQUESTS {
        let id = format!("call-{i}");
        let answer = host.send(request(&id, "/once/a")).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let id = format!("stream-{i}");
        assert_stream(&host.send(generation(&id, "/draft/a")).await, &id);
    }
}
