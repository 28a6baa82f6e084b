//! A real placer that reads its hosts and leases its slot from a Consul emulator.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use maplethread_consul_emulator::{EmulatorSettings, Faults, Servers};
use maplethread_wire::frame::Frame;
use rustix::process::Signal;
use serde_json::{Value, json};
use support::*;

/// Sends one request to a server; returns the status and the body of the response.
fn http_call(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("server accepts connections");
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .expect("request can be sent");
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .expect("read timeout can be set");
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    // The server may keep the connection open; Content-Length tells when the response is complete.
    while let Ok(n) = stream.read(&mut part) {
        if n == 0 {
            break;
        }
        bytes.extend_from_slice(&part[..n]);
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("Content-Length: "));
            if length
                .and_then(|l| l.parse().ok())
                .is_some_and(|l: usize| body.len() >= l)
            {
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    (
        status,
        text.split_once("\r\n\r\n")
            .map_or("", |(_, b)| b)
            .to_owned(),
    )
}

fn register_host(servers: &Servers, host: &ScriptedHost, status: &str) {
    let body = json!({
        "Node": format!("node-{}", host.name), "Address": "127.0.0.1",
        "Service": {
            "ID": host.name, "Service": "maplethread-host", "Port": host.address().port(),
            "Meta": {"zone": host.zone, "cell": host.cell, "kind": "std", "started_ms": host.started_ms.to_string()},
        },
        "Checks": [{"CheckID": format!("service:{}", host.name), "Name": "host", "Status": status, "ServiceID": host.name}],
    });
    assert_eq!(
        http_call(
            servers.addresses[0],
            "PUT",
            "/v1/catalog/register",
            &body.to_string()
        )
        .0,
        200
    );
}

fn deregister_host(servers: &Servers, host: &ScriptedHost) {
    let body = json!({"Node": format!("node-{}", host.name), "ServiceID": host.name});
    assert_eq!(
        http_call(
            servers.addresses[0],
            "PUT",
            "/v1/catalog/deregister",
            &body.to_string()
        )
        .0,
        200
    );
}

/// Writes the files of a placer that reads its hosts from these servers, with further `[consul]` settings.
fn placer_with_catalogue(servers: &Servers, name: &str, placers: u32, more: &str) -> PlacerProcess {
    let placer = PlacerProcess::with_files(&[], "");
    let path = placer.folder().join("placer.toml");
    let text = std::fs::read_to_string(&path).expect("file can be read");
    let list: Vec<String> = servers
        .addresses
        .iter()
        .map(|a| format!("\"{a}\""))
        .collect();
    let text = text
        .replace("inventory = \"hosts.toml\"", "")
        .replace("name = \"p0\"", &format!("name = \"{name}\""))
        .replace("placers = 1", &format!("placers = {placers}"))
        .replace(
            "[placing]",
            &format!(
                "[consul]\nservers = [{}]\nwait_ms = 1000\n{more}\n[placing]",
                list.join(", ")
            ),
        );
    std::fs::write(&path, text).expect("file can be written");
    placer
}

fn catalogue_gauges(placer: &PlacerProcess) -> Value {
    placer.client().call("GET", "/v1/status?full=1", "").1["gauges"]["catalogue"].clone()
}

fn wait_for_gauge(placer: &PlacerProcess, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let gauges = catalogue_gauges(placer);
        if condition(&gauges) {
            return gauges;
        }
        assert!(
            Instant::now() < until,
            "condition not met within {TEST_TIMEOUT:?}: {what}; {gauges}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn hosts_follow_the_catalogue() {
    let servers = Servers::start(EmulatorSettings::new(3)).expect("servers start");
    let (h1, h2) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    register_host(&servers, &h1, "passing");
    register_host(&servers, &h2, "passing");
    let mut placer = placer_with_catalogue(&servers, "p0", 1, "");
    let wait_until_serving = placer.start();
    let (mut l1, mut l2) = (h1.accept_and_greet(&[]), h2.accept_and_greet(&[]));
    wait_until_serving(&mut placer);
    assert_eq!(placer.status()["hosts_connected"], 2);
    // A critical host gets no new offers, while its tasks continue.
    register_host(&servers, &h1, "critical");
    wait_for_gauge(&placer, "the drain", |g| g["index"].as_u64() > Some(5));
    let mut client = placer.client();
    for n in 0..20 {
        client.send_placement(
            &placement_request("web-api", &format!("s{n}"), "a", 4000),
            &format!("{n}"),
        );
        let offer = l2.receive_offer();
        l2.send(&Frame::Accepted(offer.attempt_id, 1));
        assert_eq!(client.receive_json().1["host"], "h2");
    }
    assert!(l1.receive_all_within(Duration::from_millis(100)).is_empty());
    // A passing host gets offers again; the other host is deregistered.
    register_host(&servers, &h1, "passing");
    deregister_host(&servers, &h2);
    drop(l2);
    placer.wait_for_status("h2 is removed", |s| s["hosts"] == 1);
    client.send_placement(&placement_request("web-api", "s", "b", 4000), "b");
    let offer = l1.receive_offer();
    l1.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["host"], "h1");
}

#[test]
fn applies_drain_of_a_late_answer_as_soon_as_it_is_read() {
    // When the server wrote each answer, and whether it has the critical check.
    let answers: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let recorded = answers.clone();
    let watch = move |_: &str, _: u64, _: bool, body: &[u8]| {
        let drains = String::from_utf8_lossy(body).contains("\"critical\"");
        recorded
            .lock()
            .expect("lock is not poisoned")
            .push((Instant::now(), drains));
    };
    let settings = EmulatorSettings {
        answer_observer: Some(Arc::new(watch)),
        ..EmulatorSettings::new(1)
    };
    let servers = Servers::start(settings).expect("servers start");
    let (h1, h2) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    register_host(&servers, &h1, "passing");
    register_host(&servers, &h2, "passing");
    let mut placer = placer_with_catalogue(&servers, "p0", 1, "");
    let wait_until_serving = placer.start();
    let (mut l1, mut l2) = (h1.accept_and_greet(&[]), h2.accept_and_greet(&[]));
    wait_until_serving(&mut placer);
    // The blocking query and the read of the list are both delayed.
    let delay = Duration::from_secs(5);
    servers.set_faults(
        None,
        Faults {
            delay_us: delay.as_micros() as u64,
            ..Faults::default()
        },
    );
    register_host(&servers, &h1, "critical");
    // Requests continue meanwhile; the time of the last offer to the draining host is recorded.
    let mut client = placer.client();
    let until = Instant::now() + 2 * delay + Duration::from_secs(3);
    let (mut last_offer, mut n) = (None, 0);
    // Tasks end at once, so that the hosts always have free resources.
    let accept_and_end = |connection: &mut PlacerConnection, attempt: u64| {
        connection.send(&Frame::Accepted(attempt, 1));
        connection.send(&Frame::Ended(
            attempt,
            maplethread_wire::frame::Reason::Completed,
            true,
            None,
        ));
    };
    while Instant::now() < until {
        n += 1;
        client.send_placement(
            &placement_request("web-api", &format!("s{n}"), "a", 2000),
            &format!("{n}"),
        );
        loop {
            if let Some(Frame::Offer(offer)) = l1.receive_within(Duration::from_millis(2)) {
                last_offer = Some(Instant::now());
                accept_and_end(&mut l1, offer.attempt_id);
                break;
            }
            if let Some(Frame::Offer(offer)) = l2.receive_within(Duration::from_millis(2)) {
                accept_and_end(&mut l2, offer.attempt_id);
                break;
            }
        }
        assert_eq!(client.receive_json().1["outcome"], "placed");
    }
    let written = answers
        .lock()
        .expect("lock is not poisoned")
        .iter()
        .find(|t| t.1)
        .expect("answer with the drain")
        .0;
    let last = last_offer.expect("offer to the draining host");
    let margin = (written + Duration::from_secs(2)).saturating_duration_since(last);
    assert!(
        last < written + Duration::from_secs(2),
        "offered more than 2 s after the answer with the drain was written"
    );
    println!("margin to the end of the grace period: {margin:?}");
    assert!(
        margin > Duration::from_millis(1500),
        "drain applied late, {margin:?} before the end of the grace period"
    );
}

#[test]
fn keeps_hosts_when_lists_lag_are_empty_partial_or_foreign() {
    let servers = Servers::start(EmulatorSettings::new(3)).expect("servers start");
    let hosts: Vec<ScriptedHost> = (0..6)
        .map(|n| ScriptedHost::new(&format!("h{n}"), "a", "1"))
        .collect();
    hosts
        .iter()
        .for_each(|h| register_host(&servers, h, "passing"));
    let mut placer = placer_with_catalogue(&servers, "p0", 1, "reads = \"stale\"");
    let wait_until_serving = placer.start();
    let mut peers: Vec<PlacerConnection> = hosts.iter().map(|h| h.accept_and_greet(&[])).collect();
    wait_until_serving(&mut placer);
    for faults in [
        Faults {
            empty_lists: true,
            ..Faults::default()
        },
        Faults {
            partial_share: 0.2,
            ..Faults::default()
        },
        Faults {
            other_datacentre: true,
            ..Faults::default()
        },
        Faults {
            index_offset: 1000,
            ..Faults::default()
        },
        Faults {
            error_status: Some((500, 1.0)),
            ..Faults::default()
        },
        Faults {
            error_status: Some((429, 1.0)),
            ..Faults::default()
        },
        Faults {
            error_status: Some((403, 1.0)),
            ..Faults::default()
        },
        Faults {
            truncated_share: 1.0,
            ..Faults::default()
        },
    ] {
        let before = catalogue_gauges(&placer);
        let count = |g: &Value| {
            ["taken", "unchanged", "rejected", "failed"]
                .iter()
                .filter_map(|k| g[*k].as_u64())
                .sum::<u64>()
        };
        servers.set_faults(None, faults.clone());
        // A change of the list ends blocking queries, so that faulty answers arrive.
        register_host(&servers, &hosts[0], "warning");
        wait_for_gauge(&placer, "some answers", |g| count(g) >= count(&before) + 3);
        assert_eq!(placer.status()["hosts"], 6, "{faults:?}");
        let mut client = placer.client();
        client.send_placement(&placement_request("web-api", "s", "a", 2000), "x");
        let until = Instant::now() + TEST_TIMEOUT;
        'placed: while Instant::now() < until {
            for peer in &mut peers {
                if let Some(Frame::Offer(offer)) = peer.receive_within(Duration::from_millis(2)) {
                    peer.send(&Frame::Accepted(offer.attempt_id, 1));
                    peer.send(&Frame::Ended(
                        offer.attempt_id,
                        maplethread_wire::frame::Reason::Completed,
                        true,
                        None,
                    ));
                    break 'placed;
                }
            }
        }
        assert_eq!(client.receive_json().1["outcome"], "placed", "{faults:?}");
        servers.set_faults(None, Faults::default());
        register_host(&servers, &hosts[0], "passing");
        wait_for_gauge(&placer, "valid answers", |g| {
            g["age_ms"].as_u64() < Some(300)
        });
        placer.wait_for_status("no actors", |s| s["actors"] == 0);
    }
    // A lagging follower does not restore a host that has been removed.
    let index = catalogue_gauges(&placer)["index"].as_u64();
    deregister_host(&servers, &hosts[5]);
    placer.wait_for_status("h5 drains", |_| catalogue_gauges(&placer)["hosts"] == 5);
    assert!(catalogue_gauges(&placer)["index"].as_u64() > index);
    servers.set_faults(
        None,
        Faults {
            index_offset: 50,
            ..Faults::default()
        },
    );
    register_host(&servers, &hosts[0], "warning");
    wait_for_gauge(&placer, "rejections", |g| g["rejected"].as_u64() > Some(2));
    assert_eq!(catalogue_gauges(&placer)["hosts"], 5);
    // A removal that no other answer contradicts is applied, although none confirms it.
    servers.set_faults(None, Faults::default());
    for host in &hosts[1..] {
        deregister_host(&servers, host);
    }
    wait_for_gauge(&placer, "the loss", |g| g["hosts"] == 1);
}

#[test]
fn no_two_running_placers_share_a_slot_and_a_paused_one_gives_it_up() {
    let servers = Servers::start(EmulatorSettings::new(3)).expect("servers start");
    let host = ScriptedHost::new("h1", "a", "1");
    register_host(&servers, &host, "passing");
    let more = "[consul.membership]\nttl_ms = 1500\nlock_delay_ms = 1000\n";
    let mut placers: Vec<PlacerProcess> = (0..3)
        .map(|n| placer_with_catalogue(&servers, &format!("p{n}"), 2, more))
        .collect();
    for placer in &mut placers {
        let wait_until_serving = placer.start();
        let connection = host.accept_and_greet(&[]);
        wait_until_serving(placer);
        std::thread::spawn(move || {
            let mut connection = connection;
            while connection.receive_within(Duration::from_secs(30)).is_some() {}
        });
    }
    let slots = |placers: &[PlacerProcess]| -> Vec<Option<u64>> {
        placers
            .iter()
            .map(|p| catalogue_gauges(p)["slot"].as_u64())
            .collect()
    };
    let until = Instant::now() + TEST_TIMEOUT;
    let held = loop {
        let held = slots(&placers);
        if held.iter().flatten().count() == 2 {
            break held;
        }
        assert!(Instant::now() < until, "{held:?}");
        std::thread::sleep(Duration::from_millis(20));
    };
    let (paused, waiting) = (
        held.iter()
            .position(Option::is_some)
            .expect("placer with a slot"),
        held.iter()
            .position(Option::is_none)
            .expect("placer without a slot"),
    );
    assert_ne!(
        held[(waiting + 1) % 3],
        held[(waiting + 2) % 3],
        "two placers hold the same slot"
    );
    // The placers are registered in the catalogue with passing checks.
    let (_, list) = http_call(
        servers.addresses[1],
        "GET",
        "/v1/health/service/maplethread-placer?passing",
        "",
    );
    assert_eq!(
        serde_json::from_str::<Value>(&list)
            .expect("valid JSON")
            .as_array()
            .map(Vec::len),
        Some(3),
        "{list}"
    );
    // One is paused for longer than its session: the waiting one takes its slot after the lock delay...
    placers[paused].signal(Signal::STOP);
    wait_for_gauge(&placers[waiting], "the slot of the paused placer", |g| {
        g["slot"] == json!(held[paused])
    });
    // ...and when the first continues, it gives up the slot at once and does not show it again.
    placers[paused].signal(Signal::CONT);
    let log = placers[paused].log_text();
    let before = log.matches("placer slot changed").count();
    wait_for_gauge(&placers[paused], "no slot", |g| g["slot"].is_null());
    let log = placers[paused].log_text();
    assert!(log.matches("placer slot changed slot=None").count() > before.saturating_sub(2));
    assert_eq!(
        catalogue_gauges(&placers[waiting])["slot"],
        json!(held[paused])
    );
    // A killed placer's slot is released.
    placers[waiting].kill();
    wait_for_gauge(&placers[paused], "the released slot", |g| {
        !g["slot"].is_null()
    });
}

#[test]
fn blocked_tasks_start_within_warm_up_budgets_when_critical_hosts_return() {
    let servers = Servers::start(EmulatorSettings::new(3)).expect("servers start");
    let now = || {
        std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("clock is after the epoch")
            .as_millis() as u64
    };
    let mut hosts: Vec<ScriptedHost> = (0..4)
        .map(|n| ScriptedHost::new(&format!("h{n}"), "a", "1"))
        .collect();
    hosts
        .iter()
        .for_each(|h| register_host(&servers, h, "passing"));
    let mut placer = placer_with_catalogue(&servers, "p0", 1, "");
    let wait_until_serving = placer.start();
    let mut connections: Vec<PlacerConnection> =
        hosts.iter().map(|h| h.accept_and_greet(&[])).collect();
    wait_until_serving(&mut placer);
    hosts
        .iter()
        .for_each(|h| register_host(&servers, h, "critical"));
    placer.wait_for_status("all hosts drain", |_| {
        catalogue_gauges(&placer)["index"].as_u64() >= Some(12)
    });
    // Sixty requests while no host accepts offers: all stay open.
    let mut clients: Vec<Client> = (0..4).map(|_| placer.client()).collect();
    for n in 0..60 {
        clients[n % 4].send_placement(
            &placement_request("web-api", &format!("s{n}"), "a", 15_000),
            &format!("{n}"),
        );
    }
    placer.wait_for_status("all requests are open", |s| s["open_asks"] == 60);
    assert!(
        connections
            .iter_mut()
            .all(|l| l.receive_all_within(Duration::from_millis(30)).is_empty())
    );
    // Two hosts return unchanged, two as new processes, which are cold.
    for n in [2, 3] {
        hosts[n].started_ms = now();
        let connection = connections.remove(2);
        drop(connection.into_stream());
    }
    let started = hosts[2].started_ms;
    connections.extend(hosts[2..].iter().map(|h| h.accept_and_greet(&[])));
    hosts
        .iter()
        .for_each(|h| register_host(&servers, h, "passing"));
    let mut offers: Vec<Vec<u64>> = vec![Vec::new(); 4];
    let until = Instant::now() + TEST_TIMEOUT;
    while offers.iter().map(Vec::len).sum::<usize>() < 60 && Instant::now() < until {
        for (n, connection) in connections.iter_mut().enumerate() {
            while let Some(Frame::Offer(offer)) =
                connection.receive_within(Duration::from_millis(1))
            {
                offers[n].push(now());
                connection.send(&Frame::Accepted(offer.attempt_id, 1));
            }
        }
    }
    for client in &mut clients {
        for _ in 0..15 {
            assert_eq!(client.receive_json().1["outcome"], "placed");
        }
    }
    // The budget of a cold host is ten offers a second, of which at most nine are for this one placer.
    for times in &offers[2..] {
        for (i, &at) in times
            .iter()
            .enumerate()
            .filter(|(_, at)| **at < started + 2000)
        {
            let window = times[i..].iter().filter(|&&t| t < at + 950).count();
            assert!(window <= 10, "{window} offers within a second: {times:?}");
        }
    }
    assert!(offers[0].len() + offers[1].len() >= 40, "{offers:?}");
}

#[test]
fn finds_the_valid_host_among_five_thousand_invalid_entries() {
    let servers = Servers::start(EmulatorSettings::new(1)).expect("servers start");
    let host = ScriptedHost::new("h1", "a", "1");
    register_host(&servers, &host, "passing");
    let mut stream = TcpStream::connect(servers.addresses[0]).expect("server accepts connections");
    let answers = std::thread::spawn({
        let mut stream = stream.try_clone().expect("stream can be cloned");
        move || {
            let (mut registered, mut part) = (0, [0; 65536]);
            while registered < 5000 {
                let n = stream.read(&mut part).expect("answers can be read");
                registered += String::from_utf8_lossy(&part[..n])
                    .matches("HTTP/1.1 200")
                    .count();
                assert!(n > 0, "the server closed");
            }
        }
    });
    let long = "x".repeat(1 << 10);
    let huge = "y".repeat(900 << 10);
    for n in 0..5000 {
        // One in five entries is invalid only by its kind; the others are invalid in several ways.
        let meta = match n % 5 {
            0 => json!({"zone": "a", "cell": "c", "kind": "unheard-of", "started_ms": "1"}),
            1 => json!({"zone": "a", "cell": long, "kind": "std"}),
            2 => json!({"zone": "a", "cell": "c", "kind": "std", "started_ms": "-7"}),
            3 if n == 3 => json!({"zone": "a", "note": huge}),
            _ => json!({}),
        };
        let port = if n % 7 == 0 {
            json!(1_u64 << 40)
        } else {
            json!(7000)
        };
        let id = if n % 11 == 0 {
            "dup".to_owned()
        } else {
            format!("bad-{n}\u{1}<script>")
        };
        let body = json!({
            "Node": format!("n{n}"), "Address": "127.0.0.1",
            "Service": {"ID": id, "Service": "maplethread-host", "Port": port, "Meta": meta},
        })
        .to_string();
        write!(
            stream,
            "PUT /v1/catalog/register HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("request can be sent");
    }
    answers.join().expect("registration thread ends");
    let mut placer = placer_with_catalogue(&servers, "p0", 1, "");
    let wait_until_serving = placer.start();
    let mut connection = host.accept_and_greet(&[]);
    wait_until_serving(&mut placer);
    wait_for_gauge(&placer, "the one valid host", |g| g["hosts"] == 1);
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "a", 4000), "x");
    let offer = connection.receive_offer();
    connection.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["host"], "h1");
    let log = placer.log_text();
    assert!(
        log.contains("catalogue entries that can't be used count=100"),
        "expected a logged count of 100"
    );
    assert!(
        !log.contains('\u{1}'),
        "control characters of names are escaped in the log"
    );
}
