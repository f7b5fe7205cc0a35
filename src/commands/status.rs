//! The command `status`, which prints the state of the nodes and of the replicas.

use wire::admin::NodeStatus;

use super::CommandStatus;
use crate::client::AdminClient;
use crate::options::{AdminAccess, OutputFormat};
use crate::output::{TextTable, print_json};

/// Prints the status of every node, and the replicas and hosts as the first reachable node sees
/// them.
///
/// # Errors
///
/// When no node can be reached.
pub async fn print_status(access: &AdminAccess) -> eyre::Result<CommandStatus> {
    let client = AdminClient::new(access)?;
    let first = client.status().await?;
    let mut statuses = Vec::new();
    let mut unreachable = Vec::new();
    for address in client.all_nodes().await {
        match client.status_of(address).await {
            Ok(status) => statuses.push(status),
            Err(error) => unreachable.push(format!("{address}: {error}")),
        }
    }
    if access.format == OutputFormat::Json {
        print_json(&statuses)?;
        return Ok(CommandStatus::Success);
    }
    print!("{}", node_table(&statuses, access.terminal));
    for node in unreachable {
        println!("no response: {node}");
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
        println!("unknown schema version on {}: {record}", first.node);
    }
    Ok(CommandStatus::Success)
}

fn node_table(statuses: &[NodeStatus], terminal: bool) -> String {
    let mut table = TextTable::new(
        &["NODE", "READY", "REVISION", "LEASES", "STANDING"],
        terminal,
    );
    for status in statuses {
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
    let header = ["REPLICA", "MODEL", "VERSION", "STATE", "HOSTS"];
    let mut table = TextTable::new(&header, terminal);
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
