//! Invalid input at each port must be refused without affecting other connections.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::directory::HostPhase;

use crate::common;
use crate::common::Gateway;

/// One directory with one instance and one host, so that valid requests can be checked.
async fn start() -> (directory::Directory, Gateway, common::Upstream) {
    let (_control, address) = common::control().await;
    let settings = vec![common::settings("a", "milano")];
    let directory = common::directories(settings, &[address]).await.remove(0);
    common::ready(&directory).await;
    let host = common::host("a", "milano", HostPhase::Serving, 0);
    let gateway = Gateway::start(directory.rpc(), host);
    let upstream = common::Upstream::start(directory.http(), "good");
    check_works(&directory).await;
    (directory, gateway, upstream)
}

async fn check_works(directory: &directory::Directory) {
    common::eventually("a good answer", async || {
        (common::routed_addresses(directory.http()).await.len() == 1).then_some(())
    })
    .await;
}

#[tokio::test]
async fn test_port_announcements_refused() {
    let (directory, _gateway, _upstream) = start().await;
    let good = common::announcement("bad", "ready", 1, 1);
    let with = |from: &str, to: &str| {
        assert!(good.contains(from), "{from}");
        good.replace(from, to)
    };
    let cases = [
        ("no JSON", "{".to_owned(), 400, "json"),
        ("empty", String::new(), 400, "json"),
        ("not UTF-8 text", "\u{0}".to_owned(), 400, "json"),
        ("no object", "[]".to_owned(), 400, "json"),
        ("field missing", with(r#""slots":6,"#, ""), 400, "json"),
        (
            "field twice",
            with(r#""slots":6,"#, r#""slots":6,"slots":7,"#),
            400,
            "json",
        ),
        (
            "negative",
            with(r#""slots":6"#, r#""slots":-6"#),
            400,
            "json",
        ),
        ("deep", "[".repeat(3000), 400, "json"),
        (
            "no slots",
            with(r#""slots":6"#, r#""slots":0"#),
            400,
            "field",
        ),
        (
            "absurd slots",
            with(r#""slots":6"#, r#""slots":65537"#),
            400,
            "field",
        ),
        (
            "no connections",
            with(r#""connections":250"#, r#""connections":0"#),
            400,
            "field",
        ),
        (
            "host name as address",
            with("127.0.0.1:9", "localhost:9"),
            400,
            "field",
        ),
        ("port 0", with("127.0.0.1:9", "127.0.0.1:0"), 400, "field"),
        (
            "any address",
            with("127.0.0.1:9", "0.0.0.0:9"),
            400,
            "field",
        ),
        ("unknown phase", with("ready", "happy"), 400, "field"),
        ("empty name", with(r#""bad""#, r#""""#), 400, "field"),
        ("long name", with("bad", &"x".repeat(129)), 400, "field"),
        ("name with space", with("bad", "b d"), 400, "field"),
        ("large", with("bad", &"x".repeat(5000)), 413, "large"),
    ];
    for (name, body, status, error_code) in cases {
        let answer = common::announce(directory.http(), body).await;
        assert_eq!(answer.status, status, "{name}: {answer:?}");
        let error = format!(r#"{{"error":"{error_code}","detail":""#);
        assert!(answer.body.starts_with(&error), "{name}: {answer:?}");
    }
    assert_eq!(common::phase(&directory, "bad"), None);
    check_works(&directory).await;
}

#[tokio::test]
async fn test_port_paths_and_methods_refused() {
    let (directory, _gateway, _upstream) = start().await;
    let cases = [
        ("GET", "/v1/announce", 405, "method"),
        ("DELETE", "/v1/route?service=grants", 405, "method"),
        ("POST", "/v1/ready", 405, "method"),
        ("GET", "/", 404, "path"),
        ("GET", "/v2/route?service=grants", 404, "path"),
        ("GET", "/v1/route", 400, "query"),
        (
            "GET",
            "/v1/route?service=grants&service=status",
            400,
            "query",
        ),
        ("GET", "/v1/route?service=", 404, "unknown-service"),
        ("GET", "/v1/route?service=nothing", 404, "unknown-service"),
        ("GET", "/v1/route?service=%00%ff", 404, "unknown-service"),
    ];
    for (method, path, status, error_code) in cases {
        let method = method.parse().expect("a method");
        let url = format!("http://{}{path}", directory.http());
        let answer = common::send(reqwest::Client::new().request(method, url)).await;
        assert_eq!(answer.status, status, "{path}: {answer:?}");
        let error = format!(r#"{{"error":"{error_code}","detail":""#);
        assert!(answer.body.starts_with(&error), "{path}: {answer:?}");
    }
    check_works(&directory).await;
}

#[tokio::test]
async fn test_port_unknown_service_may_announce() {
    let (directory, _gateway, _upstream) = start().await;
    let body = common::announcement("early", "ready", 1, 1).replace("grants", "not-yet");
    assert_eq!(common::announce(directory.http(), body).await.status, 200);
    let answer = common::get(directory.http(), "/v1/route?service=not-yet").await;
    assert_eq!(answer.status, 404, "callers wait for the catalogue");
}

#[tokio::test]
async fn test_port_garbage_ends_only_its_connection() {
    let (directory, _gateway, _upstream) = start().await;
    let frame = |length: u32, rest: &[u8]| [&length.to_be_bytes(), rest].concat();
    let cases: [(&str, std::net::SocketAddr, Vec<u8>); 7] = [
        ("HTTP garbage", directory.http(), b"\x16\x03\x01\x02\x00garbage\r\n\r\n".to_vec()),
        ("HTTP head too large", directory.http(), [b"GET / HTTP/1.1\r\nx: ", vec![b'a'; 1 << 20].as_slice()].concat()),
        ("HTTP two lengths", directory.http(), b"POST /v1/announce HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}".to_vec()),
        ("HTTP at the tarpc port", directory.rpc(), b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("frame too large", directory.rpc(), frame(u32::MAX, b"x")),
        ("frame without a message", directory.rpc(), frame(3, &[255, 255, 255])),
        ("empty frame", directory.rpc(), frame(0, b"")),
    ];
    for (name, address, bytes) in cases {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        // The peer may close before all is written.
        let _ = stream.write_all(&bytes).await;
        let mut rest = Vec::new();
        let end =
            tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut rest)).await;
        assert!(end.is_ok(), "{name}: the connection was left open");
        check_works(&directory).await;
    }
}

#[tokio::test]
async fn test_port_slow_sender_is_refused() {
    let (directory, _gateway, _upstream) = start().await;
    let mut stream = TcpStream::connect(directory.http())
        .await
        .expect("connects");
    let head = "POST /v1/announce HTTP/1.1\r\nhost: a\r\ncontent-length: 200\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut rest = vec![0; 1024];
    let count = stream.read(&mut rest).await.expect("an answer");
    let answer = String::from_utf8_lossy(&rest[..count]);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    check_works(&directory).await;
}
