//! Commands that call the administration port of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use anyhow::anyhow;

use crate::admin::api::AdminError;
use crate::admin::api::EditReply;
use crate::admin::api::EditRequest;
use crate::admin::api::SectionChange;
use crate::admin::api::SectionView;
use crate::admin::api::Sections;
use crate::cli::EXIT_INVALID;
use crate::cli::EXIT_REFUSED;
use crate::cli::EXIT_USAGE;
use crate::cli::Exit;
use crate::cli::check;
use crate::cli::options::DrainOptions;
use crate::cli::options::PublishOptions;
use crate::cli::options::SectionsOptions;
use crate::cli::options::StatusOptions;
use crate::document::parse;
use crate::outbound;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the administration port of an instance.
struct AdminClient {
    addr: SocketAddr,
    token: String,
}

impl AdminClient {
    fn new(addr: Option<SocketAddr>, token_file: Option<&str>) -> Result<Self, Exit> {
        let addr = addr.ok_or_else(|| Exit::new(EXIT_USAGE, "--admin is missing"))?;
        let token = match token_file {
            None => String::new(),
            Some(file) => {
                let text = std::fs::read_to_string(file);
                text.with_context(|| format!("cannot read {file}"))?.trim().to_owned()
            }
        };
        Ok(Self { addr, token })
    }

    fn get(&self, path: &str) -> Result<Vec<u8>, Exit> {
        let request = outbound::get(format!("http://{}{path}", self.addr));
        let (status_code, body) = self.send(request)?;
        if status_code == 200 { Ok(body) } else { Err(refused_exit(status_code, &body)) }
    }

    fn post(&self, path: &str, body: String) -> Result<(u16, Vec<u8>), Exit> {
        self.send(outbound::post(format!("http://{}{path}", self.addr)).text(body))
    }

    fn send<B: attohttpc::body::Body>(
        &self,
        request: attohttpc::RequestBuilder<B>,
    ) -> Result<(u16, Vec<u8>), Exit> {
        let request = if self.token.is_empty() {
            request
        } else {
            request.header("authorization", format!("Bearer {}", self.token))
        };
        let response = request
            .timeout(CALL_TIMEOUT)
            .send()
            .with_context(|| format!("no response from {}", self.addr))?;
        let status_code = response.status().as_u16();
        let body = response.bytes().context("the response ended early")?;
        Ok((status_code, body))
    }

    fn send_edit(&self, edit: &EditRequest) -> Result<u64, Exit> {
        let text = serde_json::to_string(edit).map_err(anyhow::Error::from)?;
        let (status_code, body) = self.post("/v1/edits", text)?;
        let reply: EditReply =
            serde_json::from_slice(&body).map_err(|_| refused_exit(status_code, &body))?;
        match reply {
            EditReply::Accepted { version } => Ok(version),
            EditReply::Conflict { section, current_version } => Err(Exit::new(
                EXIT_REFUSED,
                format!("[{section}] has changed: its version is now {current_version}"),
            )),
            EditReply::Forbidden { section } => {
                Err(Exit::new(EXIT_REFUSED, format!("the team may not edit [{section}]")))
            }
            EditReply::Invalid { faults } => Err(Exit::new(EXIT_INVALID, faults.join("\n"))),
            EditReply::Unconfirmed => Err(Exit::from(anyhow!(
                "the log has not confirmed the edit; send it again with --edit-id {}",
                edit.edit_id
            ))),
        }
    }
}

fn refused_exit(status_code: u16, body: &[u8]) -> Exit {
    let message = match serde_json::from_slice::<AdminError>(body) {
        Ok(error) => error.message,
        Err(_) => format!("status {status_code}"),
    };
    Exit::new(EXIT_REFUSED, message)
}

fn new_edit_id(given: Option<&str>) -> String {
    given.map_or_else(|| format!("edit-{:016x}", rand::random::<u64>()), str::to_owned)
}

/// Publishes a document: every section that differs from the one in force, as one edit.
///
/// # Errors
/// Returns faults of the document, or why the edit was refused.
pub fn publish(options: &PublishOptions) -> Result<(), Exit> {
    let file = &options.file;
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    check::check_document(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|f| format!("{file}: {f}")).collect();
        Exit::new(EXIT_INVALID, lines.join("\n"))
    })?;
    let new_sections = parse::split(&text).unwrap_or_default();
    let client = AdminClient::new(options.admin, options.token.as_deref())?;
    let body = client.get("/v1/sections")?;
    let current: Sections = serde_json::from_slice(&body).map_err(anyhow::Error::from)?;
    let changes = section_changes(&current.sections, &new_sections);
    if changes.is_empty() {
        println!("version {} is already in force", current.version);
        return Ok(());
    }
    let edit = EditRequest { edit_id: new_edit_id(options.edit_id.as_deref()), changes };
    let count = edit.changes.len();
    let version = client.send_edit(&edit)?;
    println!("version {version} is accepted with {count} changed sections");
    Ok(())
}

/// Returns the changes that turn the `present` sections into the `wanted` ones.
fn section_changes(
    current: &[SectionView],
    new_sections: &crate::sorted::Table<String, String>,
) -> Vec<SectionChange> {
    let mut changes = Vec::new();
    for (section, body) in new_sections.iter() {
        let old = current.iter().find(|s| s.section == *section);
        if old.is_none_or(|s| s.body != *body) {
            changes.push(SectionChange {
                section: section.clone(),
                base_version: old.map_or(0, |s| s.version),
                body: Some(body.clone()),
            });
        }
    }
    let removed = current.iter().filter(|s| !new_sections.contains(&s.section));
    changes.extend(removed.map(|s| SectionChange {
        section: s.section.clone(),
        base_version: s.version,
        body: None,
    }));
    changes
}

/// Prints sections, or edits one.
///
/// # Errors
/// Returns why the call or the edit was refused.
pub fn sections(options: &SectionsOptions) -> Result<(), Exit> {
    let client = AdminClient::new(options.admin, options.token.as_deref())?;
    if let Some(file) = &options.file {
        return edit_section(&client, options, file);
    }
    let prefix = options.section.as_deref().or(options.prefix.as_deref()).unwrap_or_default();
    let body = client.get(&format!("/v1/sections?prefix={}", outbound::escaped(prefix)))?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(());
    }
    let found: Sections = serde_json::from_slice(&body).map_err(anyhow::Error::from)?;
    for section in found.sections {
        println!("; version {}\n[{}]\n{}", section.version, section.section, section.body);
    }
    Ok(())
}

fn edit_section(client: &AdminClient, options: &SectionsOptions, file: &str) -> Result<(), Exit> {
    let (Some(section), Some(base_version)) = (&options.section, options.base) else {
        return Err(Exit::new(EXIT_USAGE, "an edit needs --section and --base"));
    };
    let body = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    let change = SectionChange { section: section.clone(), base_version, body: Some(body) };
    let edit =
        EditRequest { edit_id: new_edit_id(options.edit_id.as_deref()), changes: vec![change] };
    let version = client.send_edit(&edit)?;
    println!("version {version} is accepted");
    Ok(())
}

/// Prints the status of an instance, or explains a model, as JSON.
///
/// # Errors
/// Returns why the call was refused.
pub fn status(options: &StatusOptions) -> Result<(), Exit> {
    let client = AdminClient::new(options.admin, options.token.as_deref())?;
    let path = match &options.explain {
        Some(model) => format!("/v1/explain/{}", outbound::escaped(model)),
        None => "/v1/status".to_owned(),
    };
    println!("{}", String::from_utf8_lossy(&client.get(&path)?));
    Ok(())
}

/// Makes an instance report that it is not ready.
///
/// # Errors
/// Returns why the call was refused.
pub fn drain(options: &DrainOptions) -> Result<(), Exit> {
    let client = AdminClient::new(options.admin, options.token.as_deref())?;
    let (status_code, body) = client.post("/v1/drain", String::new())?;
    if status_code != 200 {
        return Err(refused_exit(status_code, &body));
    }
    println!("{}", String::from_utf8_lossy(&body));
    Ok(())
}
