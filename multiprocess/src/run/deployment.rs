//! The processes and servers of a run: fake servers, store nodes and routers, and the fleet document.
use super::error::RunError;
use super::fleet_document::FleetDocument;
use super::links::Links;
use super::operator_file::{ConfigFile, FleetTable, StoreTable};
use super::routers::Routers;
use super::startup::POLL_INTERVAL;
use super::store_cluster::{StoreAddresses, StoreCluster};
use crate::addresses::free_addresses;
use crate::history::{ConfigVersion, Micros, Server, Tenant};
use crate::plan::{Group, Plan};
use crate::process::run_command;
use crate::report::ResourceFigures;
use crate::servers::Servers;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// How long writing the fleet document to the store is retried.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of addresses of a store node: one each for its control, clients, peers and allocator listener.
const ADDRESSES_PER_NODE: usize = 4;

/// The processes, servers, proxies and files of a run.
pub(super) struct Deployment<'a> {
    program: &'a Path,
    pub(super) plan: &'a Plan,
    folder: TempDir,
    run_start: Instant,
    pub(super) servers: Servers,
    pub(super) store: StoreCluster,
    pub(super) routers: Routers,
    pub(super) links: Links,
    pub(super) document: FleetDocument,
    /// The tenants with their configuration over time.
    pub(super) tenants: Vec<Tenant>,
}

impl<'a> Deployment<'a> {
    /// Starts all servers and processes, and waits until they are ready. Timestamps are relative to
    /// `run_start`.
    pub(super) fn start(
        program: &'a Path,
        plan: &'a Plan,
        run_start: Instant,
    ) -> Result<Deployment<'a>, RunError> {
        let names: Vec<String> = plan.tenants.iter().map(|tenant| tenant.name.clone()).collect();
        let service_time = Duration::from_secs_f64(plan.service_ms / 1000.0);
        let servers = Servers::start(list_servers(plan), &names, service_time, run_start)
            .map_err(RunError::system("cannot start a server"))?;
        let folder = tempfile::tempdir().map_err(RunError::system("cannot create a temporary folder"))?;
        let addresses = free_addresses(ADDRESSES_PER_NODE * plan.store_nodes);
        let addresses = StoreAddresses::new(
            plan.store_nodes,
            &addresses.map_err(RunError::system("cannot reserve addresses"))?,
        );
        let mut deployment = Deployment {
            program,
            plan,
            folder,
            run_start,
            servers,
            store: StoreCluster::new(program.to_path_buf(), addresses),
            routers: Routers::new(program.to_path_buf(), plan.routers, plan.seed, run_start),
            links: Links::default(),
            document: FleetDocument::new(plan),
            tenants: names.into_iter().map(|name| Tenant { name, ..Tenant::default() }).collect(),
        };
        deployment.start_store()?;
        if plan.follows_fleet {
            deployment.write_document()?;
        } else {
            // Without a fleet document, the plan's configuration is in force from the start.
            deployment.record_configuration(0, 0);
        }
        deployment.start_routers()?;
        Ok(deployment)
    }

    /// Writes the configuration files of the store nodes, starts the nodes and waits for a leader.
    fn start_store(&mut self) -> Result<(), RunError> {
        for index in 0..self.plan.store_nodes {
            let file = self.write_file(&format!("node-{index}.toml"), &self.node_file(index).to_string())?;
            self.store.add_node(file)?;
        }
        self.store.wait_until_ready()
    }

    fn node_file(&self, index: usize) -> ConfigFile {
        let addresses = &self.store.addresses;
        let store = StoreTable {
            node: index + 1,
            folder: self.folder.path().join(format!("store-{index}")),
            control: addresses.controls[index],
            clients: addresses.clients[index],
            peers: addresses.peers.clone(),
        };
        let listen = Some(addresses.allocators[index]);
        let name = format!("node-{}", index + 1);
        ConfigFile {
            routers: self.plan.routers,
            with_sites: self.plan.follows_fleet,
            servers: self.servers.listening.clone(),
            store: Some(store),
            fleet: self.fleet_table(name, None, addresses, listen),
        }
    }

    /// Writes the configuration files of the routers and starts the routers.
    fn start_routers(&mut self) -> Result<(), RunError> {
        self.links = Links::start(self.plan, &self.servers, &self.store.addresses);
        for index in 0..self.plan.routers {
            let text = self.router_file(index).to_string();
            let file = self.write_file(&format!("router-{index}.toml"), &text)?;
            self.routers.add(file);
        }
        self.routers.start_all()
    }

    fn router_file(&self, index: usize) -> ConfigFile {
        let addresses = self.links.store_of(index, &self.store.addresses);
        let name = format!("router-{index}");
        ConfigFile {
            routers: self.plan.routers,
            with_sites: self.plan.follows_fleet,
            servers: self.links.servers_of(index, &self.servers),
            store: None,
            fleet: self.fleet_table(name, Some(index + 1), &addresses, None),
        }
    }

    /// Returns the `[fleet]` table of a member; `None` if the plan has no fleet document.
    fn fleet_table(
        &self,
        name: String,
        slot: Option<usize>,
        store: &StoreAddresses,
        listen: Option<SocketAddr>,
    ) -> Option<FleetTable> {
        let (nodes, allocators) = (store.clients.clone(), store.allocators.clone());
        self.plan.follows_fleet.then_some(FleetTable { name, slot, nodes, allocators, listen })
    }

    fn write_file(&self, name: &str, text: &str) -> Result<PathBuf, RunError> {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).map_err(RunError::system("cannot write a configuration file"))?;
        Ok(path)
    }

    /// Writes the fleet document to the store, and records from which time its values are in force.
    pub(super) fn write_document(&mut self) -> Result<(), RunError> {
        let file = self.write_file("fleet.toml", &self.document.to_string())?.display().to_string();
        let clients: Vec<String> = self.store.addresses.clients.iter().map(SocketAddr::to_string).collect();
        let clients = clients.join(",");
        let requested = self.now();
        let deadline = Instant::now() + DOCUMENT_TIMEOUT;
        // The command fails while the store has no leader. The command is idempotent, so it can be retried.
        while let Err(e) = run_command(self.program, &["fleet", "set", &file, "--store", &clients]) {
            if Instant::now() > deadline {
                return Err(e.into());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.record_configuration(requested, self.now());
        Ok(())
    }

    fn record_configuration(&mut self, requested: Micros, committed: Micros) {
        for (config, tenant) in self.document.tenants().iter().zip(&mut self.tenants) {
            let quota = ConfigVersion { requested, committed, value: config.quota_limit() };
            let placement = ConfigVersion { requested, committed, value: config.allowed_sites() };
            tenant.quotas.push(quota);
            tenant.placements.push(placement);
        }
    }

    /// Returns the current resource usage of all processes.
    pub(super) fn resource_figures(&self, store_bytes_per_s: Option<f64>) -> ResourceFigures {
        let routers = self.routers.resource_usage();
        ResourceFigures { routers, store_nodes: self.store.resource_usage(), store_bytes_per_s }
    }

    fn now(&self) -> Micros {
        self.run_start.elapsed().as_micros() as Micros
    }
}

/// Returns all servers of a plan in group order, each group's primary first.
fn list_servers(plan: &Plan) -> Vec<Server> {
    (0..).zip(&plan.groups).flat_map(|(number, group)| list_group(number, group)).collect()
}

fn list_group(group: u32, Group { primary, replicas }: &Group) -> Vec<Server> {
    let server = |name: String, site: &String, primary| Server { name, site: site.clone(), group, primary };
    let mut servers = vec![server(format!("g{group}-primary"), primary, true)];
    let replicas = (1..).zip(replicas);
    servers.extend(replicas.map(|(n, site): (u32, _)| server(format!("g{group}-replica-{n}"), site, false)));
    servers
}
