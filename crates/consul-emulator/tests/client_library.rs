//! A public Consul client library works against the stand-in: it registers, reads health with a blocking query, takes
//! a lock and reads it back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use maplethread_consul_emulator::{EmulatorSettings, Servers};
use rs_consul::types::{
    GetServiceNodesRequest, LockRequest, QueryOptions, ReadKeyRequest, RegisterEntityPayload,
    RegisterEntityService,
};
use rs_consul::{Config, Consul};

fn payload(node: &str) -> RegisterEntityPayload {
    let service = RegisterEntityService {
        ID: Some(format!("host-{node}")),
        Service: "maplethread-host".to_owned(),
        Tags: vec![],
        TaggedAddresses: HashMap::new(),
        Meta: HashMap::from([("zone".to_owned(), "a".to_owned())]),
        Port: Some(7000),
        Namespace: None,
    };
    RegisterEntityPayload {
        ID: None,
        Node: node.to_owned(),
        Address: "127.0.0.1".to_owned(),
        Datacenter: None,
        TaggedAddresses: HashMap::new(),
        NodeMeta: HashMap::new(),
        Service: Some(service),
        Checks: vec![],
        SkipNodeUpdate: None,
    }
}

async fn exercise_client(address: String, token: Option<String>) {
    let mut config = Config {
        address,
        token,
        ..Config::default()
    };
    config.hyper_builder.pool_max_idle_per_host(0);
    let consul = Consul::new(config);
    consul
        .register_entity(&payload("n1"))
        .await
        .expect("registered");
    let request = || GetServiceNodesRequest {
        service: "maplethread-host",
        near: None,
        passing: true,
        filter: None,
    };
    let first = consul
        .get_service_nodes(request(), None)
        .await
        .expect("read");
    assert_eq!(first.response.len(), 1);
    assert_eq!(
        (
            first.response[0].node.node.as_str(),
            first.response[0].service.port
        ),
        ("n1", 7000)
    );
    assert!(first.index > 0);
    // A blocking query comes back when the service has changed, and not before.
    let options = QueryOptions {
        index: Some(first.index),
        wait: Some(Duration::from_secs(20)),
        timeout: Some(Duration::from_secs(30)),
        ..QueryOptions::default()
    };
    let from = Instant::now();
    let register = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        consul
            .register_entity(&payload("n2"))
            .await
            .expect("registered");
    };
    let (second, ()) = tokio::join!(consul.get_service_nodes(request(), Some(options)), register);
    let second = second.expect("read");
    assert!(
        from.elapsed() >= Duration::from_millis(190) && from.elapsed() < Duration::from_secs(15)
    );
    assert_eq!(second.response.len(), 2);
    assert!(second.index > first.index);
    // A lock, read back; nobody else gets it meanwhile.
    let lock = LockRequest {
        key: "maplethread/slots/0",
        ..LockRequest::default()
    };
    let held = consul.get_lock(lock, b"me").await.expect("locked");
    assert!(consul.get_lock(lock, b"another").await.is_err());
    let key = ReadKeyRequest {
        key: "maplethread/slots/0",
        ..ReadKeyRequest::default()
    };
    let read = consul.read_key(key.clone()).await.expect("read");
    assert_eq!(read.response[0].value.as_deref(), Some("me"));
    assert_eq!(
        read.response[0].session.as_deref(),
        Some(held.session_id.as_str())
    );
    drop(held);
}

#[test]
fn public_client_library_works_against_the_emulator() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let servers = Servers::start(EmulatorSettings::new(3)).expect("servers");
    runtime.block_on(exercise_client(
        format!("http://{}", servers.addresses[0]),
        None,
    ));
    // With tokens: only those that may.
    let tokens = vec![("writer".to_owned(), true), ("reader".to_owned(), false)];
    let servers = Servers::start(EmulatorSettings {
        tokens,
        ..EmulatorSettings::new(1)
    })
    .expect("servers");
    let address = format!("http://{}", servers.addresses[0]);
    runtime.block_on(exercise_client(address.clone(), Some("writer".to_owned())));
    for token in [None, Some("reader".to_owned())] {
        let consul = Consul::new(Config {
            address: address.clone(),
            token,
            ..Config::default()
        });
        assert!(
            runtime
                .block_on(consul.register_entity(&payload("n3")))
                .is_err()
        );
    }
}
