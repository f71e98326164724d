//! Builds the responses to operator calls from the node's state.

use crate::schema;
use eiderferry_config::Configuration;
use eiderferry_membership::Health;
use eiderferry_node::{Decision, Node};
use eiderferry_types::{ClassId, RequestId, TenantId};

/// Maximum number of decisions in one response.
const MAX_DECISIONS: usize = 1_000;

/// Status of the node, and of cells and peers as this node sees them.
pub fn status(node: &Node) -> schema::GetStatusResponse {
    let identity = node.identity();
    let held_cells: Vec<_> = node.held_cells().collect();
    let cells = node.catalog().cells().map(|cell| {
        let snapshot = held_cells
            .iter()
            .find(|(id, _)| *id == cell)
            .map(|(_, snapshot)| snapshot);
        let waiting: usize = snapshot.map_or(0, |snapshot| {
            snapshot.classes.iter().map(|class| class.waiting).sum()
        });
        schema::Cell {
            cell: cell.to_string(),
            holder: node.holder_of(cell).map_or(0, |holder| holder.0),
            slots: snapshot.map_or(0, |snapshot| snapshot.total_slots),
            running: snapshot.map_or(0, |snapshot| snapshot.leases as u32),
            waiting: waiting as u32,
        }
    });
    let peers = node.peers().into_iter().map(|(peer, health, draining)| {
        let health = match (draining, health) {
            (true, _) => "draining",
            (false, Health::Reachable) => "reachable",
            (false, Health::Suspected) => "suspected",
        };
        schema::Peer {
            node: peer.0,
            health: health.to_owned(),
        }
    });
    schema::GetStatusResponse {
        node: identity.node.0,
        zone: u32::from(identity.zone.0),
        incarnation: identity.incarnation.0,
        ready: node.is_ready(),
        draining: node.is_draining(),
        configuration_version: node.configuration().map_or(0, |document| document.version),
        directory_version: node.directory().map_or(0, |document| document.version),
        invalid_configuration_version: node.invalid_configuration(),
        open_requests: node.open_requests() as u64,
        running_requests: node.running_requests() as u64,
        cells: cells.collect(),
        peers: peers.collect(),
    }
}

/// The classes in the configuration, with this node's counters.
pub fn classes(node: &Node) -> schema::ListClassesResponse {
    let Some(configuration) = node.configuration() else {
        return schema::ListClassesResponse::default();
    };
    let classes = configuration.classes.iter().map(|class| {
        let counts = node.class_counts(class.id);
        schema::Class {
            name: class.name.clone(),
            tier: u32::from(class.tier.0),
            requests: counts.requests,
            completed: counts.completed,
            refused: counts.refused,
            attained: counts.attained,
        }
    });
    schema::ListClassesResponse {
        classes: classes.collect(),
    }
}

/// The back ends of the cells that this node holds.
pub fn back_ends(node: &Node) -> schema::ListBackEndsResponse {
    let back_ends = node.held_cells().flat_map(|(cell, snapshot)| {
        let entries = snapshot.back_ends.into_iter();
        entries.map(move |(id, running, slowness, leaving)| schema::BackEnd {
            id: id.0,
            cell: cell.to_string(),
            running,
            slowness,
            leaving,
        })
    });
    schema::ListBackEndsResponse {
        back_ends: back_ends.collect(),
    }
}

/// Tenants with running requests in the cells that this node holds.
pub fn tenants(node: &Node) -> schema::ListTenantsResponse {
    let Some(configuration) = node.configuration() else {
        return schema::ListTenantsResponse::default();
    };
    let tenants = node
        .tenant_usage()
        .into_iter()
        .map(|(cell, tenant, running)| {
            let pool = configuration.pool(cell.pool).map(|pool| pool.name.as_str());
            let limits = configuration
                .tenant(tenant)
                .map(|tenant| tenant.limits.as_slice());
            let limit = limits
                .unwrap_or_default()
                .iter()
                .find(|limit| Some(limit.pool.as_str()) == pool);
            schema::TenantUse {
                name: tenant_name(configuration, tenant),
                cell: cell.to_string(),
                running,
                concurrency_limit: limit.and_then(|limit| limit.concurrency).unwrap_or(0),
            }
        });
    schema::ListTenantsResponse {
        tenants: tenants.collect(),
    }
}

/// All decisions on a request that are still in the decision log.
pub fn explain(node: &Node, request: RequestId) -> Vec<schema::Decision> {
    let decisions = node.decisions().for_request(request);
    decisions
        .into_iter()
        .map(|decision| decision_message(node, decision))
        .collect()
}

/// The latest decisions that match the request's filters, newest first.
pub fn decisions(node: &Node, request: &schema::ListDecisionsRequest) -> Vec<schema::Decision> {
    let count = (request.count as usize).min(MAX_DECISIONS);
    let latest = node.decisions().latest(usize::MAX, |_| true);
    let matches_filter = |decision: &schema::Decision| {
        let class = request.class.is_empty() || decision.class == request.class;
        let tenant = request.tenant.is_empty() || decision.tenant == request.tenant;
        let step = request.step.is_empty() || decision.step == request.step;
        class && tenant && step
    };
    latest
        .into_iter()
        .map(|decision| decision_message(node, decision))
        .filter(matches_filter)
        .take(count)
        .collect()
}

/// The number of the last decision, and the logged decisions with numbers above `after`.
pub fn decisions_after(node: &Node, after: u64) -> (u64, Vec<schema::Decision>) {
    let (last, decisions) = node.decisions().since(after);
    let decision_messages = decisions
        .into_iter()
        .map(|decision| decision_message(node, decision));
    (last, decision_messages.collect())
}

fn decision_message(node: &Node, decision: &Decision) -> schema::Decision {
    let configuration = node.configuration();
    schema::Decision {
        request_id: decision.request.to_string(),
        class: configuration.map_or_else(String::new, |configuration| {
            class_name(configuration, decision.class)
        }),
        tenant: configuration.map_or_else(String::new, |configuration| {
            tenant_name(configuration, decision.tenant)
        }),
        at_ms: decision.at.0 / 1_000,
        step: decision.step.name().to_owned(),
        explanation: decision.step.to_string(),
    }
}

fn class_name(configuration: &Configuration, class: ClassId) -> String {
    let found = configuration.class(class);
    found.map_or_else(|| class.to_string(), |class| class.name.clone())
}

fn tenant_name(configuration: &Configuration, tenant: TenantId) -> String {
    let found = configuration.tenant(tenant);
    found.map_or_else(|| tenant.to_string(), |tenant| tenant.name.clone())
}

/// Validates a configuration and lists its changes from the active one.
pub fn validate(node: &Node, document: &str) -> schema::ValidateConfigurationResponse {
    let parsed = Configuration::from_yaml("document", document);
    match parsed {
        Err(error) => schema::ValidateConfigurationResponse {
            valid: false,
            problems: error.to_string(),
            changes: Vec::new(),
        },
        Ok(proposed) => schema::ValidateConfigurationResponse {
            valid: true,
            problems: String::new(),
            changes: node
                .configuration()
                .map_or_else(Vec::new, |current| changes(current, &proposed)),
        },
    }
}

fn changes(current: &Configuration, proposed: &Configuration) -> Vec<String> {
    let mut changes = Vec::new();
    if proposed.version <= current.version {
        changes.push(format!(
            "version {} is not newer than {}: it would be ignored",
            proposed.version, current.version
        ));
    }
    append_changes(
        "class",
        &current.classes,
        &proposed.classes,
        |class| &class.name,
        &mut changes,
    );
    append_changes(
        "pool",
        &current.pools,
        &proposed.pools,
        |pool| &pool.name,
        &mut changes,
    );
    append_changes(
        "tenant",
        &current.tenants,
        &proposed.tenants,
        |tenant| &tenant.name,
        &mut changes,
    );
    changes
}

fn append_changes<Entry: PartialEq>(
    kind: &str,
    current: &[Entry],
    proposed: &[Entry],
    name: impl Fn(&Entry) -> &String,
    changes: &mut Vec<String>,
) {
    for entry in proposed {
        match current.iter().find(|other| name(other) == name(entry)) {
            None => changes.push(format!("{kind} {} is new", name(entry))),
            Some(other) if other != entry => {
                changes.push(format!("{kind} {} changes", name(entry)))
            }
            Some(_) => {}
        }
    }
    for entry in current {
        if !proposed.iter().any(|other| name(other) == name(entry)) {
            changes.push(format!("{kind} {} goes away", name(entry)));
        }
    }
}
