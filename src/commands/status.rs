//! `status`: replicas, hosts, leases, members, and the configuration on each node.

use wire::admin::NodeStatus;

use super::CommandEnd;
use crate::client::AdminClient;
use crate::options::{OperatorAccess, OutputFormat};
use crate::output::{TextTable, print_json};

/// Prints the status of every node, and the replicas as the first one sees them.
///
/// # Errors
///
/// When no node can be reached.
pub async fn print_status(access: &OperatorAccess) -> eyre::Result<CommandEnd> {
    let client = AdminClient::new(access)?;
    let first = client.status().await?;
    let mut all = Vec::new();
    let mut silent = Vec::new();
    for address in client.all_nodes().await {
        match client.status_of(address).await {
            Ok(status) => all.push(status),
            Err(error) => silent.push(format!("{address}: {error}")),
        }
    }
    if access.format == OutputFormat::Json {
        print_json(&all)?;
        return Ok(CommandEnd::Done);
    }
    print!("{}", node_table(&all, access.terminal));
    for node in silent {
        println!("no answer: {node}");
    }
    println!();
    print!("{}", replica_table(&first, access.terminal));
    let stranded: Vec<&str> = first
        .stranded_hosts
        .iter()
        .map(domain::HostId::as_str)
        .collect();
    println!(
        "\nstranded hosts: {} ({})",
        stranded.len(),
        stranded.join(", ")
    );
    println!(
        "since the start of {}: group downtime {:.0} s, stranded {:.0} host-seconds",
        first.node, first.group_downtime_seconds, first.stranded_seconds
    );
    for record in &first.unknown_records {
        println!("not understood by {}: {record}", first.node);
    }
    Ok(CommandEnd::Done)
}

fn node_table(all: &[NodeStatus], terminal: bool) -> String {
    let mut table = TextTable::new(
        &["NODE", "READY", "REVISION", "LEASES", "STANDING"],
        terminal,
    );
    for status in all {
        table.row(vec![
            status.node.to_string(),
            if status.ready { "yes" } else { "no" }.to_owned(),
            status.revision.to_string(),
            status.leases.join(","),
            status.readiness.clone(),
        ]);
    }
    table.text()
}

fn replica_table(status: &NodeStatus, terminal: bool) -> String {
    let head = ["REPLICA", "MODEL", "VERSION", "STATE", "HOSTS"];
    let mut table = TextTable::new(&head, terminal);
    for replica in &status.replicas {
        let hosts: Vec<&str> = replica.hosts.iter().map(domain::HostId::as_str).collect();
        table.row(vec![
            format!("{}/{}", replica.replica, replica.incarnation),
            replica.model.to_string(),
            replica.version.to_string(),
            replica.state.as_str().to_owned(),
            hosts.join(","),
        ]);
    }
    table.text()
}
