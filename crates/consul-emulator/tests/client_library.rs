//! A public Consul client library works with the emulator: it registers, reads health with a blocking query, acquires a
//! lock and reads it back.

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
        .expect("registration succeeds");
    let request = || GetServiceNodesRequest {
        service: "maplethread-host",
        near: None,
        passing: true,
        filter: None,
    };
    let first = consul
        .get_service_nodes(request(), None)
        .await
        .expect("read succeeds");
    assert_eq!(first.response.len(), 1);
    assert_eq!(
        (
            first.response[0].node.node.as_str(),
            first.response[0].service.port
        ),
        ("n1", 7000)
    );
    assert!(first.index > 0);
    // A blocking query returns when the service has changed, and not earlier.
    let options = QueryOptions {
        index: Some(first.index),
        wait: Some(Duration::from_secs(20)),
        timeout: Some(Duration::from_secs(30)),
        ..QueryOptions::default()
    };
    let start = Instant::now();
    let register = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        consul
            .register_entity(&payload("n2"))
            .await
            .expect("registration succeeds");
    };
    let (second, ()) = tokio::join!(consul.get_service_nodes(request(), Some(options)), register);
    let second = second.expect("read succeeds");
    assert!(
        start.elapsed() >= Duration::from_millis(190) && start.elapsed() < Duration::from_secs(15)
    );
    assert_eq!(second.response.len(), 2);
    assert!(second.index > first.index);
    // A lock is acquired and read back; a second client cannot acquire it.
    let lock = LockRequest {
        key: "maplethread/slots/0",
        ..LockRequest::default()
    };
    let lock_guard = consul.get_lock(lock, b"me").await.expect("lock acquired");
    assert!(consul.get_lock(lock, b"another").await.is_err());
    let key = ReadKeyRequest {
        key: "maplethread/slots/0",
        ..ReadKeyRequest::default()
    };
    let read = consul.read_key(key.clone()).await.expect("read succeeds");
    assert_eq!(read.response[0].value.as_deref(), Some("me"));
    assert_eq!(
        read.response[0].session.as_deref(),
        Some(lock_guard.session_id.as_str())
    );
    drop(lock_guard);
}

#[test]
fn public_client_library_works_against_the_emulator() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime created");
    let servers = Servers::start(EmulatorSettings::new(3)).expect("servers started");
    runtime.block_on(exercise_client(
        format!("http://{}", servers.addresses[0]),
        None,
    ));
    // With tokens configured, only the token with write permission can register.
    let tokens = vec![("writer".to_owned(), true), ("reader".to_owned(), false)];
    let servers = Servers::start(EmulatorSettings {
        tokens,
        ..EmulatorSettings::new(1)
    })
    .expect("servers started");
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
