//! Checks of a configuration: what cannot work, has no effect or contradicts itself.

use crate::gateway::accounts::KeyDigest;
use crate::gateway::draft::Draft;
use crate::gateway::draft::DraftAccount;
use crate::gateway::draft::DraftRoute;
use crate::gateway::draft::DraftService;
use crate::gateway::draft::Finding;
use crate::gateway::draft::Stated;
use crate::sorted::Table;

/// Smallest limit on request headers that has an effect, in bytes; the HTTP library takes as many in any case.
const HEADERS_MIN_BYTES: f64 = 8192.0;
/// Largest limit on request headers that upstreams are known to accept, in bytes.
const HEADERS_MAX_BYTES: f64 = 65536.0;

/// Returns all faults, in the order of the document's parts.
pub fn check(draft: &Draft) -> Vec<Finding> {
    let mut findings = Vec::new();
    find_repeated(draft.routes.iter().map(|route| &route.name), "route", &mut findings);
    find_repeated(draft.services.iter().map(|service| &service.name), "service", &mut findings);
    find_repeated(draft.accounts.iter().map(|account| &account.name), "account", &mut findings);
    find_hidden_routes(&draft.routes, &mut findings);
    for route in &draft.routes {
        check_route(route, &mut findings);
    }
    find_unmatched_services(draft, &mut findings);
    for service in &draft.services {
        check_service(service, &mut findings);
    }
    find_shared_keys(&draft.accounts, &mut findings);
    for account in &draft.accounts {
        check_account(account, &mut findings);
    }
    check_header_limit(&draft.max_header_bytes, &mut findings);
    findings
}

fn find_repeated<'a>(
    names: impl Iterator<Item = &'a Stated<String>>,
    what: &str,
    findings: &mut Vec<Finding>,
) {
    let mut seen: Table<&str, &str> = Table::new();
    for name in names {
        match seen.get(name.value.as_str()) {
            Some(first) => {
                let text = format!("the {what} {:?} is also at {first}", name.value);
                findings.push(Finding::error(&name.path, text));
            }
            None => {
                seen.insert(&name.value, &name.path);
            }
        }
    }
}

fn find_hidden_routes(routes: &[DraftRoute], findings: &mut Vec<Finding>) {
    let mut seen: Table<(&str, &str), &str> = Table::new();
    for route in routes {
        let key = (route.host.value.as_str(), route.path_prefix.value.as_str());
        match seen.get(&key) {
            Some(first) => {
                let text =
                    format!("never matches: the route {first:?} has the same host and prefix");
                findings.push(Finding::error(&route.path_prefix.path, text));
            }
            None => {
                seen.insert(key, &route.name.value);
            }
        }
    }
}

fn check_route(route: &DraftRoute, findings: &mut Vec<Finding>) {
    let host = &route.host.value;
    if host.contains(':') || host.chars().any(|letter| letter.is_ascii_uppercase()) {
        let text = "never matches: hosts are compared in lowercase and without a port";
        findings.push(Finding::error(&route.host.path, text));
    }
    if !route.path_prefix.value.starts_with('/') {
        findings.push(Finding::error(
            &route.path_prefix.path,
            "never matches: it has no slash at its start",
        ));
    }
    if !route.has_known_kind.value {
        let text = "is unknown: requests are never repeated";
        findings.push(Finding::warning(&route.has_known_kind.path, text));
    }
    let timeout_ms = route.timeout_ms.value;
    if timeout_ms < 1.0 {
        findings.push(Finding::error(&route.timeout_ms.path, "no request ends in time"));
    }
    for objective_ms in [&route.objective_ms, &route.gap_objective_ms] {
        if objective_ms.value > timeout_ms {
            let text = format!("{} ms are over the timeout of {timeout_ms} ms", objective_ms.value);
            findings.push(Finding::warning(&objective_ms.path, text));
        }
    }
    if route.attempts.value == 0 {
        findings.push(Finding::warning(&route.attempts.path, "0 attempts count as 1"));
    }
    for (_, weight) in &route.targets {
        if weight.value < 0.0 {
            findings.push(Finding::error(&weight.path, "is below 0"));
        } else if weight.value == 0.0 {
            findings.push(Finding::warning(&weight.path, "a weight of 0 gets no requests"));
        }
    }
    if !route.targets.is_empty() && route.targets.iter().all(|(_, weight)| weight.value <= 0.0) {
        findings.push(Finding::error(&route.name.path, "no service of the route has a weight"));
    }
}

fn find_unmatched_services(draft: &Draft, findings: &mut Vec<Finding>) {
    let known: Table<&str, ()> =
        draft.services.iter().map(|service| (service.name.value.as_str(), ())).collect();
    let mut named: Table<&str, ()> = Table::new();
    for (service, _) in draft.routes.iter().flat_map(|route| &route.targets) {
        named.insert(&service.value, ());
        if !known.contains(service.value.as_str()) {
            let text = format!("the service {:?} does not exist", service.value);
            findings.push(Finding::error(&service.path, text));
        }
    }
    for service in &draft.services {
        if !named.contains(service.name.value.as_str()) {
            let text = format!("no route names the service {:?}", service.name.value);
            findings.push(Finding::warning(&service.name.path, text));
        }
    }
}

fn check_service(service: &DraftService, findings: &mut Vec<Finding>) {
    find_repeated(service.models.iter().map(|(name, _)| name), "model", findings);
    for (name, size_mb) in &service.models {
        if size_mb.value > service.memory_mb {
            let text = format!(
                "the model {:?} has {} MB, the memory of a worker {} MB",
                name.value, size_mb.value, service.memory_mb
            );
            findings.push(Finding::error(&size_mb.path, text));
        }
    }
}

fn find_shared_keys(accounts: &[DraftAccount], findings: &mut Vec<Finding>) {
    let mut holders: Table<KeyDigest, (&str, &str)> = Table::new();
    for account in accounts {
        for key in &account.keys.value {
            match holders.get(&key.value) {
                Some((holder, path)) => {
                    let text = format!("the account {holder:?} holds the same key at {path}");
                    findings.push(Finding::error(&key.path, text));
                }
                None => {
                    holders.insert(key.value, (&account.name.value, &key.path));
                }
            }
        }
    }
}

fn check_account(account: &DraftAccount, findings: &mut Vec<Finding>) {
    if account.keys.value.is_empty() {
        findings.push(Finding::warning(&account.keys.path, "the account has no keys"));
    }
    let (rate_per_s, burst) = (account.rate_per_s.value, account.burst.value);
    // Limits are whole numbers; a rate below 1 is none.
    if rate_per_s < 1.0 && burst >= 1.0 {
        let text = "there is a burst but no rate, so there is no limit";
        findings.push(Finding::warning(&account.rate_per_s.path, text));
    }
    if rate_per_s >= 1.0 && burst < account.plain_cost {
        let text = format!("{burst} are below the cost of a plain request, {}", account.plain_cost);
        findings.push(Finding::warning(&account.burst.path, text));
    }
}

fn check_header_limit(limit: &Stated<Option<f64>>, findings: &mut Vec<Finding>) {
    let Some(bytes) = limit.value else { return };
    if bytes < HEADERS_MIN_BYTES {
        let text = format!("has no effect: {HEADERS_MIN_BYTES} bytes are accepted in any case");
        findings.push(Finding::warning(&limit.path, text));
    }
    if bytes > HEADERS_MAX_BYTES {
        let text = format!("is over what upstreams accept, {HEADERS_MAX_BYTES} bytes");
        findings.push(Finding::warning(&limit.path, text));
    }
}
