//! Commands that call a node's operator interface, a gRPC service defined in `proto/`.

use crate::error::CommandError;
use crate::output::{OutputTable, print_table};
use clap::ArgMatches;
use eiderferry_operator::schema::{
    Decision, DrainRequest, ExplainRequestRequest, GetStatusRequest, ListBackEndsRequest,
    ListClassesRequest, ListDecisionsRequest, ListTenantsRequest, OperatorClient, UndrainRequest,
    ValidateConfigurationRequest, WatchDecisionsRequest,
};
use futures_lite::StreamExt;
use std::path::PathBuf;
use trillium_client::Client;
use trillium_grpc::{Code, Status};
use trillium_smol::ClientConfig;

/// Runs the operator command `name`.
pub fn run(name: &str, arguments: &ArgMatches) -> Result<(), CommandError> {
    let json = arguments
        .get_one::<String>("format")
        .is_some_and(|format| format == "json");
    smol::block_on(run_command(name, arguments, json))
}

fn string_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

fn client(arguments: &ArgMatches) -> OperatorClient {
    let address = string_argument(arguments, "node");
    let token = string_argument(arguments, "token");
    let client = Client::new(ClientConfig::new().with_nodelay(true))
        .with_base(format!("http://{address}"))
        .with_default_header("authorization", format!("Bearer {token}"));
    OperatorClient::from(client)
}

async fn run_command(name: &str, arguments: &ArgMatches, json: bool) -> Result<(), CommandError> {
    let client = client(arguments);
    match name {
        "status" => status(&client, json).await,
        "classes" => classes(&client, json).await,
        "back-ends" => back_ends(&client, json).await,
        "tenants" => tenants(&client, json).await,
        "drain" => {
            let response = client.drain(DrainRequest {}).await.map_err(call_error)?;
            let response = response.into_message().map_err(call_error)?;
            println!(
                "draining; {} open requests left to finish",
                response.open_requests
            );
            Ok(())
        }
        "undrain" => {
            let response = client
                .undrain(UndrainRequest {})
                .await
                .map_err(call_error)?;
            response.into_message().map_err(call_error)?;
            println!("accepting new requests again");
            Ok(())
        }
        "explain" => {
            let request_id = string_argument(arguments, "request").to_owned();
            let call = client.explain_request(ExplainRequestRequest { request_id });
            let response = call
                .await
                .map_err(call_error)?
                .into_message()
                .map_err(call_error)?;
            print_table(&decision_table(response.decisions), json);
            Ok(())
        }
        "decisions" => {
            let request = ListDecisionsRequest {
                count: arguments.get_one::<u32>("count").copied().unwrap_or(20),
                class: string_argument(arguments, "class").to_owned(),
                tenant: string_argument(arguments, "tenant").to_owned(),
                step: string_argument(arguments, "step").to_owned(),
            };
            let call = client.list_decisions(request);
            let response = call
                .await
                .map_err(call_error)?
                .into_message()
                .map_err(call_error)?;
            print_table(&decision_table(response.decisions), json);
            Ok(())
        }
        "watch" => watch(&client).await,
        _ => validate(&client, arguments).await,
    }
}

fn call_error(status: Status) -> CommandError {
    match status.code {
        Code::NotFound => CommandError::NotFound(status.message),
        Code::InvalidArgument => CommandError::InvalidArgument(status.message),
        _ => CommandError::CallFailed(format!("{:?}: {}", status.code, status.message)),
    }
}

async fn status(client: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = client
        .get_status(GetStatusRequest {})
        .await
        .map_err(call_error)?;
    let response = response.into_message().map_err(call_error)?;
    let mut table = OutputTable::new(&["what", "value"]);
    table.push([&"node", &response.node]);
    table.push([&"zone", &response.zone]);
    table.push([&"incarnation", &response.incarnation]);
    table.push([&"ready", &response.ready]);
    table.push([&"draining", &response.draining]);
    table.push([&"configuration version", &response.configuration_version]);
    table.push([&"directory version", &response.directory_version]);
    table.push([
        &"invalid configuration version",
        &response.invalid_configuration_version,
    ]);
    table.push([&"open requests", &response.open_requests]);
    table.push([&"running requests", &response.running_requests]);
    print_table(&table, json);
    let mut cells = OutputTable::new(&["cell", "holder", "slots", "running", "waiting"]);
    for cell in &response.cells {
        cells.push([
            &cell.cell,
            &cell.holder,
            &cell.slots,
            &cell.running,
            &cell.waiting,
        ]);
    }
    print_table(&cells, json);
    let mut peers = OutputTable::new(&["peer", "health"]);
    for peer in &response.peers {
        peers.push([&peer.node, &peer.health]);
    }
    print_table(&peers, json);
    Ok(())
}

async fn classes(client: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = client
        .list_classes(ListClassesRequest {})
        .await
        .map_err(call_error)?;
    let response = response.into_message().map_err(call_error)?;
    let header = &[
        "class",
        "tier",
        "requests",
        "completed",
        "refused",
        "attained",
        "attainment",
    ];
    let mut table = OutputTable::new(header);
    for class in &response.classes {
        let percentage = 100.0 * class.attained as f64 / class.requests.max(1) as f64;
        let attainment = format!("{percentage:.1} %");
        table.push([
            &class.name,
            &class.tier,
            &class.requests,
            &class.completed,
            &class.refused,
            &class.attained,
            &attainment,
        ]);
    }
    print_table(&table, json);
    Ok(())
}

async fn back_ends(client: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = client
        .list_back_ends(ListBackEndsRequest {})
        .await
        .map_err(call_error)?;
    let response = response.into_message().map_err(call_error)?;
    let mut table = OutputTable::new(&["back end", "cell", "running", "slowness", "leaving"]);
    for back_end in &response.back_ends {
        let slowness = format!("{:.2}", back_end.slowness);
        table.push([
            &back_end.id,
            &back_end.cell,
            &back_end.running,
            &slowness,
            &back_end.leaving,
        ]);
    }
    print_table(&table, json);
    Ok(())
}

async fn tenants(client: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = client
        .list_tenants(ListTenantsRequest {})
        .await
        .map_err(call_error)?;
    let response = response.into_message().map_err(call_error)?;
    let mut table = OutputTable::new(&["tenant", "cell", "running", "concurrency limit"]);
    for tenant in &response.tenants {
        let limit = match tenant.concurrency_limit {
            0 => "none".to_owned(),
            limit => limit.to_string(),
        };
        table.push([&tenant.name, &tenant.cell, &tenant.running, &limit]);
    }
    print_table(&table, json);
    Ok(())
}

fn decision_table(decisions: Vec<Decision>) -> OutputTable {
    let mut table =
        OutputTable::new(&["at ms", "request", "class", "tenant", "step", "explanation"]);
    for decision in &decisions {
        table.push([
            &decision.at_ms,
            &decision.request_id,
            &decision.class,
            &decision.tenant,
            &decision.step,
            &decision.explanation,
        ]);
    }
    table
}

async fn watch(client: &OperatorClient) -> Result<(), CommandError> {
    let mut decisions = client.watch_decisions(WatchDecisionsRequest {});
    while let Some(decision) = decisions.next().await {
        let decision = decision.map_err(call_error)?;
        println!(
            "{} {} {} {}: {}",
            decision.at_ms,
            decision.request_id,
            decision.class,
            decision.tenant,
            decision.explanation
        );
    }
    Ok(())
}

async fn validate(client: &OperatorClient, arguments: &ArgMatches) -> Result<(), CommandError> {
    let Some(path) = arguments.get_one::<PathBuf>("file") else {
        return Ok(());
    };
    let document = std::fs::read_to_string(path)
        .map_err(|cause| CommandError::InvalidArgument(format!("{}: {cause}", path.display())))?;
    let call = client.validate_configuration(ValidateConfigurationRequest { document });
    let response = call
        .await
        .map_err(call_error)?
        .into_message()
        .map_err(call_error)?;
    if !response.valid {
        return Err(CommandError::InvalidArgument(response.problems));
    }
    println!("valid; changes from the active configuration:");
    for change in &response.changes {
        println!("  {change}");
    }
    Ok(())
}
