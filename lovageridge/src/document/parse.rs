//! Parses the sections of a document into a validated configuration.

use ini::Properties;

use crate::document::Adapter;
use crate::document::Config;
use crate::document::MAX_SECTIONS;
use crate::document::Model;
use crate::document::Partner;
use crate::document::Priority;
use crate::document::SECTION_KINDS;
use crate::document::Service;
use crate::document::ServiceKind;
use crate::document::Team;
use crate::document::Venture;
use crate::ini::Fault;
use crate::ini::SectionReader;
use crate::ini::closest_name;
use crate::sorted::Table;

const SHA256_HEX_LEN: usize = 64;
/// The default of `reload_ms` is `load_ms` divided by this.
const DEFAULT_RELOAD_DIVISOR: u64 = 5;
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Splits the text of a whole document into the bodies of its sections.
///
/// # Errors
/// Returns faults for text that is not INI, keys outside a section, and repeated sections.
pub fn split(text: &str) -> Result<Table<String, String>, Vec<Fault>> {
    let doc = crate::ini::parse(text).map_err(|fault| vec![fault])?;
    let mut sections = Table::new();
    let mut faults = Vec::new();
    for (name, props) in doc.iter() {
        let Some(name) = name else {
            if !props.is_empty() {
                faults.push(Fault::new("", "", "keys stand before the first section"));
            }
            continue;
        };
        let body: String = props.iter().map(|(key, value)| format!("{key} = {value}\n")).collect();
        if sections.insert(name.to_owned(), body).is_some() {
            faults.push(Fault::new(name, "", "the section stands twice"));
        }
    }
    if faults.is_empty() { Ok(sections) } else { Err(faults) }
}

/// Joins sections into the text of a whole document.
pub fn join<'a>(sections: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    sections.into_iter().map(|(name, body)| format!("[{name}]\n{}\n\n", body.trim_end())).collect()
}

/// Reads all sections into a configuration of `version`.
///
/// # Errors
/// Returns every fault found: unknown kinds and keys, values out of range, dangling references.
pub fn read<'a>(
    version: u64,
    sections: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Config, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut config = Config::empty();
    config.version = version;
    let mut count = 0;
    for (name, body) in sections {
        count += 1;
        read_section(&mut config, name, body, &mut faults);
    }
    if count > MAX_SECTIONS {
        faults.push(Fault::new("", "", format!("more than {MAX_SECTIONS} sections")));
    }
    check_references(&config, &mut faults);
    if faults.is_empty() { Ok(config) } else { Err(faults) }
}

/// Returns the values used when the document has no `[venture]` section.
pub fn default_venture() -> Venture {
    let mut faults = Vec::new();
    let props = Properties::new();
    read_venture(SectionReader::new("venture", &props, &mut faults))
}

fn read_section(config: &mut Config, name: &str, body: &str, faults: &mut Vec<Fault>) {
    let doc = match crate::ini::parse(body) {
        Ok(doc) => doc,
        Err(fault) => return faults.push(Fault::new(name, "", fault.message)),
    };
    if doc.sections().flatten().next().is_some() {
        return faults.push(Fault::new(name, "", "the body opens another section"));
    }
    let (kind, short_name) = name.split_once('.').unwrap_or((name, ""));
    if (kind == "venture") != short_name.is_empty() || !is_valid_name(short_name) {
        return faults.push(Fault::new(name, "", "a section is [venture] or [kind.name]"));
    }
    let reader = SectionReader::new(name, doc.general_section(), faults);
    let key = short_name.to_owned();
    match kind {
        "venture" => config.venture = read_venture(reader),
        "team" => drop(config.teams.insert(key, read_team(reader))),
        "partner" => drop(config.partners.insert(key, read_partner(reader))),
        "service" => drop(config.services.insert(key, read_service(reader))),
        "model" => drop(config.models.insert(key, read_model(reader))),
        "adapter" => drop(config.adapters.insert(key, read_adapter(reader))),
        _ => report_unknown_kind(name, kind, faults),
    }
}

fn report_unknown_kind(name: &str, kind: &str, faults: &mut Vec<Fault>) {
    let message = match closest_name(kind, SECTION_KINDS) {
        Some(known) => format!("unknown kind of section; did you mean '{known}'?"),
        None => format!("unknown kind of section; known are {}", SECTION_KINDS.join(", ")),
    };
    faults.push(Fault::new(name, "", message));
}

fn is_valid_name(name: &str) -> bool {
    name.len() <= 96 && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b))
}

fn read_venture(mut reader: SectionReader<'_>) -> Venture {
    let venture = Venture {
        name: reader.optional("name").unwrap_or("venture").to_owned(),
        cold_start_weight_pct: reader.number("cold_start_weight_pct", 50, 0, 100),
        store_loads_per_s: reader.number("store_loads_per_s", 4, 1, 1000),
        store_slots: reader.number("store_slots", 4, 1, 1000),
        store_adapter_slots: reader.number("store_adapter_slots", 30, 1, 10_000),
        keep_alive_max_s: reader.number("keep_alive_max_s", 3600, 1, 604_800),
        log_retention_s: reader.number("log_retention_s", 86_400, 10, 31_536_000),
    };
    reader.finish();
    venture
}

fn read_team(mut reader: SectionReader<'_>) -> Team {
    let token_sha256 = reader.required("token_sha256").to_ascii_lowercase();
    check_hash(&mut reader, "token_sha256", &token_sha256);
    let sections = reader.comma_separated("sections");
    reader.finish();
    Team { token_sha256, sections }
}

fn read_partner(mut reader: SectionReader<'_>) -> Partner {
    let keys_sha256 = reader.comma_separated("keys_sha256");
    for key in &keys_sha256 {
        check_hash(&mut reader, "keys_sha256", key);
    }
    let priority_max = read_priority(&mut reader);
    let partner = Partner {
        keys_sha256,
        share_pct: reader.number("share_pct", 10, 1, 100),
        limit_tokens_per_s: reader.number("limit_tokens_per_s", 0, 0, 100_000_000),
        queue_max: reader.number("queue_max", 200, 1, 100_000) as usize,
        deadline_max_ms: reader.number("deadline_max_ms", 600_000, 100, 604_800_000),
        deadline_default_ms: reader.number(
            "deadline_default_ms",
            DEFAULT_DEADLINE_MS,
            100,
            604_800_000,
        ),
        priority_max,
    };
    if partner.deadline_default_ms > partner.deadline_max_ms {
        reader.add_fault("deadline_default_ms", "is above deadline_max_ms");
    }
    reader.finish();
    partner
}

fn read_priority(reader: &mut SectionReader<'_>) -> Priority {
    let Some(name) = reader.optional("priority_max") else { return Priority::Interactive };
    Priority::from_name(name).unwrap_or_else(|| {
        let known = Priority::NAMES.join(", ");
        reader.add_fault("priority_max", format!("'{name}' is none of {known}"));
        Priority::Interactive
    })
}

fn check_hash(reader: &mut SectionReader<'_>, key: &str, hash: &str) {
    let is_hex = hash.bytes().all(|b| b.is_ascii_hexdigit());
    if !hash.is_empty() && (hash.len() != SHA256_HEX_LEN || !is_hex) {
        reader.add_fault(key, "is not a SHA-256 of 64 hexadecimal digits");
    }
}

fn read_service(mut reader: SectionReader<'_>) -> Service {
    let kind = match reader.required("kind") {
        "engine" => ServiceKind::Engine,
        "plain" => ServiceKind::Plain,
        "" => ServiceKind::Plain,
        other => {
            reader.add_fault("kind", format!("'{other}' is neither engine nor plain"));
            ServiceKind::Plain
        }
    };
    let path = reader.optional("path").unwrap_or_default().to_owned();
    if kind == ServiceKind::Plain && !(path.starts_with('/') && path.len() > 1) {
        reader.add_fault("path", "a plain service needs a path that starts with /");
    }
    if path.starts_with("/v1") || path.contains("..") {
        reader.add_fault("path", "must not start with /v1 or contain ..");
    }
    let mut idempotent_methods = reader.comma_separated("idempotent_methods");
    if idempotent_methods.is_empty() {
        idempotent_methods = vec!["GET".to_owned(), "HEAD".to_owned()];
    }
    let service = Service {
        kind,
        checks_fencing: reader.yes_or_no("checks_fencing", false),
        cells_per_domain: reader.number("cells_per_domain", 1, 1, 64),
        path,
        idempotent_methods,
        slots: reader.number("slots", 16, 1, 10_000),
    };
    reader.finish();
    service
}

fn read_model(mut reader: SectionReader<'_>) -> Model {
    let load_ms = reader.number("load_ms", 10_000, 1, 3_600_000);
    let reload_ms = (load_ms / DEFAULT_RELOAD_DIVISOR).max(1);
    let model = Model {
        service: reader.required("service").to_owned(),
        size_mb: reader.number("size_mb", 1, 1, 10_000_000),
        accelerators: reader.number("accelerators", 1, 1, 64),
        replicas_max: reader.number("replicas_max", 1, 1, 1000),
        load_ms,
        reload_ms: reader.number("reload_ms", reload_ms, 1, 3_600_000),
        partners: reader.comma_separated("partners"),
    };
    reader.required("size_mb");
    reader.finish();
    model
}

fn read_adapter(mut reader: SectionReader<'_>) -> Adapter {
    let adapter = Adapter {
        model: reader.required("model").to_owned(),
        size_mb: reader.number("size_mb", 50, 1, 100_000),
    };
    reader.finish();
    adapter
}

fn check_references(config: &Config, faults: &mut Vec<Fault>) {
    for (name, model) in config.models.iter() {
        let section = format!("model.{name}");
        let service_kind = config.services.get(&model.service).map(|s| s.kind);
        if !model.service.is_empty() && service_kind != Some(ServiceKind::Engine) {
            let message = format!("'{}' is no service of engines", model.service);
            faults.push(Fault::new(&section, "service", message));
        }
        for partner in model.partners.iter().filter(|p| !config.partners.contains(*p)) {
            let message = format!("'{partner}' is no partner");
            faults.push(Fault::new(&section, "partners", message));
        }
    }
    for (name, adapter) in config.adapters.iter() {
        let section = format!("adapter.{name}");
        if !adapter.model.is_empty() && !config.models.contains(&adapter.model) {
            let message = format!("'{}' is no model", adapter.model);
            faults.push(Fault::new(&section, "model", message));
        }
        if config.models.contains(name) {
            faults.push(Fault::new(&section, "", "a model has the same name"));
        }
    }
    check_paths(config, faults);
}

fn check_paths(config: &Config, faults: &mut Vec<Fault>) {
    let mut paths: Vec<(&str, &str)> = config
        .services
        .iter()
        .filter(|(_, s)| s.kind == ServiceKind::Plain)
        .map(|(name, s)| (s.path.as_str(), name.as_str()))
        .collect();
    paths.sort_unstable();
    for pair in paths.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let message = format!("service '{}' has the same path", pair[0].1);
        faults.push(Fault::new(&format!("service.{}", pair[1].1), "path", message));
    }
}
