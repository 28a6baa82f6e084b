//! The replicated state of the servers. It is changed only by commands, so that a follower's state is the leader's
//! state after an earlier command.

use std::collections::BTreeMap;

use serde_json::{Map, Value, json};

use crate::server::LockEvent;

/// A command that changes the state.
#[derive(Clone, Debug)]
pub enum Command {
    /// Registers a node with its address and metadata, and optionally a service and checks on it.
    Register {
        node: String,
        address: String,
        meta: Value,
        service: Option<Service>,
        checks: Vec<Check>,
    },
    /// Deregisters a service of a node, or the node with all its services.
    Deregister {
        node: String,
        service: Option<String>,
    },
    /// Sets the status of a check.
    SetCheckStatus {
        node: String,
        check: String,
        status: String,
        output: String,
    },
    /// Deregisters a check.
    DeregisterCheck { node: String, check: String },
    /// Creates a session.
    CreateSession(Session),
    /// Ends a session at this time, µs, and releases its locks.
    EndSession { session: String, at: u64 },
    /// Sets the value (base64) of a key, and changes its lock.
    PutKey {
        key: String,
        value: String,
        flags: u64,
        lock: LockChange,
    },
    /// Deletes a key, or all keys with a prefix.
    DeleteKeys { key: String, recurse: bool },
    /// Sets an agent's status in the gossip pool.
    SetMember {
        name: String,
        address: String,
        status: i64,
    },
}

/// The change of a key's lock by a put.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LockChange {
    /// The lock is not changed.
    Unchanged,
    /// The session acquires the lock.
    Acquire(String),
    /// The session releases the lock.
    Release(String),
}

/// A service instance, as registered.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its id, unique on its node.
    pub id: String,
    /// The name of the service.
    pub name: String,
    /// Its address; empty for the address of its node.
    pub address: String,
    /// Its port.
    pub port: i64,
    /// Its tags, an array.
    pub tags: Value,
    /// Its metadata, an object.
    pub meta: Value,
    /// `EnableTagOverride`.
    pub override_tags: bool,
}

/// A check of a node or of a service instance.
#[derive(Clone, Debug)]
pub struct Check {
    /// Its id, unique on its node.
    pub id: String,
    /// Its name.
    pub name: String,
    /// `passing`, `warning` or `critical`.
    pub status: String,
    /// The text of its last update.
    pub output: String,
    /// The id of its service instance; empty for a check of the node.
    pub service_id: String,
    /// The name of its service; empty for a check of the node.
    pub service_name: String,
    /// The check becomes critical if it is not renewed within this time, µs.
    pub ttl: Option<u64>,
}

/// A session, which holds locks on keys.
#[derive(Clone, Debug)]
pub struct Session {
    /// Its id, a UUID.
    pub id: String,
    /// Its name.
    pub name: String,
    /// The node that it belongs to.
    pub node: String,
    /// The session ends if it is not renewed within this time, µs; 0 for no limit.
    pub ttl: u64,
    /// After the session ends, its keys cannot be locked for this time, µs.
    pub lock_delay: u64,
    /// `release` or `delete`: what happens to its keys when it ends.
    pub behavior: String,
}

#[derive(Clone, Debug)]
struct Node {
    address: String,
    meta: Value,
    created: u64,
    modified: u64,
}

#[derive(Clone, Debug)]
struct ServiceInstance {
    service: Service,
    created: u64,
    modified: u64,
}

#[derive(Clone, Debug)]
struct RegisteredCheck {
    check: Check,
    created: u64,
    modified: u64,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    value: String,
    flags: u64,
    session: Option<String>,
    locks: u64,
    created: u64,
    modified: u64,
}

/// The state after a number of commands.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The index of the last applied command.
    pub index: u64,
    nodes: BTreeMap<String, Node>,
    instances: BTreeMap<(String, String), ServiceInstance>,
    checks_by_id: BTreeMap<(String, String), RegisteredCheck>,
    /// Sessions by id, with their create indexes.
    pub sessions: BTreeMap<String, (Session, u64)>,
    keys: BTreeMap<String, KeyEntry>,
    /// For each key, the time until which it cannot be locked, µs.
    lock_delays: BTreeMap<String, u64>,
    members: BTreeMap<String, (String, i64)>,
    service_index: BTreeMap<String, u64>,
    nodes_index: u64,
    checks_index: u64,
    keys_index: u64,
    sessions_index: u64,
}

impl State {
    /// Applies a command under the next index.
    pub fn apply(&mut self, command: &Command) {
        self.index += 1;
        let index = self.index;
        match command {
            Command::Register {
                node,
                address,
                meta,
                service,
                checks,
            } => {
                let current = self
                    .nodes
                    .get(node)
                    .map(|n| (n.address == *address && n.meta == *meta, n.created));
                if current.is_none_or(|(is_unchanged, _)| !is_unchanged) {
                    let created = current.map_or(index, |(_, created)| created);
                    let entry = Node {
                        address: address.clone(),
                        meta: meta.clone(),
                        created,
                        modified: index,
                    };
                    self.nodes.insert(node.clone(), entry);
                    self.nodes_index = index;
                    self.touch_node(node);
                }
                if let Some(service) = service {
                    let key = (node.clone(), service.id.clone());
                    let created = self.instances.get(&key).map_or(index, |i| i.created);
                    self.touch_service(&service.name);
                    self.instances.insert(
                        key,
                        ServiceInstance {
                            service: service.clone(),
                            created,
                            modified: index,
                        },
                    );
                }
                for check in checks {
                    let key = (node.clone(), check.id.clone());
                    let created = self.checks_by_id.get(&key).map_or(index, |p| p.created);
                    self.checks_by_id.insert(
                        key,
                        RegisteredCheck {
                            check: check.clone(),
                            created,
                            modified: index,
                        },
                    );
                    self.touch_check(node, &check.service_name.clone());
                }
            }
            Command::Deregister {
                node,
                service: Some(id),
            } => {
                if let Some(removed) = self.instances.remove(&(node.clone(), id.clone())) {
                    self.touch_service(&removed.service.name);
                }
                self.checks_by_id
                    .retain(|(n, _), p| n != node || p.check.service_id != *id);
                self.checks_index = index;
            }
            Command::Deregister {
                node,
                service: None,
            } => {
                self.touch_node(node);
                self.nodes.remove(node);
                self.instances.retain(|(n, _), _| n != node);
                self.checks_by_id.retain(|(n, _), _| n != node);
                (self.nodes_index, self.checks_index) = (index, index);
            }
            Command::SetCheckStatus {
                node,
                check,
                status,
                output,
            } => {
                let mut changed_service = None;
                if let Some(registered) = self.checks_by_id.get_mut(&(node.clone(), check.clone()))
                    && (registered.check.status != *status || registered.check.output != *output)
                {
                    (registered.check.status, registered.check.output) =
                        (status.clone(), output.clone());
                    registered.modified = index;
                    changed_service = Some(registered.check.service_name.clone());
                }
                if let Some(service) = changed_service {
                    self.touch_check(node, &service);
                }
            }
            Command::DeregisterCheck { node, check } => {
                if let Some(removed) = self.checks_by_id.remove(&(node.clone(), check.clone())) {
                    self.touch_check(node, &removed.check.service_name);
                }
            }
            Command::CreateSession(session) => {
                self.sessions
                    .insert(session.id.clone(), (session.clone(), index));
                self.sessions_index = index;
            }
            Command::EndSession { session, at } => {
                let Some((ended, _)) = self.sessions.remove(session) else {
                    return;
                };
                self.sessions_index = index;
                let mut deleted_keys = Vec::new();
                for (name, key) in &mut self.keys {
                    if key.session.as_deref() == Some(session) {
                        key.session = None;
                        key.modified = index;
                        self.keys_index = index;
                        self.lock_delays.insert(name.clone(), at + ended.lock_delay);
                        if ended.behavior == "delete" {
                            deleted_keys.push(name.clone());
                        }
                    }
                }
                deleted_keys
                    .iter()
                    .for_each(|name| drop(self.keys.remove(name)));
            }
            Command::PutKey {
                key,
                value,
                flags,
                lock,
            } => {
                let entry = self.keys.entry(key.clone()).or_insert(KeyEntry {
                    value: String::new(),
                    flags: 0,
                    session: None,
                    locks: 0,
                    created: index,
                    modified: index,
                });
                (entry.value, entry.flags, entry.modified) = (value.clone(), *flags, index);
                match lock {
                    LockChange::Unchanged => {}
                    LockChange::Acquire(session) => {
                        entry.locks += u64::from(entry.session.as_ref() != Some(session));
                        entry.session = Some(session.clone());
                    }
                    LockChange::Release(_) => entry.session = None,
                }
                self.keys_index = index;
            }
            Command::DeleteKeys { key, recurse } => {
                self.keys.retain(|name, _| {
                    if *recurse {
                        !name.starts_with(key.as_str())
                    } else {
                        name != key
                    }
                });
                self.keys_index = index;
            }
            Command::SetMember {
                name,
                address,
                status,
            } => {
                self.members
                    .insert(name.clone(), (address.clone(), *status));
            }
        }
    }

    /// Reports the lock changes of a command that is about to be applied.
    pub fn notify_lock_events(&self, command: &Command, observe: &dyn Fn(LockEvent<'_>)) {
        match command {
            Command::PutKey {
                key,
                lock: LockChange::Acquire(session),
                ..
            } if !self.holds_lock(key, session) => {
                if let Some((session, _)) = self.sessions.get(session) {
                    observe(LockEvent::Locked(key, &session.name));
                }
            }
            Command::PutKey {
                key,
                lock: LockChange::Release(_),
                ..
            } => observe(LockEvent::Released(key, 0)),
            Command::EndSession { session, .. } => {
                let delay = self.sessions.get(session).map_or(0, |(s, _)| s.lock_delay);
                for key in self.keys.keys().filter(|key| self.holds_lock(key, session)) {
                    observe(LockEvent::Released(key, delay));
                }
            }
            _ => {}
        }
    }

    fn touch_service(&mut self, service: &str) {
        self.service_index.insert(service.to_owned(), self.index);
    }

    fn touch_node(&mut self, node: &str) {
        let names: Vec<String> = self
            .instances
            .iter()
            .filter(|((n, _), _)| n == node)
            .map(|(_, i)| i.service.name.clone())
            .collect();
        names.iter().for_each(|name| self.touch_service(name));
    }

    /// Updates the indexes after a change of a check of a service, or of a node with all its services.
    fn touch_check(&mut self, node: &str, service: &str) {
        self.checks_index = self.index;
        if service.is_empty() {
            self.touch_node(node)
        } else {
            self.touch_service(service)
        }
    }

    /// Whether a session may lock a key at this time.
    pub fn can_lock(&self, key: &str, session: &str, now: u64) -> bool {
        let delayed = self.lock_delays.get(key).is_some_and(|&until| until > now);
        let holder = self.keys.get(key).and_then(|k| k.session.as_deref());
        self.sessions.contains_key(session)
            && (holder == Some(session) || (holder.is_none() && !delayed))
    }

    /// Whether a session holds the lock of a key.
    pub fn holds_lock(&self, key: &str, session: &str) -> bool {
        self.keys
            .get(key)
            .is_some_and(|k| k.session.as_deref() == Some(session))
    }

    /// The modify index of a key; 0 if the key does not exist.
    pub fn modify_index(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.modified)
    }

    /// Checks with a TTL: node and check id, TTL in µs, and status.
    pub fn ttl_checks(&self) -> impl Iterator<Item = (&(String, String), u64, &str)> {
        self.checks_by_id
            .iter()
            .filter_map(|(key, p)| Some((key, p.check.ttl?, p.check.status.as_str())))
    }

    /// Whether a check exists.
    pub fn has_check(&self, node: &str, check: &str) -> bool {
        self.checks_by_id
            .contains_key(&(node.to_owned(), check.to_owned()))
    }

    /// The name of the service of a service instance.
    pub fn service_name(&self, node: &str, id: &str) -> Option<&str> {
        self.instances
            .get(&(node.to_owned(), id.to_owned()))
            .map(|i| i.service.name.as_str())
    }

    /// The index that a blocking query of a service waits on.
    pub fn service_index(&self, service: &str) -> u64 {
        self.service_index
            .get(service)
            .copied()
            .unwrap_or(self.index.min(1))
    }

    /// The index of the list of nodes.
    pub fn nodes_index(&self) -> u64 {
        self.nodes_index.max(1)
    }

    /// The index of the list of checks.
    pub fn checks_index(&self) -> u64 {
        self.checks_index.max(1)
    }

    /// The index of the list of keys.
    pub fn keys_index(&self) -> u64 {
        self.keys_index.max(1)
    }

    fn node_json(&self, name: &str, dc: &str) -> Value {
        let Some(node) = self.nodes.get(name) else {
            return Value::Null;
        };
        json!({
            "ID": uuid(name), "Node": name, "Address": node.address, "Datacenter": dc,
            "TaggedAddresses": {"lan": node.address, "wan": node.address}, "Meta": node.meta,
            "CreateIndex": node.created, "ModifyIndex": node.modified,
        })
    }

    fn check_json(node: &str, registered: &RegisteredCheck) -> Value {
        let c = &registered.check;
        json!({
            "Node": node, "CheckID": c.id, "Name": c.name, "Status": c.status, "Notes": "", "Output": c.output,
            "ServiceID": c.service_id, "ServiceName": c.service_name, "ServiceTags": [],
            "Type": if c.ttl.is_some() { "ttl" } else { "" }, "Definition": {},
            "CreateIndex": registered.created, "ModifyIndex": registered.modified,
        })
    }

    /// Entries of `/v1/health/service/:name`.
    pub fn health_service(&self, service: &str, dc: &str, passing: bool) -> Vec<Value> {
        let entry_of = |(node, id): &(String, String), instance: &ServiceInstance| {
            let s = &instance.service;
            let checks = self.checks_by_id.range((node.clone(), String::new())..);
            let checks = checks.take_while(|((n, _), _)| n == node);
            let checks: Vec<Value> = checks
                .filter(|(_, p)| p.check.service_id.is_empty() || p.check.service_id == *id)
                .map(|(_, p)| Self::check_json(node, p))
                .collect();
            let entry = json!({
                "Node": self.node_json(node, dc),
                "Service": {
                    "ID": s.id, "Service": s.name, "Tags": s.tags, "Address": s.address, "Meta": s.meta, "Port": s.port,
                    "TaggedAddresses": {}, "Weights": {"Passing": 1, "Warning": 1}, "EnableTagOverride": s.override_tags,
                    "Proxy": {"Mode": "", "MeshGateway": {}, "Expose": {}}, "Connect": {}, "PeerName": "",
                    "CreateIndex": instance.created, "ModifyIndex": instance.modified,
                },
                "Checks": checks,
            });
            let is_passing = checks.iter().all(|c| c["Status"] == "passing");
            (is_passing || !passing).then_some(entry)
        };
        self.instances
            .iter()
            .filter(|(_, i)| i.service.name == service)
            .filter_map(|(key, instance)| entry_of(key, instance))
            .collect()
    }

    /// Entries of `/v1/catalog/service/:name`.
    pub fn catalog_service(&self, service: &str, dc: &str) -> Vec<Value> {
        let entry_of = |(node, _): &(String, String), i: &ServiceInstance| {
            let s = &i.service;
            let n = self.node_json(node, dc);
            json!({
                "ID": n["ID"], "Node": node, "Address": n["Address"], "Datacenter": dc,
                "TaggedAddresses": n["TaggedAddresses"], "NodeMeta": n["Meta"], "ServiceID": s.id, "ServiceName": s.name,
                "ServiceTags": s.tags, "ServiceAddress": s.address, "ServiceMeta": s.meta, "ServicePort": s.port,
                "ServiceWeights": {"Passing": 1, "Warning": 1}, "ServiceEnableTagOverride": s.override_tags,
                "ServiceProxy": {}, "ServiceConnect": {}, "CreateIndex": i.created, "ModifyIndex": i.modified,
            })
        };
        self.instances
            .iter()
            .filter(|(_, i)| i.service.name == service)
            .map(|(key, instance)| entry_of(key, instance))
            .collect()
    }

    /// Entries of `/v1/catalog/nodes`.
    pub fn catalog_nodes(&self, dc: &str) -> Vec<Value> {
        self.nodes
            .keys()
            .map(|name| self.node_json(name, dc))
            .collect()
    }

    /// Entries of `/v1/health/node/:node`, or of `/v1/health/state/:state`.
    pub fn checks(&self, node: Option<&str>, state: Option<&str>) -> Vec<Value> {
        let is_selected = |(n, _): &(String, String), p: &RegisteredCheck| {
            node.is_none_or(|node| node == n)
                && state.is_none_or(|s| s == "any" || s == p.check.status)
        };
        self.checks_by_id
            .iter()
            .filter(|(key, check)| is_selected(key, check))
            .map(|(k, p)| Self::check_json(&k.0, p))
            .collect()
    }

    /// Entries of `/v1/agent/members`.
    pub fn members(&self) -> Vec<Value> {
        let entry_of = |(name, (address, status)): (&String, &(String, i64))| {
            json!({
                "Name": name, "Addr": address, "Port": 8301, "Tags": {"role": "node"}, "Status": status,
                "ProtocolMin": 1, "ProtocolMax": 5, "ProtocolCur": 2, "DelegateMin": 2, "DelegateMax": 5, "DelegateCur": 4,
            })
        };
        self.members.iter().map(entry_of).collect()
    }

    /// A session, as returned by `/v1/session/info`.
    pub fn session(&self, id: &str) -> Option<Value> {
        let (s, created) = self.sessions.get(id)?;
        Some(json!({
            "ID": s.id, "Name": s.name, "Node": s.node, "LockDelay": s.lock_delay * 1000, "Behavior": s.behavior,
            "TTL": format!("{}ms", s.ttl / 1000), "NodeChecks": [], "ServiceChecks": null,
            "CreateIndex": created, "ModifyIndex": created,
        }))
    }

    /// Entries of `/v1/kv/:key`, for a key or for all keys with that prefix.
    pub fn keys(&self, key: &str, recurse: bool) -> Vec<Value> {
        let is_selected = |name: &str| {
            if recurse {
                name.starts_with(key)
            } else {
                name == key
            }
        };
        let entry_of = |(name, k): (&String, &KeyEntry)| {
            let mut entry = Map::new();
            entry.insert("LockIndex".into(), json!(k.locks));
            entry.insert("Key".into(), json!(name));
            entry.insert("Flags".into(), json!(k.flags));
            entry.insert("Value".into(), json!(k.value));
            if let Some(session) = &k.session {
                entry.insert("Session".into(), json!(session));
            }
            entry.insert("CreateIndex".into(), json!(k.created));
            entry.insert("ModifyIndex".into(), json!(k.modified));
            Value::Object(entry)
        };
        self.keys
            .iter()
            .filter(|(name, _)| is_selected(name))
            .map(entry_of)
            .collect()
    }
}

/// A UUID derived from a name; the same name gives the same UUID.
pub fn uuid(name: &str) -> String {
    let mut h = (0xcbf2_9ce4_8422_2325_u64, 0x9e37_79b9_7f4a_7c15_u64);
    for b in name.bytes() {
        h.0 = (h.0 ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
        h.1 = (h.1 ^ h.0)
            .rotate_left(17)
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    let (a, b) = h;
    format!(
        "{:08x}-{:04x}-4{:03x}-8{:03x}-{:012x}",
        a >> 32,
        (a >> 16) & 0xffff,
        a & 0xfff,
        b >> 52,
        b & 0xffff_ffff_ffff
    )
}
